package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as the wire has it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"keyFile"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's store with the calls that a gateway makes. It is always up and answers
// after answerTime.
type store struct {
	mu      sync.Mutex
	start   time.Time
	version uint64
	rows    map[string]row
	changed chan struct{}
}

// answerTime is how long an answer takes, as on the sheet of the site.
const answerTime = 4 * time.Millisecond

func newStore() *store {
	return &store{start: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
}

func rowName(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// set writes a row on behalf of the operator or a server, and returns when the store has it.
func (s *store) set(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// apply applies a transaction. The caller holds s.mu.
func (s *store) apply(set, remove []row) {
	s.version++
	for _, r := range set {
		r.Version = s.version
		s.rows[rowName(r)] = r
	}
	for _, r := range remove {
		s.rows[rowName(r)] = row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(w http.ResponseWriter, status int, records []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if records == nil {
		records = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"records": records, "hasMore": more, "ver": s.version, "nowMs": time.Since(s.start).Milliseconds()})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/rows-get":
		s.get(w, r)
	case "GET /v1/rows-feed":
		s.feed(w, r)
	case "POST /v1/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	const pageRows = 500
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && !x.Deleted && x.Key >= q.Get("fromRev") {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageRows
	s.write(w, http.StatusOK, found[:min(len(found), pageRows)], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("afterRev"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && x.Version > after {
				found = append(found, x)
			}
		}
		sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
		changed := s.changed
		if len(found) > 0 {
			s.write(w, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.write(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []row `json:"expectedRev"`
		Set        []row `json:"setKeys"`
		Remove     []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		current := s.rows[rowName(c)]
		if current.Deleted {
			current.Version = 0
		}
		if current.Version != c.Version {
			s.write(w, http.StatusPreconditionFailed, []row{current}, false)
			return
		}
	}
	s.apply(t.Set, t.Remove)
	s.write(w, http.StatusOK, nil, false)
}
