// Package reach decides how a daemon connects to a backend server: directly, or through another
// daemon whose path to the server may be intact. It has no I/O and takes the time as a value.
package reach

import (
	"sync"
	"time"
)

// Plan is how to connect to a server: Direct, Both, Relayed or Fail.
type Plan interface{ plan() }

// Direct connects directly. If that fails, or has not succeeded after RelayAfter, another daemon is
// asked to connect as well. No other daemon is asked with NoRelay, because one with an intact path
// has just failed to connect, nor with Unconfirmed, because none can help: a failure then does not
// tell whether the path or the server is at fault.
type Direct struct {
	RelayAfter  time.Duration
	NoRelay     bool
	Unconfirmed bool
}

// Both connects directly and through another daemon at the same time; the first one counts.
type Both struct{}

// Relayed connects through another daemon. With Check a direct connection is tried in the
// background, to find out whether the path has recovered. FailedFor is the time since direct
// connections to the server began to fail, 0 if only those to others did.
type Relayed struct {
	Check     bool
	FailedFor time.Duration
}

// Fail does not connect: neither this daemon nor another one has reached the server just now.
type Fail struct{}

func (Direct) plan()  {}
func (Both) plan()    {}
func (Relayed) plan() {}
func (Fail) plan()    {}

// Change is how a result has changed the state of this daemon's paths.
type Change int

// The changes.
const (
	Unchanged Change = iota
	// Lost: the servers are out of direct reach from now on.
	Lost
	// Regained: a server has been reached directly again.
	Regained
)

const (
	// relayDelay is how long a direct connection may take before another daemon is asked. The
	// round trip to another hall takes a few milliseconds.
	relayDelay = 150 * time.Millisecond
	// checkInterval is the time between two checks of the direct path to a server, and
	// checkSpacing between the checks of all servers together.
	checkInterval = time.Second
	checkSpacing  = 250 * time.Millisecond
	// failureTTL is how long a failed direct connection counts without another one.
	failureTTL = 5 * time.Second
	// lostThreshold is how many servers must fail, with none reached since, before the path to
	// all servers is in doubt: one may have crashed.
	lostThreshold = 2
	// downTTL is how long no other daemon is asked for a server to which one with an intact path
	// could not connect.
	downTTL = time.Second
	// closedTTL is how long after a server closed a connection in the middle of an answer a refused
	// connection shows that it has exited.
	closedTTL = 2 * time.Second
	// exitTTL is how long a server that has exited counts as down. It takes seconds to restart, and
	// those that do not are no longer listed by then.
	exitTTL = 4 * time.Second
	// noHelperTTL is how long other daemons are not asked for a server after none could help.
	noHelperTTL = 500 * time.Millisecond
)

// Paths holds what a daemon knows of its direct paths to the servers, which are identified by
// their addresses. It is safe for concurrent use. The zero value is ready to use.
type Paths struct {
	mu      sync.Mutex
	servers map[string]*server
	// reached is when a direct connection to any server was last established.
	reached time.Time
	// checked is when the direct path to any server was last checked.
	checked time.Time
	// lost is set between Lost and Regained; lostAt and regainedAt are when that last changed.
	lost       bool
	lostAt     time.Time
	regainedAt time.Time
}

// server is what is known of the path to one server.
type server struct {
	// failed is when a direct connection last failed, without a later one that was established,
	// and since when the first one of such a series did. silent is set if the last one timed out.
	failed time.Time
	since  time.Time
	silent bool
	// relayed is when another daemon last connected while a direct connection was pending.
	relayed time.Time
	checked time.Time
	// downUntil is until when the server counts as down, noHelperUntil until when other daemons
	// are not asked for it; it is zero once one of them has connected.
	downUntil time.Time
	// closed is when the server last closed a connection in the middle of an answer, exitedUntil until
	// when it counts as exited.
	closed        time.Time
	exitedUntil   time.Time
	noHelperUntil time.Time
}

// Plan returns how to connect to a server. A Plan that checks the direct path is given to one
// caller at a time.
func (p *Paths) Plan(addr string, now time.Time) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[addr]
	switch {
	case s != nil && now.Before(s.downUntil):
		return Direct{NoRelay: true}
	case s != nil && now.Sub(s.closed) < closedTTL:
		return Direct{RelayAfter: relayDelay}
	case s != nil && p.failing(s, now):
		return p.planFailing(s, now)
	case p.isolated(now):
		return Direct{Unconfirmed: true}
	case p.doubtful(now):
		return Relayed{Check: p.takeCheck(p.server(addr), now)}
	case s != nil && now.Sub(s.relayed) < checkInterval:
		return Both{}
	}
	return Direct{RelayAfter: relayDelay}
}

// planFailing returns how to connect to a server to which a direct connection failed.
func (p *Paths) planFailing(s *server, now time.Time) Plan {
	noHelper := now.Before(s.noHelperUntil)
	if !noHelper && (p.reached.After(s.failed) || !s.noHelperUntil.IsZero()) {
		return Both{}
	}
	check := p.takeCheck(s, now)
	switch {
	case noHelper && check:
		return Direct{Unconfirmed: true}
	case noHelper:
		return Fail{}
	}
	return Relayed{Check: check, FailedFor: now.Sub(s.since)}
}

// takeCheck reports whether the direct path to a server may be checked now, and counts the check.
func (p *Paths) takeCheck(s *server, now time.Time) bool {
	if now.Sub(s.checked) < checkInterval || now.Sub(p.checked) < checkSpacing {
		return false
	}
	s.checked, p.checked = now, now
	return true
}

// failing reports whether the last direct connection to a server failed recently.
func (p *Paths) failing(s *server, now time.Time) bool {
	return !s.failed.IsZero() && now.Sub(s.failed) < failureTTL
}

