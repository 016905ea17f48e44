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

// corrupter writes corrupted server entries into the store, and records that cannot be read into its
// tables. They name the address of a trap server, which no daemon may contact.
type corrupter struct {
	cluster *cluster
	random  *rand.Rand
	trap    *httptest.Server
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// corruptInterval is the longest pause between two corrupted entries, corruptKeys how many
	// exist at the same time.
	corruptInterval = time.Second
	corruptKeys     = 5
	// corruptStream is the random stream of the corrupter.
	corruptStream = 6000
)

// corruptTables are the tables with records that cannot be read.
var corruptTables = []string{"servers", "op", "daemons"}

func newCorrupter(s *cluster, seed uint64) *corrupter {
	w := &corrupter{cluster: s, random: newRand(seed, corruptStream)}
	w.trap = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		s.recorder.found("STRANGER", fmt.Sprintf("%s %s reached a server that a spoiled entry names", r.Method, r.URL.Path))
		rw.WriteHeader(http.StatusInternalServerError)
	}))
	return w
}

func (w *corrupter) start(ctx context.Context) {
	w.running.Go(func() {
		for n := 0; !w.stopped.Load() && ctx.Err() == nil; n++ {
			addr, key := strings.TrimPrefix(w.trap.URL, "http://"), fmt.Sprintf("stranger-%d", n%corruptKeys)
			if err := w.cluster.store.CorruptServer(key, addr, w.random); err != nil {
				w.cluster.recorder.found("SOAK", err.Error())
			}
			if w.random.IntN(2) == 0 {
				w.cluster.store.CorruptRecord(corruptTables[w.random.IntN(len(corruptTables))], key, addr, w.random)
			}
			clock.Wait(ctx, time.Duration(w.random.Int64N(int64(corruptInterval))))
		}
	})
}

func (w *corrupter) stop() {
	w.stopped.Store(true)
	w.running.Wait()
	w.trap.Close()
}
