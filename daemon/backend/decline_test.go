package backend_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/route"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/wire"
)

// Guards against a late refusal of another attempt that counts as the proof that this one has not run.
func TestDeclineOfAnotherAttemptProvesNothing(t *testing.T) {
	for echo, want := range map[string]struct {
		kind    backend.Kind
		outcome attempt.Outcome
	}{
		"a1": {backend.Declined, attempt.NotRun},
		"":   {backend.Declined, attempt.NotRun},
		"a0": {backend.Mismatched, attempt.Unknown},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(wire.HeaderDeclined, wire.DeclinedFull)
			if echo != "" {
				w.Header().Set(wire.HeaderAttempt, echo)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		x := backend.Exchange{
			Attempt: attempt.New("a1"), Server: &route.Server{Addr: strings.TrimPrefix(s.URL, "http://"), State: &route.ServerState{}},
			Method: http.MethodPost, Target: "/", Header: http.Header{}, BeforeSend: func() error { return nil },
		}
		_, err := backend.New().Send(t.Context(), x)
		if !fault.Is(err, want.kind) || x.Attempt.Outcome() != want.outcome {
			t.Errorf("refusal of %q: %v, outcome %s", echo, err, x.Attempt.Outcome())
		}
		s.Close()
	}
}