// doubtful reports whether so many servers failed since one was last reached that the path to all
// of them is in doubt.
func (p *Paths) doubtful(now time.Time) bool { return p.failedSince(p.reached, now) >= lostThreshold }

// isolated reports whether the path to all servers is in doubt and no other daemon has reached
// several of them.
func (p *Paths) isolated(now time.Time) bool {
	n := 0
	for _, s := range p.servers {
		if now.Before(s.noHelperUntil) {
			n++
		}
	}
	return n >= lostThreshold && p.doubtful(now)
}

// failedSince returns how many servers failed after a time.
func (p *Paths) failedSince(at, now time.Time) int {
	n := 0
	for _, s := range p.servers {
		if p.failing(s, now) && s.failed.After(at) {
			n++
		}
	}
	return n
}

// Reached records that a direct connection to a server was established.
func (p *Paths) Reached(addr string, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached = now
	delete(p.servers, addr)
	return p.change(now)
}

// Failed records that a direct connection to a server failed; silent says that it timed out.
func (p *Paths) Failed(addr string, silent bool, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(addr)
	if !p.failing(s, now) {
		s.since = now
	}
	s.failed, s.silent = now, silent
	return p.change(now)
}

// Relayed records that another daemon connected to a server, first if a direct connection was
// pending.
func (p *Paths) Relayed(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(addr)
	s.relayed, s.downUntil, s.noHelperUntil = now, time.Time{}, time.Time{}
}

// Down records that another daemon with an intact path could not connect to a server either: the
// failure says nothing about this daemon's path.
func (p *Paths) Down(addr string, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(addr)
	*s = server{downUntil: now.Add(downTTL), closed: s.closed}
	return p.change(now)
}

// Closed records that a server closed a direct connection in the middle of an answer. That end came
// over the path, so if a connection is refused next, the server has exited.
func (p *Paths) Closed(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(addr).closed = now
}

// Refused records that a direct connection to a server was refused, and reports whether it is known to
// have exited. Other daemons need not confirm that, and the refusal says nothing about the path.
func (p *Paths) Refused(addr string, now time.Time) (exited bool, c Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[addr]
	if s == nil {
		return false, Unchanged
	}
	if now.Sub(s.closed) < closedTTL {
		p.exit(s, now)
	}
	return now.Before(s.exitedUntil), p.change(now)
}

// Exited records that another daemon has found a server to have exited.
func (p *Paths) Exited(addr string, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exit(p.server(addr), now)
	return p.change(now)
}

// exit marks a server as exited. The caller holds p.mu.
func (p *Paths) exit(s *server, now time.Time) {
	*s = server{downUntil: now.Add(exitTTL), exitedUntil: now.Add(exitTTL)}
}

// HasExited reports whether a server is known to have exited.
func (p *Paths) HasExited(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[addr]
	return s != nil && now.Before(s.exitedUntil)
}

// NoHelper records that no other daemon could connect to a server, and that none of them knows
// whether the server is at fault.
func (p *Paths) NoHelper(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server(addr).noHelperUntil = now.Add(noHelperTTL)
}

// server returns the state of a server and creates it if needed.
func (p *Paths) server(addr string) *server {
	if p.servers == nil {
		p.servers = map[string]*server{}
	}
	s := p.servers[addr]
	if s == nil {
		s = &server{}
		p.servers[addr] = s
	}
	return s
}

// change updates lost and returns the change.
func (p *Paths) change(now time.Time) Change {
	doubtful := p.doubtful(now)
	switch {
	case doubtful && !p.lost:
		p.lost, p.lostAt = true, now
		return Lost
	case p.lost && !doubtful:
		p.lost, p.regainedAt = false, now
		return Regained
	}
	return Unchanged
}

// MayReuse reports whether a direct connection to a server that has been idle since a time may
// carry a request. Packets on connections from before a silent cut are lost.
func (p *Paths) MayReuse(addr string, idleSince, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[addr]; s != nil && s.silent && p.failing(s, now) {
		return idleSince.After(s.since)
	}
	return !p.lost || idleSince.After(p.lostAt) || !p.silent(now)
}

// silent reports whether the path to all servers is in doubt because connections timed out.
func (p *Paths) silent(now time.Time) bool {
	for _, s := range p.servers {
		if s.silent && p.failing(s, now) && s.failed.After(p.reached) {
			return p.doubtful(now)
		}
	}
	return false
}

// OthersFailing reports whether direct connections to other servers than the given one have failed
// recently. The daemon's own path may then be at fault.
func (p *Paths) OthersFailing(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, s := range p.servers {
		if other != addr && p.failing(s, now) {
			return true
		}
	}
	return false
}

// Status summarises the paths for operators.
type Status struct {
	// Lost reports whether the servers are out of direct reach.
	Lost bool
	// Failing is how many servers a direct connection failed to, recently.
	Failing int
	// Reached is when a direct connection to any server was last established.
	Reached time.Time
	// RegainedAt is when the servers were last reached again after Lost.
	RegainedAt time.Time
}

// Status returns the state of the paths.
func (p *Paths) Status(now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{Lost: p.lost && p.doubtful(now), Failing: p.failedSince(time.Time{}, now), Reached: p.reached, RegainedAt: p.regainedAt}
}

// Prune forgets servers that are no longer listed and failures that no longer count.
func (p *Paths) Prune(listed func(addr string) bool, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, s := range p.servers {
		if !listed(addr) || (!p.failing(s, now) && !now.Before(s.downUntil) && now.Sub(s.closed) > closedTTL && !now.Before(s.noHelperUntil) && now.Sub(s.relayed) > checkInterval) {
			delete(p.servers, addr)
		}
	}
	return p.change(now)
}
