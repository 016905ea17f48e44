package proxy_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/prefixcache"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// part is a part of the prompts in these tests, as the registry has it.
func part(id string) quarantine.Part { return quarantine.PartOf("s", id) }

// ask returns a request for a stream whose prompt has some parts and one of its own.
func ask(id string, ids ...string) proxy.Request {
	r := proxy.Request{ID: id, Path: "/stream/x", Key: "k", Body: []byte(strings.Join(ids, " ") + " " + id), Timeout: 4 * time.Second}
	for _, p := range append(ids, "own "+id) {
		r.Prompt = append(r.Prompt, prefixcache.Part{ID: p, Tokens: 10})
	}
	return r
}

// crashingWith returns a script that crashes its server with requests whose bodies contain a word.
func (b *fixture) crashingWith(word string, s script) script {
	return func(c net.Conn, a arrival) bool {
		if !strings.Contains(a.body, word) {
			return s(c, a)
		}
		b.end(a.server)
		return false
	}
}

// servers returns servers with the same script.
func (b *fixture) servers(n int, s script) []*fleet.Server {
	var out []*fleet.Server
	for i := range n {
		out = append(out, b.server("s"+strconv.Itoa(i), s))
	}
	return out
}

// Guards against repeats of a request that go on after its part was confined, and against a refusal that
// says "not run" of a request that may have run.
func TestRequestWithAConfinedPartIsSentToNoOtherServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.servers(10, b.crashingWith("deadly", events(1, 3, true)))...)
		var outcomes []proxy.Outcome
		for n := range 4 {
			outcomes = append(outcomes, b.send(t.Context(), ask("r"+strconv.Itoa(n), "deadly")).outcome)
			time.Sleep(500 * time.Millisecond)
		}
		if n := b.ended.Load(); n < quarantine.PartCrashThreshold || n > quarantine.PartCrashThreshold+3 {
			t.Errorf("%d servers exited", n)
		}
		last, refused := outcomes[3].(proxy.Refused)
		if !refused || last.Reason != proxy.Quarantined || last.RetryAfter <= 0 {
			t.Errorf("last outcome %#v", outcomes[3])
		}
		for i, out := range outcomes[:2] {
			if _, failed := out.(proxy.Failure); !failed {
				t.Errorf("outcome %d of a request that may have run: %#v", i, out)
			}
		}
		if got := b.send(t.Context(), ask("sound", "other")); got.status != 200 {
			t.Errorf("sound request: %#v", got.outcome)
		}
	})
}

// Guards against a trial that crashes as many servers as a request has attempts.
func TestTrialOfAConfinedPartIsSentToOneServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.servers(10, b.crashingWith("deadly", events(1, 3, true)))...)
		for n := range 5 {
			b.known.RecordServerExit(strconv.Itoa(n), []quarantine.Suspect{{Content: 9, Parts: []quarantine.Part{part("deadly")}}})
		}
		time.Sleep(31 * time.Second)
		b.known.set(b.known.view.Map, b.known.view.Servers.All()...)
		out := b.send(t.Context(), ask("trial", "deadly")).outcome
		if _, failed := out.(proxy.Failure); !failed || b.ended.Load() != 1 {
			t.Errorf("outcome %#v, %d servers exited", out, b.ended.Load())
		}
		if out := b.send(t.Context(), ask("next", "deadly")).outcome; b.ended.Load() != 1 {
			t.Errorf("outcome of the next request %#v, %d servers exited", out, b.ended.Load())
		}
	})
}

// unframed returns a script that answers with events and ends them with the connection. With exits its
// server exits at that moment.
func (b *fixture) unframed(exits bool) script {
	return func(c net.Conn, a arrival) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+a.header.Get("Id")+"\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
		if exits {
			b.end(a.server)
		}
		return false
	}
}

// Guards against an answer that ends with its connection and looks complete: where its server crashed the
// crash counted for nothing and the answer cleared what was counted, and where it did not, nothing
// cleared the count.
func TestAnswerThatEndsWithItsConnectionCountsByItsServer(t *testing.T) {
	for _, exits := range []bool{true, false} {
		inBubble(t, func(t *testing.T) {
			b := newFixture(t)
			b.known.set(routemap.New(parts(1, "k")), b.servers(3, b.unframed(exits))...)
			for n := range 4 {
				b.known.RecordServerExit(strconv.Itoa(n), []quarantine.Suspect{{Content: 9, Parts: []quarantine.Part{part("p")}}})
				time.Sleep(time.Millisecond)
			}
			b.send(t.Context(), ask("r", "p"))
			time.Sleep(time.Second)
			if _, confined := b.known.parts.Confined([]quarantine.Part{part("p")}, time.Now()); confined != exits {
				t.Errorf("server exits %v: confined %v", exits, confined)
			}
			if !exits && b.known.parts.Suspected([]quarantine.Part{part("p")}, time.Now()) {
				t.Error("the answer of a running server does not clear the count")
			}
		})
	}
}

// Guards against a stream without length or chunks that ends inside an event and passes for complete: it
// goes on at another server behind the last event that the caller has.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		broken := func(c net.Conn, a arrival) bool {
			if a.header.Get("After") != "" {
				return events(2, 3, true)(c, a)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+a.header.Get("Id")+"\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\nid: 2\nda")
			return false
		}
		b.known.set(routemap.New(parts(1, "k")), b.servers(2, broken)...)
		got := b.send(t.Context(), ask("r", "p"))
		if _, answered := got.outcome.(proxy.Answered); !answered || strings.Count(got.body.String(), "id: ") != 3 || len(b.received()) != 2 {
			t.Errorf("outcome %#v, body %q, %d attempts", got.outcome, got.body.String(), len(b.received()))
		}
	})
}
