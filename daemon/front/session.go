package front

import (
	"net/http"
	"time"

	"ladderridge.example/core/pin"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/wire"
)

// session is what a request says of the session it belongs to.
type session struct {
	name string
	// ref is the version that the session keeps, if that is known.
	ref table.Ref
	// agree tells that the version has still to be agreed on through the
	// platform: the caller names the session and carries no token.
	agree bool
}

// findSession reads the session from the headers. A sealed token needs nobody:
// it holds on every daemon and while the platform is down.
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
	ref, ok := j.front.Pins.Remembered(j.tenant.Organisation.Name, name)
	if !ok {
		return session{name: name, agree: true}, nil
	}
	s := session{name: name, ref: ref}
	return s, s.check(model)
}

func (j *job) openPin(name, token, model string) (session, *refusal) {
	p, err := j.pinKeys().Open(token)
	if err != nil {
		return session{}, refuse(http.StatusBadRequest, BadPin, "the session pin was not made here: "+err.Error())
	}
	if p.Organisation != j.tenant.Organisation.Name || (name != "" && name != p.Session) {
		return session{}, refuse(http.StatusBadRequest, BadPin, "the session pin belongs to another session")
	}
	s := session{name: p.Session, ref: p.Ref}
	return s, s.check(model)
}

// check refuses a request that names another version than its session keeps.
func (s session) check(model string) *refusal {
	if s.ref == (table.Ref{}) || model == route.Auto || model == s.ref.Model || model == s.ref.String() {
		return nil
	}
	return refuse(http.StatusConflict, WrongModel, "this session keeps "+s.ref.String()+": start a new session for "+model)
}

// agreeOn settles the version of a session that the caller names. proposed is
// the version that was chosen; another may have been agreed on before.
func (j *job) agreeOn(s session, proposed table.Ref, model string) (session, *refusal) {
	ref, err := j.front.Pins.Agree(j.ctx, j.tenant.Organisation.Name, s.name, proposed)
	if err != nil {
		return s, refuse(http.StatusServiceUnavailable, SessionUnconfirmed,
			"the session's version cannot be confirmed now: send the session pin that you were given, or start a session with "+wire.HeaderSession+": "+wire.SessionNew).
			withRetry(sessionRetry)
	}
	s.ref, s.agree = ref, false
	return s, s.check(model)
}

// sessionRetry is when to come back for a session's version.
const sessionRetry = 2 * time.Second

// tellSession gives the caller the session's name and sealed token.
func (j *job) tellSession(s session, ref table.Ref) {
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
