package channel_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/reach"
	"ladderridge.example/daemon/channel"
)

// wire is the modelled network of a daemon: its direct connections and those through another one.
type wire struct {
	mu sync.Mutex
	// cut is the error of direct connections, nil for none; hangs makes them time out instead.
	cut   error
	hangs bool
	// answer is that of the other daemon.
	answer   reach.Answer
	relayed  atomic.Int64
	released atomic.Int64
}

// relayedConn is a connection through another daemon.
type relayedConn struct {
	net.Conn
	w *wire
}

func (relayedConn) Via() string { return "other" }

func (c relayedConn) Release() {
	c.w.released.Add(1)
	_ = c.Close()
}

func (w *wire) Available() bool { return true }

func (w *wire) Dial(context.Context, channel.Endpoint) (channel.RelayConn, reach.Answer) {
	w.relayed.Add(1)
	if w.answer != reach.Connected {
		return nil, w.answer
	}
	return relayedConn{serve(), w}, reach.Connected
}

func (w *wire) dial(ctx context.Context, _ string) (net.Conn, error) {
	w.mu.Lock()
	cut, hangs := w.cut, w.hangs
	w.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if cut != nil {
		return nil, cut
	}
	return serve(), nil
}

// set cuts the direct path as in another network, or heals it.
func (w *wire) set(cut error, hangs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut, w.hangs = cut, hangs
}

// serve returns a connection to a server that answers each request with its id.
func serve() net.Conn {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		r := bufio.NewReader(far)
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}()
	return near
}

// newPathPool returns a pool on a modelled network, closed at the end of the test.
func newPathPool(t *testing.T, w *wire) *channel.Pool {
	t.Helper()
	p := channel.NewPool()
	p.Dial, p.Relay = w.dial, w
	t.Cleanup(func() {
		synctest.Wait()
		p.Sweep(func(string) bool { return false })
	})
	return p
}

// send sends a request and returns its path and how long it took.
func send(t *testing.T, p *channel.Pool, addr string) (path channel.Path, took time.Duration, err error) {
	t.Helper()
	start := time.Now()
	x := request(addr, "a")
	x.BeforeSend = func(used channel.Path) error { path = used; return nil }
	_, err = exchange(t, p, x)
	return path, time.Since(start), err
}

// Guards against bytes of an earlier request that count as the answer to the first one on a connection through another
// daemon, which may have used its connection to the server before.
func TestOnlyNewDirectConnectionsCountAsUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{}
		p := newPathPool(t, w)
		used := func(addr string) (unused bool) {
			x := request(addr, "a")
			x.Surplus = func(_ int, _ http.Header, first bool) bool { unused = first; return false }
			if _, err := exchange(t, p, x); err != nil {
				t.Fatal(err)
			}
			return unused
		}
		if first, second := used("a"), used("a"); !first || second {
			t.Errorf("unused: a new connection %v, a kept one %v", first, second)
		}
		w.set(syscall.ECONNREFUSED, false)
		if used("b") || w.relayed.Load() == 0 {
			t.Errorf("a connection through another daemon counts as unused; %d asked", w.relayed.Load())
		}
	})
}

// A calm day must make no hop, and a request must not spend its deadline on finding out that its
// path is cut.
func TestRequestsPassThroughAnotherDaemonWhileThePathIsCut(t *testing.T) {
	for name, broken := range map[string]*wire{"refused": {cut: syscall.ECONNREFUSED}, "silent": {hangs: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &wire{}
				p := newPathPool(t, w)
				var changes []reach.Change
				p.OnPathChange = func(c reach.Change) {
					w.mu.Lock()
					defer w.mu.Unlock()
					changes = append(changes, c)
				}
				if path, _, err := send(t, p, "a"); err != nil || path.Via != "" || w.relayed.Load() > 0 {
					t.Fatalf("before the cut: %+v, %v", path, err)
				}
				w.set(broken.cut, broken.hangs)
				p.CloseIdle("a")
				for n := range 20 {
					path, took, err := send(t, p, string(rune('a'+n%4)))
					if err != nil || path.Via != "other" || took > 150*time.Millisecond {
						t.Fatalf("request %d of the cut: %+v, %v, %v", n, path, took, err)
					}
					time.Sleep(100 * time.Millisecond)
				}
				if w.released.Load() != 20 {
					t.Errorf("%d of 20 connections were released for further use", w.released.Load())
				}
				w.set(nil, false)
				for range 20 {
					_, _, _ = send(t, p, "a")
					time.Sleep(100 * time.Millisecond)
				}
				if path, _, err := send(t, p, "a"); err != nil || path.Via != "" {
					t.Errorf("after the cut: %+v, %v", path, err)
				}
				synctest.Wait()
				if len(changes) != 2 || changes[0] != reach.Lost || changes[1] != reach.Regained {
					t.Errorf("changes %v", changes)
				}
			})
		})
	}
}

// A connection refused on the way of this daemon alone was counted as the exit of its server, and
// requests were quarantined for it.
func TestRefusedConnectionIsAnExitOnlyIfConfirmed(t *testing.T) {
	for answer, confirmed := range map[reach.Answer]bool{
		reach.ServerRefused: true, reach.ServerDown: false, reach.CutOff: false, reach.Silent: false, reach.Unlisted: false,
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPathPool(t, &wire{cut: syscall.ECONNREFUSED, answer: answer})
			_, _, err := send(t, p, "a")
			if !fault.Is(err, channel.Unreachable) || channel.ConnectionRefused(err) != confirmed {
				t.Errorf("%v: %v", answer, err)
			}
		})
	}
}

// A daemon that is cut off itself said that the servers had exited.
func TestCutOffDaemonDoesNotBlameServers(t *testing.T) {
	for name, c := range map[string]struct {
		reached []string
		want    reach.Answer
	}{"own path cut": {nil, reach.CutOff}, "one server reached": {[]string{"other"}, reach.CutOff}, "own path intact": {[]string{"other", "reference"}, reach.ServerRefused}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &wire{}
				p := newPathPool(t, w)
				p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					if slices.Contains(c.reached, addr) {
						return w.dial(ctx, addr)
					}
					return nil, syscall.ECONNREFUSED
				}
				p.References = func(string) []string { return []string{"reference", "other"} }
				if _, got := p.Connect(t.Context(), "a", time.Second); got != c.want {
					t.Errorf("answer %v, not %v", got, c.want)
				}
				if w.relayed.Load() > 0 {
					t.Error("a connection for another daemon was passed on to a third one")
				}
			})
		})
	}
}

// A request whose route is bound to regions must not pass through a daemon elsewhere, and that it
// found none says nothing about other requests.
func TestRequestBoundToRegionsDoesNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{cut: syscall.ECONNREFUSED, answer: reach.Silent}
		p := newPathPool(t, w)
		x := request("a", "a")
		x.RelayAllowed = func(string) bool { return false }
		if _, err := exchange(t, p, x); err == nil {
			t.Fatal("no error")
		}
		w.answer = reach.Connected
		if path, _, err := send(t, p, "a"); err != nil || path.Via != "other" {
			t.Errorf("%+v, %v", path, err)
		}
	})
}
