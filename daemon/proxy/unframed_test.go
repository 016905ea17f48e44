package proxy_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ladderridge.example/daemon/proxy"
)

// withoutFraming returns the script of a server whose response ends with its connection. If exits is set, its process
// ends in the middle of it, which ends the connection in the regular way.
func (b *fixture) withoutFraming(body string, exits bool) script {
	return func(c net.Conn, a arrival) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+a.header.Get("Id")+"\r\nProof: first\r\n\r\n"+body)
		if exits {
			// The listener is closed last.
			time.AfterFunc(5*time.Millisecond, func() { b.end(a.server) })
		}
		return false
	}
}

// Guards against responses without framing that look complete after their server was killed, and against the refusal of
// those of servers that go on.
func TestResponseWithoutFramingIsCompleteOnlyIfItsServerRuns(t *testing.T) {
	two := "id: 1\ndata: s\n\nid: 2\ndata: s\n\n"
	long := strings.Repeat("x", 2<<20)
	for _, c := range []struct {
		name, path, body string
		exits            bool
		next             script
		want             proxy.Outcome
		got              string
	}{
		{"stream", "/stream/x", two, false, answerOf(9), proxy.Answered{Status: http.StatusOK}, two},
		{"stream of a killed server", "/stream/x", two, true, answerOf(3), proxy.Answered{Status: http.StatusOK}, two + "id: 3\ndata: s\n\n"},
		{"whole stream of a killed server", "/stream/x", two, true, answerOf(2), proxy.Answered{Status: http.StatusOK}, two},
		{"plain", "/once/x", "body", false, whole(200, "other"), proxy.Answered{Status: http.StatusOK}, "body"},
		{"plain of a killed server", "/once/x", "bo", true, whole(200, "other"), proxy.Failure{Reason: proxy.Failed}, ""},
		{"repeatable of a killed server", "/again/x", "bo", true, whole(200, "body"), proxy.Answered{Status: http.StatusOK}, "body"},
		{"long", "/once/x", long, false, whole(200, "other"), proxy.Answered{Status: http.StatusOK}, long},
		{"long of a killed server", "/once/x", long, true, whole(200, "other"), proxy.Interrupted{Reason: proxy.Failed}, long},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				b.known.set(resumable(), b.servers(3, inOrder(b.withoutFraming(c.body, c.exits), c.next))...)
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: c.path, Key: "k", Timeout: 2 * time.Second})
				body := strings.NewReplacer("s0", "s", "s1", "s", "s2", "s").Replace(got.body.String())
				if got.outcome != c.want || body != c.got || got.took > 100*time.Millisecond {
					t.Errorf("outcome %#v after %v, body of %d bytes: %.90q", got.outcome, got.took, len(body), body)
				}
			})
		})
	}
}
