package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Trouble is a kind of fault.
type Trouble string

// The troubles. Those of daemons name one daemon, those of servers one server.
const (
	// Processes.
	Terminate Trouble = "daemon is stopped as planned"
	Kill      Trouble = "daemon is killed"
	KillAll   Trouble = "all daemons are killed"
	Pause     Trouble = "daemon is paused"
	Reload    Trouble = "daemon's settings change"

	// Ways to and between daemons.
	CutStore     Trouble = "daemon's way to the store is silent"
	ResetStore   Trouble = "daemon's connections to the store are reset"
	SlowCallers  Trouble = "daemon's callers are delayed"
	ResetCallers Trouble = "daemon's callers are reset"
	CutPeers     Trouble = "daemon hears no others"
	LosePeers    Trouble = "daemon loses messages of others"

	// The store.
	StoreDown   Trouble = "store is down"
	StoreSilent Trouble = "store is silent"
	StoreLossy  Trouble = "store loses answers"
	StoreSlow   Trouble = "store is slow"
	StoreForget Trouble = "store forgets its history"

	// StoreReturns is not drawn with the others.
	StoreReturns Trouble = "store returns from a copy"

	// Servers and the ways to them.
	SlowServer    Trouble = "server is delayed"
	ResetServer   Trouble = "server's connections are reset"
	CutToServer   Trouble = "server hears nothing"
	CutFromServer Trouble = "server is not heard"
	FailServer    Trouble = "server fails"
	LoseAnswers   Trouble = "server loses answers"
	BreakStreams  Trouble = "server breaks streams"
	CrashServer   Trouble = "server crashes and starts anew"
	LeaveServer   Trouble = "server leaves"

	// The operator.
	AddRoute  Trouble = "operator adds a route"
	RevokeKey Trouble = "operator takes a key away"
	OrderGood Trouble = "operator brings in a good version"
	OrderBad  Trouble = "operator brings in a version that fails"
)

// weights are how often troubles are drawn, relative to each other.
var weights = []struct {
	trouble Trouble
	weight  int
}{
	{Terminate, 4},
	{Kill, 3},
	{KillAll, 1},
	{Pause, 3},
	{Reload, 1},
	{CutStore, 2},
	{ResetStore, 1},
	{SlowCallers, 1},
	{ResetCallers, 1},
	{CutPeers, 2},
	{LosePeers, 1},
	{StoreDown, 1},
	{StoreSilent, 1},
	{StoreLossy, 1},
	{StoreSlow, 1},
	{StoreForget, 1},
	{SlowServer, 1},
	{ResetServer, 2},
	{CutToServer, 1},
	{CutFromServer, 2},
	{FailServer, 1},
	{LoseAnswers, 2},
	{BreakStreams, 1},
	{CrashServer, 1},
	{LeaveServer, 2},
	{AddRoute, 3},
	{RevokeKey, 2},
	{OrderGood, 1},
	{OrderBad, 2},
}

// Fault is a trouble with its place and time.
type Fault struct {
	Trouble Trouble
	// Target numbers a daemon or a server, by the trouble.
	Target int
	// At is counted from the start of the faults.
	At  time.Duration
	For time.Duration
}

// String says what comes when.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s, for %4.2f s: %s (%d)", f.At.Seconds(), f.For.Seconds(), f.Trouble, f.Target)
}

// Plan is what a seed brings.
type Plan struct {
	Seed    uint64
	Halls   int
	Daemons int
	Faults  []Fault
}

// The bounds of what is drawn.
const (
	fewestDaemons, mostDaemons = 3, 8
	fewestHalls, mostHalls     = 2, 3
	// faultEvery is the mean time between two faults: several overlap.
	faultEvery                 = 700 * time.Millisecond
	shortestFault, spanFault   = 300 * time.Millisecond, 2500 * time.Millisecond
	modelServers, plainServers = 4, 3
	servers                    = modelServers + plainServers
)

// newRand is the source of all that a seed decides; part tells users apart.
func newRand(seed, part uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, part)) }

// NewPlan draws the plan of a seed.
func NewPlan(o Options) Plan {
	r := newRand(o.Seed, 0)
	p := Plan{Seed: o.Seed, Halls: fewestHalls + r.IntN(mostHalls-fewestHalls+1), Daemons: fewestDaemons + r.IntN(mostDaemons-fewestDaemons+1)}
	if o.Daemons > 0 {
		p.Daemons = o.Daemons
	}
	n := o.Faults
	if n == 0 {
		n = int(o.Length / faultEvery)
	}
	for range n {
		p.Faults = append(p.Faults, draw(r, p, o.Length))
	}
	slices.SortFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

func draw(r *rand.Rand, p Plan, length time.Duration) Fault {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	f := Fault{At: time.Duration(r.Int64N(int64(length))), For: shortestFault + time.Duration(r.Int64N(int64(spanFault)))}
	at := r.IntN(total)
	for _, w := range weights {
		if at -= w.weight; at < 0 {
			f.Trouble = w.trouble
			break
		}
	}
	f.Target = r.IntN(p.Daemons * servers)
	return f
}
