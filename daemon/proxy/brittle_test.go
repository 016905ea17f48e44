package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// brittleServer processes some requests at a time and rejects the others, and counts its rejections in
// each second.
type brittleServer struct {
	mu         sync.Mutex
	slots      int
	inFlight   int
	rejections map[int64]int
}

// most returns the most rejections in a second from a time on.
func (s *brittleServer) most(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for second, n := range s.rejections {
		if second >= from.Unix() {
			most = max(most, n)
		}
	}
	return most
}

func (s *brittleServer) answer(c net.Conn, a arrival) bool {
	const announced = "Brittle: 3\r\n"
	s.mu.Lock()
	full := s.inFlight >= s.slots
	if full {
		s.rejections[time.Now().Unix()]++
	} else {
		s.inFlight++
	}
	s.mu.Unlock()
	head := "HTTP/1.1 503 X\r\nId: " + a.header.Get("Id") + "\r\nDeclined: 1\r\nContent-Length: 0\r\n"
	if !full {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
		head = "HTTP/1.1 200 OK\r\nId: " + a.header.Get("Id") + "\r\nContent-Length: 0\r\n"
	}
	_, err := io.WriteString(c, head+announced+"\r\n")
	return err == nil
}

// Servers that say that they fall over if they reject too many requests were sent requests until they
// did.
func TestBrittleServersRejectFewRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		service := &fleet.ServiceState{Daemon: "d", Daemons: func() int { return 1 }}
		var servers []*fleet.Server
		var modelled []*brittleServer
		for i := range 3 {
			m := &brittleServer{slots: 4, rejections: map[int64]int{}}
			s := b.server(fmt.Sprint("s", i), m.answer)
			s.Slots = m.slots
			s.State.JoinService(service, s.ID, s.Slots)
			servers, modelled = append(servers, s), append(modelled, m)
		}
		b.known.set(routemap.New(parts(1, "k")), servers...)
		start := time.Now()
		var running sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[int]int{}
		// 200 requests a second arrive, and 120 can be processed.
		for n := range 800 {
			running.Go(func() {
				got := b.send(t.Context(), proxy.Request{ID: fmt.Sprint("r", n), Path: "/once/x", Key: "k", Timeout: time.Second})
				mu.Lock()
				defer mu.Unlock()
				if refused, ok := got.outcome.(proxy.Refused); ok && (refused.RetryAfter <= 0 || got.took > 300*time.Millisecond) {
					t.Errorf("refused after %v, with Retry-After %v", got.took, refused.RetryAfter)
				}
				outcomes[got.status]++
			})
			time.Sleep(5 * time.Millisecond)
		}
		running.Wait()
		for i, m := range modelled {
			if most := m.most(start.Add(time.Second)); most > 3 {
				t.Errorf("server %d rejected %d requests in a second", i, most)
			}
		}
		if outcomes[http.StatusOK] < 400 {
			t.Errorf("%d of 800 requests were answered; about 480 can be", outcomes[http.StatusOK])
		}
	})
}
