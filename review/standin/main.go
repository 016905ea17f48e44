package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"ladderridge.example/platform/standin"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// run is what a case gets.
type run struct {
	trouble bool
	program string
	record  *record
}

func main() {
	// The daemons end with the thread that has started them.
	runtime.LockOSThread()
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/ladderridged", "the daemon's program")
	file := flag.String("record", "record.txt", "where the record goes")
	flag.Parse()
	rec, err := newRecord(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", program: *program, record: rec}
	play, ok := map[string]func(*run) (int, error){"surplus": surplusCase, "resume": resumeCase, "zeros": zerosCase}[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	violations, err := play(r)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(notRun)
	case violations > 0:
		rec.add("broken: %d violations", violations)
		fmt.Println("broken:", violations, "violations")
		os.Exit(broken)
	}
	rec.add("held")
	fmt.Println("held")
	os.Exit(held)
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeout time.Duration) map[string]any {
	out := map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "maxAttempts": 3, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": 2000, "priority": 0, "allowAnonymous": false,
	}
	if kind == "streaming" {
		out["stickySessions"], out["streamResume"], out["gapAimMs"] = true, true, 1200
	}
	return out
}

// modelEngine returns the engine of a service of model runners.
func modelEngine() map[string]any {
	return map[string]any{"slots": modelSlots, "kvTokens": 439367, "kvBytes": 18432, "models": []map[string]any{
		{"name": models[0], "cost": 0.018}, {"name": models[1], "cost": 0.13}, {"name": models[2], "cost": 0.27},
	}}
}

// config returns a configuration with the given routes and services.
func config(services []string, routes ...map[string]any) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": 7, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}}},
	}
}

// enter writes the entry of a runner to the store.
func enter(s *standin.Store, r *runner, service, zone string, slots int) error {
	return s.Set("servers", r.id, map[string]any{
		"service": service, "address": r.addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	})
}
