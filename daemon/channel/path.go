package channel

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"ladderridge.example/core/reach"
)

// Endpoint is the server that a connection is for.
type Endpoint struct {
	Addr string
	// Hall is the server's data hall, "" if it is not known.
	Hall string
	// RequestID is the caller's id of the request, for the log of a daemon that
	// relays it.
	RequestID string
	// MaxIdle limits how long the connection may have been idle; 0 means the
	// default.
	MaxIdle time.Duration
	// Deadline is when the request is given up, zero for never.
	Deadline time.Time
	// RelayAllowed reports whether the request may pass through a data hall; nil
	// allows all.
	RelayAllowed func(hall string) bool
}

// maxIdle returns how long the connection may have been idle.
func (e Endpoint) maxIdle() time.Duration {
	if e.MaxIdle > 0 {
		return e.MaxIdle
	}
	return defaultMaxIdle
}

// Path is how a request reaches its server.
type Path struct {
	// Reused reports whether the connection was open before. The answer then
	// does not show that a new connection can be established.
	Reused bool
	// OpenedAt is when the connection was established, zero if it leads through
	// another daemon, which may have had it open before.
	OpenedAt time.Time
	// Via is the daemon through which the connection leads, "" if it is direct.
	Via string
	// Reason says why the connection is not direct.
	Reason string
	// RoundTrip is the shortest time that connecting to a server of the same hall has
	// taken, 0 if that is unknown.
	RoundTrip time.Duration
}

// Relay connects to servers through other daemons.
type Relay interface {
	// Available reports whether other daemons are known.
	Available() bool
	// Dial connects to a server through another daemon. Without a connection the
	// answer is ServerDown or ServerRefused if that daemon's own path is intact,
	// and another one if no daemon could help.
	Dial(ctx context.Context, e Endpoint) (RelayConn, reach.Answer)
}

// RelayConn is a connection through another daemon.
type RelayConn interface {
	net.Conn
	// Via returns the id of that daemon.
	Via() string
	// Release ends the connection after a complete exchange. The other daemon
	// may use its connection to the server again.
	Release()
}

// newRelayedConn returns a connection through another daemon with the reason for it.
func newRelayedConn(conn RelayConn, reason string) *persistentConn {
	c := newPersistentConn(conn)
	c.reason, c.openedAt = reason, time.Time{}
	return c
}

// via returns the daemon through which the connection leads, "" if it is direct.
func (c *persistentConn) via() string {
	if relayed, ok := c.conn.(RelayConn); ok {
		return relayed.Via()
	}
	return ""
}

// roundTrips has the shortest times to connect, by data hall. It is safe for
// concurrent use.
type roundTrips struct {
	mu     sync.Mutex
	byHall map[string]time.Duration
}

// observe records how long it took to connect to a server of a hall.
func (t *roundTrips) observe(hall string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if shortest, ok := t.byHall[hall]; !ok || took < shortest {
		t.byHall[hall] = took
	}
}

func (t *roundTrips) shortest(hall string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byHall[hall]
}

// release ends the use of a connection that may carry another request.
func (p *Pool) release(addr string, c *persistentConn) {
	if relayed, ok := c.conn.(RelayConn); ok {
		relayed.Release()
		return
	}
	p.putIdle(addr, c)
}

// Errors of connections that were not established.
var (
	errNoPath      = errors.New("no path to the server, directly or through another daemon")
	errUnconfirmed = errors.New("connection refused, but no other daemon has confirmed it")
)

// open opens a connection to a server, through another daemon if the direct path
// has failed or is in doubt.
func (p *Pool) open(ctx context.Context, e Endpoint) (*persistentConn, error) {
	if p.Relay == nil || !p.Relay.Available() {
		return p.openDirect(ctx, e.Addr)
	}
	switch plan := p.Paths.Plan(e.Addr, time.Now()).(type) {
	case reach.Direct:
		switch {
		case plan.Unconfirmed:
			c, err := p.openAndRecord(ctx, e.Addr)
			return c, p.unconfirmed(err)
		case plan.NoRelay:
			c, err := p.openDirect(ctx, e.Addr)
			if err == nil {
				p.changed(p.Paths.Reached(e.Addr, time.Now()))
			}
			return c, err
		}
		return p.race(ctx, e, plan.RelayAfter)
	case reach.Both:
		return p.race(ctx, e, 0)
	case reach.Relayed:
		if plan.Check {
			go p.checkDirect(e.Addr)
		}
		return p.openRelayed(ctx, e, plan)
	default:
		return nil, unreachable(errNoPath)
	}
}

