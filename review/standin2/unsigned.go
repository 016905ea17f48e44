package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// unsigned: a faulty server sends, in place of two in a hundred of its answers, bytes that form no answer:
// they carry no signature, and two thirds of them no id of the request. Rule MIXED: no consumer may get a success
// without the signature of a server. Rule REFUSED: a request that may not be repeated gets no 503 if it has run.
func unsigned(s *site, trouble bool) (int, error) {
	const (
		spoiled = 0.02
		// The fault lasts for 5.5 s, as in the site file, and comes again after one second.
		faultLength, faultPeriod = 5500 * time.Millisecond, 6500 * time.Millisecond
	)
	plain, engines, err := standardServers(s)
	if err != nil {
		return 0, err
	}
	for _, r := range append(plain, engines...) {
		// Each fourth answer ends its connection, as servers do now and then.
		r.closeShare = 0.25
	}
	for _, r := range []*runner{plain[0], engines[0]} {
		rng := rand.New(rand.NewPCG(1, uint64(len(r.service))))
		var mu sync.Mutex
		r.spoil = func(c net.Conn, id string) bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || time.Since(s.base)%faultPeriod >= faultLength || rng.Float64() >= spoiled {
				return false
			}
			s.record.printf("server %s sends bytes that form no answer in place of that to %s", r.id, id)
			head := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Service Unavailable\r\n", "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n"}[rng.IntN(3)]
			_, _ = fmt.Fprint(c, head+"Content-Type: text/html\r\nContent-Length: 12\r\n\r\nout of order")
			return true
		}
	}
	s.store.set("op", "config", config(7))
	if err := s.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	const (
		length   = 75 * time.Second
		interval = 12500 * time.Microsecond
	)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served, bad, refused := 0, 0, 0, 0
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(interval) {
		c := []call{checkout(), release(), checkout(), release(), chat(5 * time.Second)}[sent%5]
		d := s.daemons[rand.IntN(len(s.daemons))]
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.record.printf("request %s %s sent to %s", c.id, c.target[:9], d.name)
			o := c.send(d.callers)
			s.record.printf("request %s: %s", c.id, o.text())
			mu.Lock()
			defer mu.Unlock()
			if o.status == http.StatusServiceUnavailable && c.method == http.MethodPost {
				for _, r := range plain {
					if r.ran(c.id) > 0 {
						refused++
						s.record.say("REFUSED: request %s ran at %s and got %s", c.id, r.id, o.text())
					}
				}
			}
			if o.status/100 == 2 && o.whole {
				served++
				if o.header.Get("X-Response-Signature") == "" {
					bad++
					s.record.say("MIXED: request %s got a success without a signature: %s", c.id, o.text())
				}
			}
		}()
	}
	wg.Wait()
	s.record.say("%d sent, %d answered with success, %d of them without a signature; %d that had run got a 503", sent, served, bad, refused)
	if served < sent/2 {
		return 0, fmt.Errorf("only %d of %d were served", served, sent)
	}
	return bad + refused, nil
}
