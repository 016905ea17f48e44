package scenario_test

import (
	"fmt"
	"net/http"
	"testing"

	"ladderridge.example/daemon/wire"
)

// Guards against a chat request that crashes each model server that runs it. Its attempts,
// four at each daemon, used to count only against the servers and not against the request.
// Three crashes quarantine the request; up to three more attempts of a daemon may already be
// in flight by then, so that at most six servers crash.
func TestChatThatCrashesServersIsQuarantinedByAllDaemons(t *testing.T) {
	c := &cluster{t: t, halls: 2, backends: 28, crashBody: "who is on the roster of the dead?"}
	c.start(2)
	body := `{"model":"roster@v1","messages":[{"role":"user","content":"` + c.crashBody + `"}]}`
	ask := func(id string) answer { return c.do(id, http.MethodPost, wire.PathChat, body) }
	got := ask("entry-0")
	for n := 0; got.code() != "quarantined"; n++ {
		if n > 20 {
			t.Fatalf("never quarantined: %d %s, %d servers crashed", got.status, got.body, c.crashes.Load())
		}
		got = ask("entry-0")
	}
	if n := c.crashes.Load(); n < 3 || n > 6 {
		t.Errorf("%d servers crashed, want 3 to 6", n)
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
	before := c.crashes.Load()
	if got := ask("entry-1"); got.code() != "quarantined" || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || c.crashes.Load() > before {
		t.Errorf("the other daemon: %d %s, %d more servers crashed", got.status, got.body, c.crashes.Load()-before)
	}
}

// Guards against a document that crashes each model server that reads it: chat requests that share it,
// and nothing else, counted on their own. Those that share only the system prompt are served.
func TestChatsWithACrashingMessageAreStopped(t *testing.T) {
	c := &cluster{t: t, halls: 1, backends: 28, crashBody: "the roster of the dead"}
	c.start(1)
	ask := func(n int, messages string) answer {
		body := fmt.Sprintf(`{"model":"roster@v1","messages":[{"role":"system","content":"be brief"},%s{"role":"user","content":"question %d"}]}`, messages, n)
		return c.do("entry-0", http.MethodPost, wire.PathChat, body)
	}
	refused := 0
	for n := range 16 {
		if got := ask(n, `{"role":"user","content":"`+c.crashBody+`"},`); got.code() == "quarantined" && got.header.Get("Retry-After") != "" {
			refused++
		}
		if got := ask(100+n, ""); got.status != http.StatusOK {
			t.Errorf("sound request %d: %d %s", n, got.status, got.body)
		}
	}
	if n := c.crashes.Load(); n < 5 || n > 8 || refused < 12 {
		t.Errorf("%d servers crashed, want 5 to 8; %d of 16 requests refused at once", n, refused)
	}
}
