// Package standin has small fakes of the systems that ladderridge calls: the
// platform's services, model engines and plain services. Tests, the demo and
// measurements start them. An admin call sets the faults that they inject.
package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/limit"
	"ladderridge.example/daemon/platform"
)

// Paths of the admin calls.
const (
	PathFaults  = "/admin/faults"
	PathSetVMs  = "/admin/vms"
	PathRate    = "/admin/rate"
	PathStats   = "/admin/stats"
	maxBody     = 16 << 20
	listDefault = 1000
)

// The names of the platform's services.
const (
	serviceTable   = "table"
	serviceObjects = "objects"
	serviceVMs     = "vms"
	serviceRatings = "ratings"
)

// Platform is a fake of the platform's services. Use NewPlatform to create one.
type Platform struct {
	mu      sync.Mutex
	keys    map[string]platform.Entry
	sorted  []string
	version uint64
	objects map[string][]byte
	lists   []vmListAt
	ratings []platform.Rating
	faults  map[string]platform.Fault
	buckets map[string]limit.Bucket
	stats   map[string]int64
}

// vmListAt is a VM list and the time from which it was valid.
type vmListAt struct {
	at   time.Time
	list platform.VMList
}

// NewPlatform returns a platform without keys, objects, VMs or ratings.
func NewPlatform() *Platform {
	return &Platform{
		keys:    map[string]platform.Entry{},
		objects: map[string][]byte{},
		faults:  map[string]platform.Fault{},
		buckets: map[string]limit.Bucket{},
		stats:   map[string]int64{},
		lists:   []vmListAt{{}},
	}
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.lists[len(p.lists)-1].list
	p.lists = append(p.lists, vmListAt{at: time.Now(), list: platform.VMList{Version: last.Version + 1, VMs: vms}})
}

// SetFault replaces the fault of the service f.Service.
func (p *Platform) SetFault(f platform.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[f.Service] = f
}

// Keys returns the table entries with a prefix, ordered by key.
func (p *Platform) Keys(prefix string) []platform.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list(prefix, "", len(p.keys))
}

// Stats returns the number of calls by service and method, of table operations and of lost answers.
func (p *Platform) Stats() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.stats)
}

// Handler serves the platform's HTTP interface and the admin calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathTable, p.withFaults(serviceTable, p.getTable))
	mux.HandleFunc("POST "+platform.PathTxn, p.withFaults(serviceTable, p.postTxn))
	mux.HandleFunc("GET "+platform.PathObjects+"{name...}", p.withFaults(serviceObjects, p.getObject))
	mux.HandleFunc("PUT "+platform.PathObjects+"{name...}", p.withFaults(serviceObjects, p.putObject))
	mux.HandleFunc("GET "+platform.PathVMs, p.withFaults(serviceVMs, p.getVMs))
	mux.HandleFunc("GET "+platform.PathRatings, p.withFaults(serviceRatings, p.getRatings))
	mux.HandleFunc("POST "+PathFaults, p.postFaults)
	mux.HandleFunc("POST "+PathSetVMs, p.postVMs)
	mux.HandleFunc("POST "+PathRate, p.postRating)
	mux.HandleFunc("GET "+PathStats, p.getStats)
	return mux
}

// answer is a handler's response. withFaults sends it, or drops it if the handler wrote data.
type answer struct {
	status int
	body   any
	raw    []byte
	wrote  bool
}

// withFaults wraps a handler so that it injects the faults of a service.
func (p *Platform) withFaults(service string, h func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults[service]
		p.stats[service+" "+r.Method]++
		wait, ok := p.take(service, f)
		p.mu.Unlock()
		if f.SlowMS > 0 {
			clock.Wait(r.Context(), time.Duration(f.SlowMS)*time.Millisecond)
		}
		switch {
		case f.Down || slices.Contains(f.CutHalls, r.Header.Get(platform.HeaderHall)):
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case !ok:
			w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		a := h(r)
		if a.wrote && p.dropsAnswer(service) {
			panic(http.ErrAbortHandler)
		}
		write(w, a)
	}
}

func (p *Platform) take(service string, f platform.Fault) (time.Duration, bool) {
	if f.RatePerSecond <= 0 {
		return 0, true
	}
	b, wait, ok := p.buckets[service].Take(time.Now(), f.RatePerSecond, 1)
	p.buckets[service] = b
	return wait, ok
}

// dropsAnswer reports whether to drop the next answer of a service, and counts the fault's
// LoseAnswers down.
func (p *Platform) dropsAnswer(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.faults[service]
	if f.LoseAnswers <= 0 {
		return false
	}
	f.LoseAnswers--
	p.faults[service] = f
	p.stats[service+" lost answers"]++
	return true
}

