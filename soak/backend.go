package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/platform/standin"
)

// backend is a backend server behind a TCP proxy. After a crash, a new server starts at the
// same address, under a new id or the same one.
type backend struct {
	cluster *cluster
	service string
	hall    string
	version string
	link    *TCPProxy
	server  *httptest.Server

	mu     sync.Mutex
	runner *standin.Runner
	starts int
	// id is the server's current id and startedAt its start time in Unix milliseconds; keepID
	// has the next start reuse the id.
	id        string
	startedAt int64
	keepID    bool
	name      string
	fault     standin.RunnerFault
	// continuations is how the server answers requests for the rest of a stream.
	continuations standin.ContinuationFault
	endless       standin.Endless
	present       bool
	// announcement is what the server currently announces in its answers, except for its rate limit.
	announcement standin.Announcement
	limit        string
	// crashes counts how often a crashing request has terminated the server.
	crashes atomic.Uint64
	// retired servers are not started again.
	retired bool
	// brittle is how many requests the server bears to refuse in a second, noQueue that none may wait.
	brittle int
	noQueue bool
	falls   atomic.Int64
}

// The capacity, services and models of the backend servers.
const (
	slots          = 16
	streamEvents   = 6
	processingTime = 15 * time.Millisecond
	modelPlain     = "api"
	modelStream    = "llm"
	smallModel     = "small"
	largeModel     = "large"
)

func newBackend(s *cluster, name, service, hall, version string) (*backend, error) {
	b := &backend{cluster: s, service: service, hall: hall, version: version, name: name}
	b.server = httptest.NewServer(b)
	var err error
	if b.link, err = NewTCPProxy(strings.TrimPrefix(b.server.URL, "http://")); err != nil {
		return nil, err
	}
	return b, b.launch()
}

// launch starts the server, under a new id unless keepID is set, and registers it in the store.
func (b *backend) launch() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retired {
		return nil
	}
	b.starts++
	if !b.keepID || b.runner == nil {
		b.id = fmt.Sprintf("%s-%d", b.name, b.starts)
	}
	b.keepID, b.startedAt = false, time.Now().UnixMilli()
	start := b.starts
	r := &standin.Runner{ID: b.id, Slots: slots, Work: processingTime, ResetLong: resetOneIn, OnFall: func() { b.fall(start) }}
	if b.cluster.brittle {
		r.Slots, r.Queue = brittleSlots, slots-brittleSlots
	}
	if b.service == modelStream {
		r.Events, r.Confidence = streamEvents, map[string]int{smallModel: 40, largeModel: 90}
	}
	r.OnRun = func(run standin.Run) {
		crash := b.cluster.crashes(run)
		b.cluster.recorder.ran(Execution{Run: run, Server: r.ID, Service: b.service, Version: b.version, Start: start, At: time.Now(), Spared: crash == spared})
		if crash == atStart {
			go b.crashByRequest(hasCrashingPart(run))
		}
	}
	r.OnEnd = func(run standin.Run) {
		if b.cluster.crashes(run) == afterAnswer {
			time.AfterFunc(crashAfterAnswer, func() { b.crashByRequest(true) })
		}
	}
	r.OnArrival = func(id string, w standin.Announcement) {
		b.cluster.recorder.arrived(Arrival{ID: id, Server: r.ID, Start: start, Announcement: w, At: time.Now()})
	}
	r.Play(b.fault)
	r.PlayContinuations(b.continuations)
	r.PlayEndless(b.endless)
	b.runner, b.present = r, true
	b.applyAnnouncement(standin.Announcement{}, "")
	return b.register(false)
}

// register writes the server's entry to the store. The caller holds b.mu.
func (b *backend) register(leaving bool) error {
	return b.cluster.store.SetServer(b.runner.ID, standin.Entry{
		Service: b.service, Addr: b.link.Addr(), Hall: b.hall, Version: b.version, Slots: b.runner.Slots, Leaving: leaving, Born: b.startedAt,
	})
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	runner, present := b.runner, b.present
	b.mu.Unlock()
	if !present {
		panic(http.ErrAbortHandler)
	}
	runner.ServeHTTP(w, r)
}

// setFault sets the fault that the server simulates.
func (b *backend) setFault(f standin.RunnerFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
	b.runner.Play(f)
}

// setContinuations sets how the server answers requests for the rest of a stream.
func (b *backend) setContinuations(f standin.ContinuationFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.continuations = f
	b.runner.PlayContinuations(f)
}

// setEndless sets which requests the server answers with bytes without end.
func (b *backend) setEndless(e standin.Endless) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endless = e
	b.runner.PlayEndless(e)
}

// entryTTL is how long the store entry of a crashed server remains.
const entryTTL = 1500 * time.Millisecond

// crash terminates the server without announcing it; its store entry is removed after entryTTL.
func (b *backend) crash() {
	b.mu.Lock()
	id := b.runner.ID
	b.present = false
	b.mu.Unlock()
	b.link.Refuse(true)
	b.link.Reset()
	time.AfterFunc(entryTTL, func() { b.cluster.store.RemoveServer(id) })
}

// leave announces that the server is draining: it accepts no new requests, but completes those
// in progress.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyAnnouncement(standin.Announcement{Leaving: true}, b.limit)
	if err := b.register(true); err == nil {
		b.cluster.recorder.left(Incarnation{Server: b.runner.ID, Start: b.starts}, time.Now())
	}
}

// replace starts a new server in place of one that has left or crashed.
func (b *backend) replace() {
	b.mu.Lock()
	id := b.runner.ID
	b.mu.Unlock()
	b.cluster.store.RemoveServer(id)
	b.link.Refuse(false)
	if err := b.launch(); err != nil {
		b.cluster.recorder.found("SOAK", err.Error())
	}
}

// retire stops the server permanently and removes its store entry.
func (b *backend) retire() {
	b.mu.Lock()
	b.present, b.retired = false, true
	id := b.runner.ID
	b.mu.Unlock()
	b.link.Refuse(true)
	b.link.Reset()
	b.cluster.store.RemoveServer(id)
}

func (b *backend) close() {
	b.link.Close()
	b.server.CloseClientConnections()
	b.server.Close()
}
