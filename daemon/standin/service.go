package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"ladderridge.example/daemon/wire"
)

// Service is a fake of a plain service, such as a licence broker. It counts
// the calls by request key and echoes the body of each call.
type Service struct {
	ID string

	mu              sync.Mutex
	ran             map[string]int
	hold            bool
	released        chan struct{}
	leaving         bool
	cutAnswers      int
	announceLeaving bool
	backoffS        float64
	received        int
}

// ServiceFault is the fault that a Service injects, set by the admin call.
type ServiceFault struct {
	// Leaving makes the service decline new calls as if it were shutting down.
	Leaving bool `json:"leaving"`
	// CutAnswers is the number of calls to execute whose connection is closed without an answer.
	CutAnswers int `json:"cut_answers"`
	// HoldAnswers delays every answer until it is set to false.
	HoldAnswers bool `json:"hold_answers"`
	// AnnounceLeaving makes the service announce in its answers that it is shutting down. It still
	// serves calls.
	AnnounceLeaving bool `json:"says_leaving"`
	// BackoffS makes the service refuse all calls and ask for a back-off of that many seconds, as
	// any HTTP service may do.
	BackoffS float64 `json:"rest_s"`
}

// Handler returns the handler of the calls, on every path, and of the admin calls.
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
	s.hold, s.leaving, s.cutAnswers = f.HoldAnswers, f.Leaving, f.CutAnswers
	s.announceLeaving, s.backoffS = f.AnnounceLeaving, f.BackoffS
}

// Arrived returns the number of calls received, including those that were refused.
func (s *Service) Arrived() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// arrive counts a call and returns what the service announces in its answer.
func (s *Service) arrive() (leaving bool, rest float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	return s.announceLeaving, s.backoffS
}

// Runs returns the number of executions of each request key.
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

// enter counts the execution of a call and returns the faults in force. ok is false if the service
// declines new calls.
func (s *Service) enter(key string) (released chan struct{}, cut, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return nil, false, false
	}
	s.ran[key]++
	if s.cutAnswers > 0 {
		s.cutAnswers--
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
