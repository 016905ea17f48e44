package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ladderridge.example/daemon/standin"
	"ladderridge.example/daemon/wire"
)

const prompt = `{"model":"m@v","max_tokens":1,"messages":[{"role":"user","content":"the same beginning"}]}`

// serve sends one request to the handler and returns how long it took.
func serve(t *testing.T, h http.Handler) time.Duration {
	t.Helper()
	start := time.Now()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, wire.PathChat, strings.NewReader(prompt))
	h.ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
	return time.Since(start)
}

// TestPrefixCacheShortensTheFirstToken sends a prompt twice, under the fake clock of synctest. Only
// the first request takes the prefill time.
func TestPrefixCacheShortensTheFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &standin.Engine{Model: "m", Version: "v", Prefill: time.Second, PrefixCacheSize: 1, TokenInterval: time.Millisecond}
		h := e.Handler()
		if took := serve(t, h); took != time.Second+time.Millisecond {
			t.Errorf("a new prompt took %v", took)
		}
		if took := serve(t, h); took != time.Millisecond {
			t.Errorf("a cached prompt took %v", took)
		}
	})
}
