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

// backend is a backend server behind a link. When it crashes a new one takes its
// place at the same address, under a new id or the same one.
type backend struct {
	site    *site
	service string
	hall    string
	version string
	link    *Link
	server  *httptest.Server

	mu     sync.Mutex
	runner *standin.Runner
	starts int
	// id is the present one, born when it began; again has the next start keep the id.
	id      string
	born    int64
	again   bool
	name    string
	fault   standin.RunnerFault
	present bool
	// word is what the present start says of itself, but for its limit.
	word  standin.Announcement
	limit string
	// deaths is how often a deadly request has ended it.
	deaths atomic.Uint64
	// retired servers do not start anew.
	retired bool
}

// The work of backend servers.
const (
	slots       = 16
	streamed    = 6
	workTime    = 15 * time.Millisecond
	modelPlain  = "api"
	modelStream = "llm"
	smallModel  = "small"
	largeModel  = "large"
)

func newBackend(s *site, name, service, hall, version string) (*backend, error) {
	b := &backend{site: s, service: service, hall: hall, version: version, name: name}
	b.server = httptest.NewServer(b)
	var err error
	if b.link, err = NewLink(strings.TrimPrefix(b.server.URL, "http://")); err != nil {
		return nil, err
	}
	return b, b.begin()
}

// begin starts a server anew, under a new id unless it is to keep its own, and lists it.
func (b *backend) begin() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retired {
		return nil
	}
	b.starts++
	if !b.again || b.runner == nil {
		b.id = fmt.Sprintf("%s-%d", b.name, b.starts)
	}
	b.again, b.born = false, time.Now().UnixMilli()
	start := b.starts
	r := &standin.Runner{ID: b.id, Slots: slots, Work: workTime}
	if b.service == modelStream {
		r.Events, r.Confidence = streamed, map[string]int{smallModel: 40, largeModel: 90}
	}
	r.OnRun = func(run standin.Run) {
		b.site.oracle.ran(Ran{Run: run, Server: r.ID, Service: b.service, Version: b.version, Start: start, At: time.Now()})
		if run.Body == deadlyBody {
			go b.die()
		}
	}
	r.OnArrival = func(id string, w standin.Announcement) {
		b.site.oracle.arrived(Arrival{ID: id, Server: r.ID, Start: start, Word: w, At: time.Now()})
	}
	r.Play(b.fault)
	b.runner, b.present, b.word, b.limit = r, true, standin.Announcement{}, ""
	return b.list(false)
}

// list writes the server's entry; b is locked.
func (b *backend) list(leaving bool) error {
	return b.site.store.SetServer(b.runner.ID, standin.Entry{
		Service: b.service, Addr: b.link.Addr(), Hall: b.hall, Version: b.version, Slots: slots, Leaving: leaving, Born: b.born,
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

// play sets what the server does instead of answering.
func (b *backend) play(f standin.RunnerFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
	b.runner.Play(f)
}

// lapseAfter is how long the entry of a server that has gone without a word
// stays.
const lapseAfter = 1500 * time.Millisecond

// crash ends the server without a word; its entry goes later.
func (b *backend) crash() {
	b.mu.Lock()
	id := b.runner.ID
	b.present = false
	b.mu.Unlock()
	b.link.Refuse(true)
	b.link.Reset()
	time.AfterFunc(lapseAfter, func() { b.site.store.RemoveServer(id) })
}

// leave says that the server takes no new work; it serves on.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tell(standin.Announcement{Leaving: true}, b.limit)
	if err := b.list(true); err == nil {
		b.site.oracle.left(Incarnation{Server: b.runner.ID, Start: b.starts}, time.Now())
	}
}

// renew puts a new server in the place of one that has left or crashed.
func (b *backend) renew() {
	b.mu.Lock()
	id := b.runner.ID
	b.mu.Unlock()
	b.site.store.RemoveServer(id)
	b.link.Refuse(false)
	if err := b.begin(); err != nil {
		b.site.oracle.found("SOAK", err.Error())
	}
}

// retire ends the server for good and takes its entry away.
func (b *backend) retire() {
	b.mu.Lock()
	b.present, b.retired = false, true
	id := b.runner.ID
	b.mu.Unlock()
	b.link.Refuse(true)
	b.link.Reset()
	b.site.store.RemoveServer(id)
}

func (b *backend) close() {
	b.link.Close()
	b.server.CloseClientConnections()
	b.server.Close()
}