func write(w http.ResponseWriter, a answer) {
	if a.raw != nil {
		w.WriteHeader(a.status)
		_, _ = w.Write(a.raw)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	if a.body != nil {
		_ = json.NewEncoder(w).Encode(a.body)
	}
}

func (p *Platform) getTable(r *http.Request) answer {
	q := r.URL.Query()
	p.mu.Lock()
	defer p.mu.Unlock()
	if key := q.Get("key"); key != "" {
		e, ok := p.keys[key]
		if !ok {
			return answer{status: http.StatusNotFound}
		}
		return answer{status: http.StatusOK, body: e}
	}
	n, err := strconv.Atoi(q.Get("limit"))
	if err != nil || n <= 0 {
		n = listDefault
	}
	return answer{status: http.StatusOK, body: platform.Listing{Entries: p.list(q.Get("prefix"), q.Get("after"), n)}}
}

func (p *Platform) list(prefix, after string, limit int) []platform.Entry {
	start := max(prefix, after)
	out := []platform.Entry{}
	for i := sort.SearchStrings(p.sorted, start); i < len(p.sorted) && len(out) < limit; i++ {
		key := p.sorted[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			out = append(out, p.keys[key])
		}
	}
	return out
}

func (p *Platform) postTxn(r *http.Request) answer {
	var txn platform.Txn
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&txn); err != nil {
		return answer{status: http.StatusBadRequest, raw: []byte(err.Error())}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats["table ops"] += int64(len(txn.Ops))
	var failed []platform.Entry
	for _, op := range txn.Ops {
		if e := p.keys[op.Key]; e.Version != op.Expect {
			failed = append(failed, platform.Entry{Key: op.Key, Version: e.Version, Value: e.Value})
		}
	}
	if len(failed) > 0 {
		return answer{status: http.StatusConflict, body: platform.TxnResult{Entries: failed}}
	}
	var done []platform.Entry
	for _, op := range txn.Ops {
		done = append(done, p.apply(op))
	}
	return answer{status: http.StatusOK, body: platform.TxnResult{Entries: done}, wrote: true}
}

func (p *Platform) apply(op platform.Op) platform.Entry {
	i, found := slices.BinarySearch(p.sorted, op.Key)
	if op.Delete {
		if found {
			p.sorted = slices.Delete(p.sorted, i, i+1)
			delete(p.keys, op.Key)
		}
		return platform.Entry{Key: op.Key}
	}
	if !found {
		p.sorted = slices.Insert(p.sorted, i, op.Key)
	}
	p.version++
	e := platform.Entry{Key: op.Key, Version: p.version, Value: op.Value}
	p.keys[op.Key] = e
	return platform.Entry{Key: op.Key, Version: e.Version}
}

func (p *Platform) getObject(r *http.Request) answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[r.PathValue("name")]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusOK, raw: data}
}

func (p *Platform) putObject(r *http.Request) answer {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return answer{status: http.StatusBadRequest}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.objects[r.PathValue("name")]; ok {
		return answer{status: http.StatusPreconditionFailed}
	}
	p.objects[r.PathValue("name")] = data
	return answer{status: http.StatusCreated, wrote: true}
}

func (p *Platform) getVMs(r *http.Request) answer {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	lag := time.Duration(p.faults[serviceVMs].LagMS) * time.Millisecond
	seen := time.Now().Add(-lag)
	list := p.lists[0].list
	for _, dated := range p.lists[1:] {
		if !dated.at.After(seen) {
			list = dated.list
		}
	}
	if list.Version <= since {
		return answer{status: http.StatusNotModified}
	}
	return answer{status: http.StatusOK, body: list}
}

func (p *Platform) getRatings(r *http.Request) answer {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	n, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || n <= 0 {
		n = listDefault
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	start := min(int(after), len(p.ratings))
	end := min(start+n, len(p.ratings))
	return answer{status: http.StatusOK, body: platform.Ratings{Ratings: p.ratings[start:end]}}
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	decodeFault(w, r, p.SetFault)
}

func (p *Platform) postVMs(w http.ResponseWriter, r *http.Request) {
	decodeFault(w, r, p.SetVMs)
}

// Rate adds a rating.
func (p *Platform) Rate(rating platform.Rating) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rating.Seq = uint64(len(p.ratings) + 1)
	p.ratings = append(p.ratings, rating)
}

func (p *Platform) postRating(w http.ResponseWriter, r *http.Request) { decodeFault(w, r, p.Rate) }

func (p *Platform) getStats(w http.ResponseWriter, _ *http.Request) {
	write(w, answer{status: http.StatusOK, body: p.Stats()})
}
