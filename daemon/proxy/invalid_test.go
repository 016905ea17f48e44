package proxy_test

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"ladderridge.example/core/verdict"
	"ladderridge.example/daemon/proxy"
	"ladderridge.example/daemon/storesync"
)

// invalidResponses are what a faulty server that has run a request sends in place of its answer.
var invalidResponses = map[string]script{
	"success, unsigned":               whole(http.StatusOK, "out of order", "Unsigned: 1"),
	"success, unsigned, in chunks":    raw("200 X", "Unsigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nout\r\n0\r\n\r\n", true),
	"success, unsigned, until closed": raw("200 X", "Unsigned: 1\r\n\r\nout of order", false),
	"success, unsigned, empty":        whole(http.StatusNoContent, "", "Unsigned: 1"),
	"created, unsigned":               whole(http.StatusCreated, "out", "Unsigned: 1"),
	"success, no ID":                  unnamed("200 X", ""),
	"success, encoded":                whole(http.StatusOK, "out", "Content-Encoding: gzip"),
	"stream, unsigned":                raw("200 X", "Unsigned: 1\r\n"+chunked("id: 1\ndata: false\n\n"), true),
	"not found, unsigned":             whole(http.StatusNotFound, "out", "Unsigned: 1"),
	"redirection, no ID":              unnamed("302 X", "Location: /out\r\n"),
	"failure, no ID":                  unnamed("500 X", ""),
	"request time-out":                whole(http.StatusRequestTimeout, "out"),
	"misdirected":                     whole(http.StatusMisdirectedRequest, "out"),
	"misdirected, no ID":              unnamed("421 X", ""),
	"too many requests":               whole(http.StatusTooManyRequests, "out", "Rest: 60"),
	"unavailable":                     whole(http.StatusServiceUnavailable, "out", "Unsigned: 1", "Rest: 60"),
	"unavailable, signed":             whole(http.StatusServiceUnavailable, "out"),
	"unavailable, no ID":              unnamed("503 X", "Rest: 60\r\n"),
	"declined, no ID":                 unnamed("503 X", "Declined: 1\r\n"),
	"success that is declined":        whole(http.StatusOK, "out", "Declined: 1"),
}

// unnamed returns the script of a response that does not name its request.
func unnamed(status, headers string) script {
	return func(c net.Conn, _ arrival) bool {
		_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+headers+"Content-Length: 12\r\n\r\nout of order")
		return err == nil
	}
}

// Guards against responses that are no answers and reach callers as successes or as a promise that their requests
// have not run: another server answers if the request may run twice, and otherwise the caller learns at once that it
// may have run.
func TestResponseThatIsNoAnswerReachesNoCaller(t *testing.T) {
	for name, invalid := range invalidResponses {
		for path, c := range map[string]struct {
			sound script
			want  proxy.Outcome
		}{
			"/once/x":   {whole(http.StatusOK, "good"), proxy.Failure{Reason: proxy.Failed}},
			"/again/x":  {whole(http.StatusOK, "good"), proxy.Answered{Status: http.StatusOK}},
			"/stream/x": {events(1, 2, true, "Proof: first"), proxy.Answered{Status: http.StatusOK}},
		} {
			t.Run(name+path, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					b := newFixture(t)
					b.known.set(resumable(), b.servers(3, inOrder(invalid, c.sound))...)
					got := b.send(t.Context(), proxy.Request{ID: "r", Path: path, Key: "k", Timeout: 2 * time.Second})
					if got.outcome != c.want || got.took > 0 || strings.Contains(got.body.String(), "out") {
						t.Errorf("outcome %#v after %v, body %q", got.outcome, got.took, got.body.String())
					}
					attempts := 2
					if path == "/once/x" {
						attempts = 1
					}
					if n := len(b.received()); n != attempts {
						t.Errorf("%d attempts", n)
					}
					// The next request may use the server: it did not ask for a back-off.
					if got := b.send(t.Context(), proxy.Request{ID: "s", Path: path, Key: "k", Timeout: time.Second}); got.status != http.StatusOK {
						t.Errorf("outcome of the next request: %#v", got.outcome)
					}
				})
			})
		}
	}
}

// Guards against evidence from responses that are no answers: they count as failures of their server's version.
func TestResponseThatIsNoAnswerCountsAsAFailure(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(resumable(), b.servers(1, whole(http.StatusOK, "out", "Unsigned: 1"))...)
		b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		if f := b.known.lastObservation(); !f.Failed {
			t.Errorf("observed: %+v", f)
		}
		if n := b.engine.Invalid.Of(verdict.Unsigned); n != 1 {
			t.Errorf("%d counted", n)
		}
	})
}

// Guards against a version whose streams prove to be no answers and which counts as sound by their first events.
func TestStreamOfFalseEventsCountsAsAFailure(t *testing.T) {
	for name, faulty := range falseEvents {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				b.known.set(resumable(), b.servers(1, faulty)...)
				b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second, MaxOutput: 10})
				failed := slices.ContainsFunc(b.known.observations(), func(f storesync.Observation) bool { return f.Failed })
				if brokenOff := name == "more than the answer has, broken off"; failed == brokenOff {
					t.Errorf("a failure is observed: %v; attempts %+v", failed, b.reports[0].Attempts)
				}
			})
		})
	}
}
