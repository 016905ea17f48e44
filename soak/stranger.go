package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
)

// stranger writes entries into the store that name no server to use, each with the address
// of one that nobody may reach.
type stranger struct {
	site    *site
	random  *rand.Rand
	trap    *httptest.Server
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// strangerEvery is the longest pause between two of its entries, strangerKeys how many
	// stand at once.
	strangerEvery = time.Second
	strangerKeys  = 5
	// strangerPart tells its draws from those of others.
	strangerPart = 6000
)

func newStranger(s *site, seed uint64) *stranger {
	w := &stranger{site: s, random: newRand(seed, strangerPart)}
	w.trap = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		s.oracle.found("STRANGER", fmt.Sprintf("%s %s reached a server that a spoiled entry names", r.Method, r.URL.Path))
		rw.WriteHeader(http.StatusInternalServerError)
	}))
	return w
}

func (w *stranger) start(ctx context.Context) {
	w.running.Go(func() {
		for n := 0; !w.stopped.Load() && ctx.Err() == nil; n++ {
			addr := strings.TrimPrefix(w.trap.URL, "http://")
			if err := w.site.store.CorruptServer(fmt.Sprintf("stranger-%d", n%strangerKeys), addr, w.random); err != nil {
				w.site.oracle.found("SOAK", err.Error())
			}
			clock.Wait(ctx, time.Duration(w.random.Int64N(int64(strangerEvery))))
		}
	})
}

func (w *stranger) stop() {
	w.stopped.Store(true)
	w.running.Wait()
	w.trap.Close()
}
