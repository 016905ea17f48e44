package scenario_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"ladderridge.example/daemon/standin"
)

// Guards against new requests to a model server that announces in its answers that it will
// shut down soon, while it still serves. The VM list and the polls show it only seconds
// later, and the chat front end used to ignore the announcement.
func TestEngineThatAnnouncesShutdownGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	leavingEngine := c.engines["engine-0"]
	leavingEngine.SetFault(standin.EngineFault{AnnounceLeaving: true})
	for leavingEngine.Arrived() == 0 {
		if a := c.chat("entry-0", v1.String()); a.status != http.StatusOK {
			t.Fatalf("%d %s", a.status, a.body)
		}
	}
	before := leavingEngine.Arrived()
	for range 20 {
		if a := c.chat("entry-0", v1.String()); a.status != http.StatusOK {
			t.Errorf("%d %s", a.status, a.code())
		}
	}
	if more := leavingEngine.Arrived() - before; more > 0 {
		t.Errorf("%d of 20 requests reached a server that had announced its shutdown", more)
	}
	c.await("the other daemon knows that the server is leaving", func() bool {
		d, err := c.dump("entry-1")
		return err == nil && leaving(d.Control.Servers, "engine-0")
	})
}

// Guards against requests to a model server during the back-off that it asked for when it
// declined a request. Its Retry-After used to be ignored, so that the next poll, at most two
// seconds later, marked it as free again.
func TestEngineInBackoffGetsNoRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	inBackoff := c.engines["engine-0"]
	inBackoff.SetFault(standin.EngineFault{BackoffS: 3600})
	for inBackoff.Arrived() == 0 {
		if a := c.chat("entry-0", v1.String()); a.status != http.StatusOK {
			t.Fatalf("%d %s", a.status, a.body)
		}
	}
	for range 200 {
		if a := c.chat("entry-0", v1.String()); a.status != http.StatusOK {
			t.Errorf("%d %s", a.status, a.code())
		}
	}
	if more := inBackoff.Arrived() - 1; more > 0 {
		t.Errorf("%d of 200 requests reached a server in back-off", more)
	}
}

// Guards against calls to a plain service during the back-off that it asked for with 503 and
// Retry-After. As its only server is in back-off, calls are refused immediately, with the
// remaining back-off in Retry-After.
func TestServiceInBackoffGetsNoCalls(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	c.broker.SetFault(standin.ServiceFault{BackoffS: 500})
	for n := range 20 {
		a := c.do("entry-0", http.MethodPost, "/services/broker/seats", fmt.Sprint(n))
		retryAfter, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if a.status != http.StatusServiceUnavailable || err != nil || retryAfter < 100 || retryAfter > 500 {
			t.Fatalf("call %d: status %d, Retry-After %q", n, a.status, a.header.Get("Retry-After"))
		}
	}
	if n := c.broker.Arrived(); n != 1 {
		t.Errorf("%d of 20 calls reached a server in back-off", n-1)
	}
}

// Guards against requests for a version to a model server that has unloaded it on its own
// and declines them as not loaded. The daemon used to treat the server as full and kept
// sending requests until the next poll, at most two seconds later, listed the loaded versions.
func TestEngineThatUnloadedAVersionGetsNoRequestsForIt(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	unloaded := c.engines["engine-0"]
	unloaded.Unload(v1.Model, v1.Version)
	for unloaded.Arrived() == 0 {
		if a := c.chat("entry-0", v1.String()); a.status != http.StatusOK {
			t.Fatalf("%d %s", a.status, a.body)
		}
	}
	// The daemon processes the refusal after it has answered the caller, so that a few more
	// requests may reach the server.
	for range 100 {
		if a := c.chat("entry-0", v1.String()); a.status != http.StatusOK {
			t.Errorf("%d %s", a.status, a.code())
		}
	}
	if n := unloaded.Arrived(); n > 5 {
		t.Errorf("%d requests reached a server that has unloaded the version, want at most 5", n)
	}
}
