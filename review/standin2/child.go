package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// child is a model server in a process of its own, which can be killed.
type child struct {
	id, hall string
	site     *site
	cmd      *exec.Cmd
	alive    atomic.Bool
	ended    chan struct{}
}

// heartbeat is the time between two entries that a server writes to the store, and lapse how long after
// the last one the entry of a server that has crashed goes.
const (
	heartbeat = 1200 * time.Millisecond
	lapse     = 3 * heartbeat
)

// startChild starts a server process and has it listed until it is killed.
func (s *site) startChild(id, hall string) (*child, error) {
	c := &child{id: id, hall: hall, site: s, ended: make(chan struct{})}
	c.cmd = exec.Command(os.Args[0], "runner", id, strconv.FormatInt(s.base.UnixMilli(), 10))
	c.cmd.Stderr = os.Stderr
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("server %s has told no address", id)
	}
	addr := lines.Text()
	c.alive.Store(true)
	s.children = append(s.children, c)
	go func() {
		for lines.Scan() {
			s.record.printf("%s: %s", id, lines.Text())
		}
		_ = c.cmd.Wait()
		close(c.ended)
	}()
	entry := object{
		"service": "ladder-llm", "address": addr, "zone": hall, "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0, "phase": "both",
		"models": []object{{"name": "m0", "version": 1, "adapters": []string{}}, {"name": "m1", "version": 1, "adapters": []string{}}, {"name": "m2", "version": 1, "adapters": []string{}}},
	}
	entry["sequence"] = 1
	s.store.set("servers", id, entry)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(heartbeat)
			if !c.alive.Load() {
				time.Sleep(lapse - heartbeat)
				s.store.remove("servers", id)
				return
			}
			entry["sequence"] = n
			s.store.set("servers", id, entry)
		}
	}()
	return c, nil
}

// kill kills the process: a server that crashes.
func (c *child) kill() {
	if c.alive.Swap(false) {
		c.site.record.printf("server %s is killed", c.id)
		_ = c.cmd.Process.Signal(syscall.SIGKILL)
		<-c.ended
	}
}

// runChild is the process of a server: it prints its address and then what it runs.
//
// base is the time, in Unix milliseconds, from which the windows count in which answers have no length.
func runChild(id, base string) int {
	from, err := strconv.ParseInt(base, 10, 64)
	if err != nil {
		return couldNot
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return couldNot
	}
	fmt.Println(l.Addr())
	out := make(chan string, 1<<14)
	go func() {
		for line := range out {
			fmt.Println(line)
		}
	}()
	r := &runner{id: id, slots: 64, work: 20 * time.Millisecond, events: chatEvents, gap: chatGap, runs: map[string]int{}}
	r.unframed = func() bool {
		return !strings.HasSuffix(id, framedSuffix) && inWindow(time.Since(time.UnixMilli(from))) && rand.Float64() < unframedShare
	}
	r.say = func(format string, args ...any) { out <- strings.TrimSpace(fmt.Sprintf(format, args...)) }
	for {
		c, err := l.Accept()
		if err != nil {
			return held
		}
		go r.serve(c)
	}
}
