package scenario_test

import (
	"net/http"
	"testing"

	"ladderridge.example/daemon/wire"
)

// One chat request ended each model server that began to run it. Its attempts, four at a
// daemon, blamed the servers, and so did those at the next daemon: nothing was held against
// the request. Three servers may end under it, and the three attempts may be under way that
// a daemon still makes.
func TestChatUnderWhichServersEndIsConfinedByAllDaemons(t *testing.T) {
	c := &cluster{t: t, halls: 2, backends: 28, deadly: "who is on the roster of the dead?"}
	c.begin(2)
	body := `{"model":"roster@v1","messages":[{"role":"user","content":"` + c.deadly + `"}]}`
	ask := func(id string) answer { return c.do(id, http.MethodPost, wire.PathChat, body) }
	got := ask("entry-0")
	for n := 0; got.code() != "quarantined"; n++ {
		if n > 20 {
			t.Fatalf("never confined: %d %s, %d servers ended", got.status, got.body, c.deaths.Load())
		}
		got = ask("entry-0")
	}
	if n := c.deaths.Load(); n < 3 || n > 6 {
		t.Errorf("%d servers ended", n)
	}
	if got := c.chat("entry-0", "roster@v1"); got.status != http.StatusOK {
		t.Errorf("another request: %d %s", got.status, got.body)
	}
	c.await("the other daemon has the crash count", func() bool {
		d, err := c.dump("entry-1")
		if err != nil {
			return false
		}
		for _, e := range d.Control.Evidence {
			if e.Bad >= 3 && e.Answers == e.Bad {
				return true
			}
		}
		return false
	})
	before := c.deaths.Load()
	if got := ask("entry-1"); got.code() != "quarantined" || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || c.deaths.Load() > before {
		t.Errorf("the other daemon: %d %s, %d more servers ended", got.status, got.body, c.deaths.Load()-before)
	}
}
