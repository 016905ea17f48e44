package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. Those of daemons affect one daemon, those of servers one server.
const (
	// Faults of daemon processes.
	Terminate FaultKind = "daemon is stopped as planned"
	Kill      FaultKind = "daemon is killed"
	KillAll   FaultKind = "all daemons are killed"
	Pause     FaultKind = "daemon is paused"
	Reload    FaultKind = "daemon's settings change"

	// Faults of connections to and between daemons.
	CutStore     FaultKind = "daemon's way to the store is silent"
	ResetStore   FaultKind = "daemon's connections to the store are reset"
	SlowCallers  FaultKind = "daemon's callers are delayed"
	ResetCallers FaultKind = "daemon's callers are reset"
	CutPeers     FaultKind = "daemon hears no others"
	LosePeers    FaultKind = "daemon loses messages of others"

	// Faults of the store.
	StoreDown   FaultKind = "store is down"
	StoreSilent FaultKind = "store is silent"
	StoreLossy  FaultKind = "store loses answers"
	StoreSlow   FaultKind = "store is slow"
	StoreForget FaultKind = "store forgets its history"

	// StoreReturns is not drawn at random; Options.StoreRestores enables it.
	StoreReturns FaultKind = "store returns from a copy"

	// CutServers is not drawn at random; Options.ServerCuts enables it.
	CutServers FaultKind = "daemon reaches no server"

	// FailContinuations is not drawn at random; Options.FailedContinuations enables it.
	FailContinuations FaultKind = "streams break off and are not continued"

	// EndlessAnswers is not drawn at random; Options.EndlessAnswers enables it.
	EndlessAnswers FaultKind = "servers answer without end"

	// Faults of backend servers and of the connections to them.
	SlowServer    FaultKind = "server is delayed"
	ResetServer   FaultKind = "server's connections are reset"
	CutToServer   FaultKind = "server hears nothing"
	CutFromServer FaultKind = "server is not heard"
	FailServer    FaultKind = "server fails"
	LoseAnswers   FaultKind = "server loses answers"
	BreakStreams  FaultKind = "server breaks streams"
	CrashServer   FaultKind = "server crashes and starts anew"
	LeaveServer   FaultKind = "server leaves"

	// Actions of the operator.
	AddRoute  FaultKind = "operator adds a route"
	RevokeKey FaultKind = "operator takes a key away"
	OrderGood FaultKind = "operator brings in a good version"
	OrderBad  FaultKind = "operator brings in a version that fails"
)

// weights gives the relative frequency of the kinds of faults.
var weights = []struct {
	trouble FaultKind
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

// Fault is a fault with its target and time.
type Fault struct {
	Kind FaultKind
	// Target is the number of a daemon or server, depending on Kind, modulo how many there are.
	Target int
	// At is the start of the fault, relative to the start of the plan.
	At  time.Duration
	For time.Duration
}

// String returns the time, kind and target of the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s, for %4.2f s: %s (%d)", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Target)
}

// Plan is the plan of a run, as determined by its seed.
type Plan struct {
	Seed    uint64
	Halls   int
	Daemons int
	Faults  []Fault
}

// The bounds of the random choices.
const (
	minDaemons, maxDaemons = 3, 8
	minHalls, maxHalls     = 2, 3
	// meanFaultInterval is the mean time between two faults; it is short enough that several
	// overlap.
	meanFaultInterval          = 700 * time.Millisecond
	minFault, faultSpan        = 300 * time.Millisecond, 2500 * time.Millisecond
	modelServers, plainServers = 4, 3
	servers                    = modelServers + plainServers
)

// newRand returns a random source for a seed. Each user has a stream (part) of its own, so that
// its draws don't change those of others.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// NewPlan derives the plan from the options and their seed.
func NewPlan(o Options) Plan {
	r := newRand(o.Seed, 0)
	p := Plan{Seed: o.Seed, Halls: minHalls + r.IntN(maxHalls-minHalls+1), Daemons: minDaemons + r.IntN(maxDaemons-minDaemons+1)}
	if o.Daemons > 0 {
		p.Daemons = o.Daemons
	}
	n := o.Faults
	if n == 0 {
		n = int(o.Length / meanFaultInterval)
	}
	for range n {
		p.Faults = append(p.Faults, drawFault(r, p, o.Length))
	}
	slices.SortFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

func drawFault(r *rand.Rand, p Plan, length time.Duration) Fault {
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	f := Fault{At: time.Duration(r.Int64N(int64(length))), For: minFault + time.Duration(r.Int64N(int64(faultSpan)))}
	at := r.IntN(total)
	for _, w := range weights {
		if at -= w.weight; at < 0 {
			f.Kind = w.trouble
			break
		}
	}
	f.Target = r.IntN(p.Daemons * servers)
	return f
}
