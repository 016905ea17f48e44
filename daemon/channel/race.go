package channel

import (
	"context"
	"time"

	"ladderridge.example/core/reach"
)

// dialRace opens a connection directly and through another daemon. Its attempts
// are not bound to a request: their results count for later requests, too.
type dialRace struct {
	pool     *Pool
	endpoint Endpoint

	direct  chan directResult
	relayed chan relayResult
	// started is set once another daemon has been asked.
	started bool
	// directErr is the error of the direct attempt, nil until it has failed. refusal
	// is the answer of other daemons that could not connect, Connected until then.
	directErr error
	refusal   reach.Answer
}

// directResult is the result of a direct attempt.
type directResult struct {
	conn *persistentConn
	err  error
}

// relayResult is the result of an attempt through another daemon.
type relayResult struct {
	conn   RelayConn
	answer reach.Answer
}

// race opens a connection directly, and through another daemon after a delay or
// once the direct attempt has failed. It returns the first connection.
func (p *Pool) race(ctx context.Context, e Endpoint, relayAfter time.Duration) (*persistentConn, error) {
	r := &dialRace{pool: p, endpoint: e, direct: make(chan directResult, 1), relayed: make(chan relayResult, 1)}
	r.startDirect()
	delay := time.NewTimer(relayAfter)
	defer delay.Stop()
	for {
		select {
		case d := <-r.direct:
			if d.err == nil {
				go r.discardRelayed()
				return d.conn, nil
			}
			r.directErr = d.err
			if p.refusedByExit(e.Addr, d.err) {
				go r.discardRelayed()
				return nil, d.err
			}
			r.startRelayed()
		case v := <-r.relayed:
			if v.answer == reach.Connected {
				p.Paths.Relayed(e.Addr, time.Now())
				go r.recordDirect()
				return newRelayedConn(v.conn, r.reason()), nil
			}
			r.refusal = v.answer
		case <-delay.C:
			r.startRelayed()
		case <-ctx.Done():
			go r.abandon()
			return nil, unreachable(ctx.Err())
		}
		if r.directErr != nil && r.refusal != reach.Connected {
			r.recordFailure()
			return nil, p.answerError(r.refusal, r.directErr)
		}
	}
}

// reason says why another daemon has connected first.
func (r *dialRace) reason() string {
	if r.directErr != nil {
		return "direct connection failed"
	}
	return "direct connection is slower"
}

// startDirect starts the direct attempt.
func (r *dialRace) startDirect() {
	go func() {
		c, err := r.pool.openDirect(context.Background(), r.endpoint.Addr)
		if err == nil {
			r.pool.changed(r.pool.Paths.Reached(r.endpoint.Addr, time.Now()))
		}
		r.direct <- directResult{c, err}
	}()
}

// startRelayed starts the attempt through another daemon, once.
func (r *dialRace) startRelayed() {
	if r.started {
		return
	}
	r.started = true
	go func() {
		conn, answer := r.pool.Relay.Dial(context.Background(), r.endpoint)
		r.relayed <- relayResult{conn, answer}
	}()
}

// discardRelayed ends the attempt through another daemon after the direct one
// has decided.
func (r *dialRace) discardRelayed() {
	if !r.started || r.refusal != reach.Connected {
		return
	}
	if v := <-r.relayed; v.answer == reach.Connected {
		v.conn.Release()
	}
}

// recordDirect records the direct attempt after another daemon has connected.
func (r *dialRace) recordDirect() {
	err := r.directErr
	if err == nil {
		d := <-r.direct
		if d.err == nil {
			r.pool.putIdle(r.endpoint.Addr, d.conn)
			return
		}
		err = d.err
	}
	r.pool.pathFailed(r.endpoint.Addr, err)
}

// abandon waits for the attempts of a request that has been given up.
func (r *dialRace) abandon() {
	if r.directErr == nil {
		d := <-r.direct
		if d.err == nil {
			r.pool.putIdle(r.endpoint.Addr, d.conn)
			r.discardRelayed()
			return
		}
		r.directErr = d.err
	}
	if !r.started {
		return
	}
	if r.refusal == reach.Connected {
		v := <-r.relayed
		if v.answer == reach.Connected {
			v.conn.Release()
			r.pool.pathFailed(r.endpoint.Addr, r.directErr)
			return
		}
		r.refusal = v.answer
	}
	r.recordFailure()
}

// recordFailure records that both attempts have failed.
func (r *dialRace) recordFailure() {
	if r.refusal != reach.ServerDown && r.refusal != reach.ServerRefused {
		r.pool.pathFailed(r.endpoint.Addr, r.directErr)
	}
	r.pool.recordAnswer(r.endpoint, r.refusal)
}

// pathFailed records that a direct connection to a server failed on the way.
// Connections to it from before are of no use if it timed out.
func (p *Pool) pathFailed(addr string, err error) {
	silent := TimedOut(err)
	p.changed(p.Paths.Failed(addr, silent, time.Now()))
	if silent {
		p.CloseIdle(addr)
	}
}
