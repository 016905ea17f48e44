package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// endless: in place of two in a hundred of its answers a faulty model server sends numbered events without end,
// until the caller closes. Rule MIXED: no consumer may get a success whose body is not a server's whole body, and
// an answer that ends early must not look complete.
func endless(s *site, trouble bool) (int, error) {
	const (
		spoiled = 0.02
		// The fault lasts for 5.5 s, as in the site file, and comes again after one second.
		faultLength, faultPeriod = 5500 * time.Millisecond, 6500 * time.Millisecond
	)
	_, engines, err := standardServers(s)
	if err != nil {
		return 0, err
	}
	const events = 10
	rng := rand.New(rand.NewPCG(2, 2))
	var rngMu sync.Mutex
	engines[0].spoil = func(c net.Conn, id string) bool {
		rngMu.Lock()
		spoil := trouble && time.Since(s.base)%faultPeriod < faultLength && rng.Float64() < spoiled
		rngMu.Unlock()
		if !spoil {
			return false
		}
		s.record.printf("server %s answers %s without end", engines[0].id, id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nX-Confidence: 95\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, engines[0].proof(id))
		i := 1
		for ; err == nil; i++ {
			event := fmt.Sprintf("id: %d\ndata: junk\n\n", i)
			_, err = io.WriteString(c, fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		}
		s.record.printf("server %s was closed after %d events to %s", engines[0].id, i, id)
		return true
	}
	s.store.set("op", "config", config(7))
	if err := s.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	const (
		length   = 50 * time.Second
		interval = 25 * time.Millisecond
	)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, whole, brokenOff, bad := 0, 0, 0, 0
	for begun := time.Now(); time.Since(begun) < length; time.Sleep(interval) {
		c := chat(8 * time.Second)
		d := s.daemons[rand.IntN(len(s.daemons))]
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.record.printf("request %s sent to %s", c.id, d.name)
			o := c.send(d.callers)
			n := pieces(o.body)
			s.record.printf("request %s: %s; %d pieces", c.id, o.text(), n)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case o.status != 200 || !o.whole:
				brokenOff++
			case n == events && !strings.Contains(o.body, "junk"):
				whole++
			default:
				bad++
				s.record.say("MIXED: request %s got as a whole success %d events, %d of them no answer, signature %s", c.id, n, strings.Count(o.body, "junk"), o.header.Get("X-Response-Signature"))
			}
		}()
	}
	wg.Wait()
	s.record.say("%d streams: %d whole, %d not whole, %d complete with what is no answer", sent, whole, brokenOff, bad)
	if whole < sent/2 {
		return 0, fmt.Errorf("only %d of %d were served", whole, sent)
	}
	return bad, nil
}
