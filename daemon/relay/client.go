package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/reach"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/peer"
)

const (
	// dialTimeout limits the time to connect through other daemons, askTimeout that of one of
	// them.
	dialTimeout = 600 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	// maxAsked is how many daemons are asked for one connection.
	maxAsked = 6
)

// Member is another daemon.
type Member struct {
	ID   string
	Hall string
	// Addr is the address at which it listens for other daemons.
	Addr string
}

// Opener opens streams to other daemons.
type Opener interface {
	OpenRelay(ctx context.Context, id, addr string) (s *quic.Stream, done func(), err error)
}

// Client connects to servers through other daemons. Set the exported fields before use.
type Client struct {
	// Hall is the data hall of this daemon.
	Hall   string
	Opener Opener
	// Members returns the other daemons, Known whether there are any.
	Members func() []Member
	Known   func() bool
	Helpers reach.Helpers
	// OnAnswer is called with each answer of another daemon; may be nil.
	OnAnswer func(reach.Answer)

	directory atomic.Pointer[directory]
}

// directory has the other daemons at a time. It is immutable.
type directory struct {
	at         time.Time
	members    map[string]Member
	candidates []reach.Candidate
}

// directoryTTL is how long a directory is used. With a thousand daemons, one for each connection would
// take more time than the connection.
const directoryTTL = time.Second

// current returns a directory that is not too old.
func (c *Client) current(now time.Time) *directory {
	if d := c.directory.Load(); d != nil && now.Sub(d.at) < directoryTTL {
		return d
	}
	d := &directory{at: now, members: map[string]Member{}}
	for _, m := range c.Members() {
		d.members[m.ID] = m
		d.candidates = append(d.candidates, reach.Candidate{ID: m.ID, Hall: m.Hall})
	}
	c.directory.Store(d)
	return d
}

var _ channel.Relay = (*Client)(nil)

// pruneInterval is the time between two removals of daemons that are no longer listed.
const pruneInterval = 10 * time.Second

// Run forgets daemons that are no longer listed, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	tick := clock.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.prune()
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Client) prune() {
	now := time.Now()
	members := c.current(now).members
	c.Helpers.Prune(func(id string) bool {
		_, ok := members[id]
		return ok
	}, now)
}

// Available implements channel.Relay.
func (c *Client) Available() bool { return c.Known() }

// Dial implements channel.Relay. It asks one daemon after the other until one has connected, or
// one with an intact path could not.
func (c *Client) Dial(ctx context.Context, e channel.Endpoint) (channel.RelayConn, reach.Answer) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := c.current(time.Now())
	candidates := d.candidates
	if e.RelayAllowed != nil {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(one reach.Candidate) bool { return !e.RelayAllowed(one.Hall) })
	}
	asked, last := map[string]bool{}, reach.Silent
	for len(asked) < maxAsked && ctx.Err() == nil {
		id, ok := c.Helpers.Choose(candidates, reach.Request{Addr: e.Addr, Hall: e.Hall, OwnHall: c.Hall, Asked: asked}, time.Now())
		if !ok {
			break
		}
		asked[id] = true
		conn, answer := c.ask(ctx, d.members[id], e)
		if c.OnAnswer != nil {
			c.OnAnswer(answer)
		}
		switch answer {
		case reach.Connected:
			return conn, answer
		case reach.ServerDown, reach.ServerRefused:
			return nil, answer
		}
		last = answer
	}
	return nil, last
}

// ask asks one daemon for a connection.
func (c *Client) ask(ctx context.Context, m Member, e channel.Endpoint) (*clientConn, reach.Answer) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s, done, err := c.Opener.OpenRelay(ctx, m.ID, m.Addr)
	if err != nil {
		answer := reach.Silent
		if fault.Is(err, peer.Unsupported) {
			answer = reach.Unsupported
		}
		c.Helpers.Answered(m.ID, e.Addr, answer, 0, time.Now())
		return nil, answer
	}
	conn := &clientConn{Stream: s, client: c, via: m.ID, addr: e.Addr, done: done}
	c.Helpers.Opened(m.ID)
	response, err := conn.open(ctx, e)
	if err != nil {
		response.Answer = reach.Silent
	}
	c.Helpers.Answered(m.ID, e.Addr, response.Answer, int(response.Serving), time.Now())
	if response.Answer != reach.Connected {
		_ = conn.Close()
		return nil, response.Answer
	}
	return conn, reach.Connected
}
