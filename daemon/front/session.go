package front

import (
	"net/http"
	"time"

	"ladderridge.example/core/pin"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/wire"
)

// session is the session that a request belongs to.
type session struct {
	name string
	// ref is the version that the session is pinned to, if that is known.
	ref table.Ref
	// needsAgreement is set while the version has still to be agreed on through the
	// platform: the caller named the session and sent no sealed token.
	needsAgreement bool
}

// findSession reads the session from the headers. A sealed token is verified
// locally, so it is valid at every daemon, also while the platform is down.
func (j *job) findSession(model string) (session, *refusal) {
	name, token := j.r.Header.Get(wire.HeaderSession), j.r.Header.Get(wire.HeaderPin)
	switch {
	case token != "":
		return j.openPin(name, token, model)
	case name == "":
		return session{}, nil
	case name == wire.SessionNew:
		return session{name: j.id}, nil
	}
	ref, ok := j.front.Pins.Cached(j.tenant.Organisation.Name, name)
	if !ok {
		return session{name: name, needsAgreement: true}, nil
	}
	s := session{name: name, ref: ref}
	return s, s.checkModel(model)
}

func (j *job) openPin(name, token, model string) (session, *refusal) {
	p, err := j.pinKeys().Open(token)
	if err != nil {
		return session{}, refuse(http.StatusBadRequest, BadSessionPin, "the session pin was not made here: "+err.Error())
	}
	if p.Organisation != j.tenant.Organisation.Name || (name != "" && name != p.Session) {
		return session{}, refuse(http.StatusBadRequest, BadSessionPin, "the session pin belongs to another session")
	}
	s := session{name: p.Session, ref: p.Ref}
	return s, s.checkModel(model)
}

// checkModel refuses a request for another version than its session is pinned to.
func (s session) checkModel(model string) *refusal {
	if s.ref == (table.Ref{}) || model == route.Auto || model == s.ref.Model || model == s.ref.String() {
		return nil
	}
	return refuse(http.StatusConflict, SessionVersionConflict, "this session keeps "+s.ref.String()+": start a new session for "+model)
}

// agreeVersion agrees through the platform on the version of a session that the
// caller named. It proposes the chosen version; another one may have been agreed
// on before.
func (j *job) agreeVersion(s session, proposed table.Ref, model string) (session, *refusal) {
	ref, err := j.front.Pins.Agree(j.ctx, j.tenant.Organisation.Name, s.name, proposed)
	if err != nil {
		return s, refuse(http.StatusServiceUnavailable, SessionUnconfirmed,
			"the session's version cannot be confirmed now: send the session pin that you were given, or start a session with "+wire.HeaderSession+": "+wire.SessionNew).
			withRetryAfter(sessionRetryAfter)
	}
	s.ref, s.needsAgreement = ref, false
	return s, s.checkModel(model)
}

// sessionRetryAfter is sent as Retry-After when a session's version could not be
// confirmed.
const sessionRetryAfter = 2 * time.Second

// setSessionHeaders sets the headers with the session's name and sealed token.
func (j *job) setSessionHeaders(s session, ref table.Ref) {
	if s.name == "" {
		return
	}
	j.rec.Session = s.name
	h := j.w.Header()
	h.Set(wire.HeaderSession, s.name)
	h.Set(wire.HeaderPin, j.pinKeys().Seal(pin.Pin{
		Organisation: j.tenant.Organisation.Name, Session: s.name, Ref: ref, Generation: j.rec.Generation,
	}))
}
