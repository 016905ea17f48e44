package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"ladderridge.example/daemon/wire"
)

// Service is the stand-in for a plain service, such as a licence broker: each
// call is counted by its request key and answered with its own body.
type Service struct {
	ID string

	mu       sync.Mutex
	ran      map[string]int
	hold     bool
	released chan struct{}
	leaving  bool
	cut      int
	soon     bool
	rest     float64
	arrived  int
}

// ServiceFault is what the admin call of the service stand-in sets.
type ServiceFault struct {
	// Leaving makes the service decline new calls.
	Leaving bool `json:"leaving"`
	// CutAnswers runs that many calls but breaks their answers off.
	CutAnswers int `json:"cut_answers"`
	// HoldAnswers delays every answer until it is set to false.
	HoldAnswers bool `json:"hold_answers"`
	// SaysLeaving makes the service say in its answers that it leaves; it serves on.
	SaysLeaving bool `json:"says_leaving"`
	// RestS makes the service turn all calls away and ask for so many seconds of rest, as
	// any HTTP service may.
	RestS float64 `json:"rest_s"`
}

// Handler serves every path, and the admin calls.
func (s *Service) Handler() http.Handler {
	s.ran = map[string]int{}
	s.released = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.call)
	mux.HandleFunc("GET "+wire.PathLoad, s.load)
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		decodeFault(w, r, s.SetFault)
	})
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		ran := s.Runs()
		total := int64(0)
		for _, n := range ran {
			total += int64(n)
		}
		write(w, answer{status: http.StatusOK, body: BackendStats{Runs: total, Ran: ran}})
	})
	return mux
}

// SetFault replaces the service's fault.
func (s *Service) SetFault(f ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold && !f.HoldAnswers {
		close(s.released)
		s.released = make(chan struct{})
	}
	s.hold, s.leaving, s.cut = f.HoldAnswers, f.Leaving, f.CutAnswers
	s.soon, s.rest = f.SaysLeaving, f.RestS
}

// Arrived is how many calls have come, those that were turned away included.
func (s *Service) Arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

// arrive counts a call and returns what the service says of itself.
func (s *Service) arrive() (leaving bool, rest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived++
	return s.soon, s.rest
}

// Runs returns how often each request key was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.ran))
	for id, n := range s.ran {
		out[id] = n
	}
	return out
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	write(w, answer{status: http.StatusOK, body: wire.LoadReport{ID: s.ID, Leaving: s.leaving}})
}

// enter counts a call, unless the service is leaving.
func (s *Service) enter(key string) (released chan struct{}, cut, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return nil, false, false
	}
	s.ran[key]++
	if s.cut > 0 {
		s.cut--
		cut = true
	}
	if s.hold {
		released = s.released
	}
	return released, cut, true
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, "body cut short", http.StatusBadRequest)
		return
	}
	leaving, rest := s.arrive()
	if leaving {
		w.Header().Set(wire.HeaderLeaving, wire.LeavingYes)
	}
	if rest > 0 {
		w.Header().Set(wire.HeaderRetryAfter, strconv.FormatFloat(rest, 'f', -1, 64))
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	key := r.Header.Get(wire.HeaderKey)
	if key == "" {
		key = r.Header.Get(wire.HeaderRequest)
	}
	released, cut, ok := s.enter(key)
	if !ok {
		w.Header().Set(wire.HeaderDeclined, "leaving")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if released != nil {
		select {
		case <-released:
		case <-r.Context().Done():
			return
		}
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	out := append([]byte(r.Method+" "+r.URL.Path+" "), body...)
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out)
}