func unreachable(err error) *Error {
	return &Error{Op: opExchange, Kind: Unreachable, Err: merry.Wrap(err)}
}

// unconfirmed hides that a connection was refused: on the way of this daemon
// alone, that does not show that the server has exited.
func (p *Pool) unconfirmed(err error) error {
	if err != nil && ConnectionRefused(err) {
		p.Unconfirmed.Add(1)
		return unreachable(errUnconfirmed)
	}
	return err
}

// openDirect opens a direct connection.
func (p *Pool) openDirect(ctx context.Context, addr string) (*persistentConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.Dial(ctx, addr)
	if err != nil {
		return nil, unreachable(err)
	}
	p.Opened.Add(1)
	return newPersistentConn(conn), nil
}

// openAndRecord opens a direct connection and records the result.
func (p *Pool) openAndRecord(ctx context.Context, addr string) (*persistentConn, error) {
	c, err := p.openDirect(ctx, addr)
	switch {
	case err == nil:
		p.changed(p.Paths.Reached(addr, time.Now()))
	case ctx.Err() == nil:
		p.changed(p.Paths.Failed(addr, TimedOut(err), time.Now()))
	}
	return c, err
}

// checkDirect opens a direct connection to find out whether the path to a server
// has recovered, and keeps it for the next request.
func (p *Pool) checkDirect(addr string) {
	if c, err := p.openAndRecord(context.Background(), addr); err == nil {
		p.putIdle(addr, c)
	}
}

// refusedByExit reports whether a connection was refused because the server has exited, which needs
// no confirmation by another daemon.
func (p *Pool) refusedByExit(addr string, err error) bool {
	if !ConnectionRefused(err) {
		return false
	}
	exited, change := p.Paths.Refused(addr, time.Now())
	p.changed(change)
	return exited
}

// openRelayed opens a connection through another daemon.
func (p *Pool) openRelayed(ctx context.Context, e Endpoint, plan reach.Relayed) (*persistentConn, error) {
	conn, answer := p.Relay.Dial(ctx, e)
	if answer == reach.Connected {
		p.Paths.Relayed(e.Addr, time.Now())
		reason := "direct path to other servers fails"
		if plan.FailedFor > 0 {
			reason = "direct path has failed for " + plan.FailedFor.Truncate(time.Millisecond).String()
		}
		return newRelayedConn(conn, reason), nil
	}
	if ctx.Err() == nil {
		p.recordAnswer(e, answer)
	}
	return nil, p.answerError(answer, errNoPath)
}

// recordAnswer records that no other daemon has connected to a server. That only some daemons may
// be asked, or do not know the server yet, says nothing about other requests.
func (p *Pool) recordAnswer(e Endpoint, answer reach.Answer) {
	switch {
	case answer == reach.ServerDown, answer == reach.ServerRefused:
		p.changed(p.Paths.Down(e.Addr, time.Now()))
	case e.RelayAllowed == nil && answer != reach.Unlisted:
		p.Paths.NoHelper(e.Addr, time.Now())
	}
}

// answerError returns the error of a connection that another daemon has not
// established either; err is that of the direct one.
func (p *Pool) answerError(answer reach.Answer, err error) error {
	switch {
	case answer == reach.ServerRefused:
		return unreachable(syscall.ECONNREFUSED)
	case ConnectionRefused(err):
		p.Unconfirmed.Add(1)
		return unreachable(errUnconfirmed)
	}
	return unreachable(err)
}

// changed reports a change of the paths.
func (p *Pool) changed(c reach.Change) {
	if c != reach.Unchanged && p.OnPathChange != nil {
		p.OnPathChange(c)
	}
}
