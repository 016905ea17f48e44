package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// uploader sends long requests, of which some servers answer every second before they have read it, and reset
// the connection. MIXED covers what callers get.
type uploader struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// uploadStream is the random stream of the uploader, uploadPause the longest pause between two requests.
	uploadStream = 9400
	uploadPause  = 300 * time.Millisecond
	// resetOneIn is one in how many long requests is answered early and reset.
	resetOneIn = 2
)

func newUploader(s *cluster, seed uint64) *uploader {
	return &uploader{cluster: s, random: newRand(seed, uploadStream)}
}

func (u *uploader) start(ctx context.Context) {
	u.running.Go(func() {
		body := strings.Repeat("0123456789abcdef", standin.LongRequest/16)
		for n := 0; !u.stopped.Load() && ctx.Err() == nil; n++ {
			u.send(ctx, n, body)
			clock.Wait(ctx, time.Duration(u.random.Int64N(int64(uploadPause))))
		}
	})
}

// send sends a long request to one of the daemons and records its outcome.
func (u *uploader) send(ctx context.Context, n int, body string) {
	to := u.cluster.daemons[u.random.IntN(len(u.cluster.daemons))]
	a := Request{
		ID: fmt.Sprintf("upload%d-%d", u.cluster.seed, n), Key: keyName(0), Service: modelPlain, Limit: routeLimit, Body: standin.BodyText(body),
		Kind: standin.Unsafe, Method: http.MethodPost, Target: onceRoute + "upload",
		Daemon: to.number, Process: to.processNumber(), Sent: time.Now(),
	}
	call := standin.Call{ID: a.ID, Method: a.Method, Host: host, Target: a.Target, Key: a.Key, Body: body, Wait: a.Limit + callerGrace}
	a.Reply = call.Send(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, to.callers.Addr())
	a.Ended, a.ProcessAfter = time.Now(), to.processNumber()
	u.cluster.recorder.answered(a)
}

func (u *uploader) stop() {
	u.stopped.Store(true)
	u.running.Wait()
}
