package channel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/reach"
	"ladderridge.example/daemon/channel"
)

// hall is the modelled network of a few daemons and servers, whose paths are intact.
type hall struct {
	mu    sync.Mutex
	addrs []string
	// down are the servers that have crashed: they refuse connections.
	down map[string]bool
	// open are the connections of each server.
	open map[string][]net.Conn
	rng  *rand.Rand
}

func (h *hall) dial(_ context.Context, addr string) (net.Conn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down[addr] {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	h.open[addr] = append(h.open[addr], far)
	go func() {
		r := bufio.NewReader(far)
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			// The rest of the body never comes: the server crashes before.
			if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 10\r\n\r\nok"); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// crash ends a server: its connections end, and it refuses new ones.
func (h *hall) crash(addr string) {
	h.mu.Lock()
	h.down[addr] = true
	open := h.open[addr]
	h.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// references returns two other servers. Whether they are running is not known.
func (h *hall) references(except string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, i := range h.rng.Perm(len(h.addrs)) {
		if h.addrs[i] != except && len(out) < 2 {
			out = append(out, h.addrs[i])
		}
	}
	return out
}

// neighbour relays through another daemon of the hall.
type neighbour struct{ pool *channel.Pool }

func (neighbour) Available() bool { return true }

func (n neighbour) Dial(ctx context.Context, e channel.Endpoint) (channel.RelayConn, reach.Answer) {
	c, answer := n.pool.Connect(ctx, e.Addr, 0)
	if answer != reach.Connected {
		return nil, answer
	}
	return relayedConn{c, &wire{}}, answer
}

// Guards against exits that are not recognised while other servers are down, too: each daemon then took
// the refused connections for a fault of its own path, so that none confirmed an exit to another one, and
// requests that crash servers were not counted.
func TestExitsAreRecognisedWhileOtherServersAreDown(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5} {
		synctest.Test(t, func(t *testing.T) {
			const crashes = 6
			h := &hall{down: map[string]bool{}, open: map[string][]net.Conn{}, rng: rand.New(rand.NewPCG(seed, 1))}
			for n := range 10 {
				h.addrs = append(h.addrs, fmt.Sprintf("s%d", n))
			}
			daemons := make([]*channel.Pool, 3)
			exits := make([]map[string]bool, len(daemons))
			trackers := make([]*quarantine.Tracker, len(daemons))
			for i := range daemons {
				daemons[i], trackers[i], exits[i] = newPathPool(t, &wire{}), quarantine.NewTracker(), map[string]bool{}
				daemons[i].Dial, daemons[i].References = h.dial, h.references
			}
			for i, p := range daemons {
				p.Relay = neighbour{daemons[(i+1)%len(daemons)]}
			}
			for _, addr := range h.addrs[:crashes] {
				// The first two daemons have a request there. The third one finds out when it connects.
				replies := make([]*channel.Reply, 0, 2)
				for _, p := range daemons[:2] {
					reply, err := p.Send(t.Context(), request(addr, "a"))
					if err != nil {
						t.Fatal(err)
					}
					replies = append(replies, reply)
				}
				h.crash(addr)
				for i, reply := range replies {
					if _, err := io.ReadAll(reply); err == nil {
						t.Fatal("the answer of a crashed server is complete")
					}
					reply.Close()
					daemons[i].Probe(trackers[i], quarantine.Instance{Server: addr, Addr: addr}, func(at quarantine.Instance) {
						h.mu.Lock()
						defer h.mu.Unlock()
						exits[i][at.Server] = true
					})
				}
				_, _, _ = send(t, daemons[2], addr)
				time.Sleep(150 * time.Millisecond)
			}
			synctest.Wait()
			for i := range 2 {
				if n := len(exits[i]); n != crashes {
					t.Errorf("seed %d: daemon %d recognised %d of %d exits", seed, i, n, crashes)
				}
			}
		})
	}
}
