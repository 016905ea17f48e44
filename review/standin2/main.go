// Command standin2 plays one case of the second review: it starts daemons as processes, with a store,
// servers and consumers of its own on loopback addresses. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(s *site, trouble bool) (int, error){
	"unsigned": unsigned,
	"unframed": unframed,
	"endless":  endless,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 4 && os.Args[1] == "runner" {
		return runChild(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin2 CASE FOLDER")
		return couldNot
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, at: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", os.Args[1], trouble)
	s, err := newSite(rec, 3)
	if err != nil {
		rec.say("%v", err)
		return couldNot
	}
	defer s.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		s.stop()
		os.Exit(couldNot)
	}()
	n, err := cases[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return couldNot
	case n > 0:
		rec.say("the rule was broken %d times", n)
		return broken
	}
	rec.say("the rule held")
	return held
}

// standardServers starts the servers of both services: one of each in each hall.
func standardServers(s *site) (plain, engines []*runner, err error) {
	for i, h := range halls {
		p := &runner{id: fmt.Sprintf("i-plain%d", i), service: "lic-broker", hall: h, slots: 6, work: 15 * time.Millisecond}
		e := &runner{id: fmt.Sprintf("i-model%d", i), service: "ladder-llm", hall: h, slots: 64, work: 20 * time.Millisecond, events: 10}
		plain, engines = append(plain, p), append(engines, e)
		for _, r := range []*runner{p, e} {
			if err := s.startRunner(r); err != nil {
				return nil, nil, err
			}
		}
	}
	return plain, engines, nil
}
