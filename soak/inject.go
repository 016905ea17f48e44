package soak

import (
	"context"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// play executes a plan and waits until its last fault has ended.
func (s *cluster) play(ctx context.Context, o Options, p Plan) {
	started := time.Now()
	if o.SkewedConnections {
		skewer := newSkewer(s, o.Seed)
		skewer.start(ctx)
		defer skewer.stop()
	}
	if o.FailedContinuations {
		interrupter := newInterrupter(s, o.Seed)
		interrupter.start(ctx)
		defer interrupter.stop()
	}
	if o.EndlessAnswers {
		endless := newEndlessServers(s, o.Seed)
		endless.start(ctx)
		defer endless.stop()
	}
	var running sync.WaitGroup
	for _, f := range p.Faults {
		clock.Wait(ctx, time.Until(started.Add(f.At)))
		running.Go(func() { s.inject(ctx, f) })
	}
	running.Wait()
	if len(p.Faults) == 0 {
		clock.Wait(ctx, time.Until(started.Add(o.Length)))
	}
}

// inject injects one fault and ends it.
func (s *cluster) inject(ctx context.Context, f Fault) {
	d, b := s.daemons[f.Target%len(s.daemons)], s.initialServers()[f.Target%servers]
	target := d.number
	if !f.Kind.affectsOneDaemon() {
		target = allDaemons
	}
	end := s.recorder.beginFault(target, f.Kind, time.Now())
	defer func() { end(time.Now()) }()
	switch f.Kind {
	case Terminate, Kill, KillAll, Pause, Reload:
		s.injectProcess(ctx, f, d)
	case CutStore, ResetStore, SlowCallers, ResetCallers, CutPeers, LosePeers:
		s.injectNetwork(ctx, f, d)
	case StoreDown, StoreSilent, StoreLossy, StoreSlow, StoreForget:
		s.injectStore(ctx, f)
	case AddRoute:
		s.addRoute()
	case RevokeKey:
		s.revokeKey()
	case OrderGood, OrderBad:
		s.rollOut(ctx, f.Kind == OrderBad)
	default:
		injectServer(ctx, f, b)
	}
}

// affectsOneDaemon reports whether the fault affects a single daemon.
func (t FaultKind) affectsOneDaemon() bool {
	switch t {
	case Terminate, Kill, Pause, Reload, CutStore, ResetStore, SlowCallers, ResetCallers, CutPeers, LosePeers:
		return true
	}
	return false
}

func (s *cluster) injectProcess(ctx context.Context, f Fault, d *daemon) {
	switch f.Kind {
	case Terminate:
		life := d.processNumber()
		d.terminate()
		for d.processNumber() == life && ctx.Err() == nil {
			clock.Wait(ctx, readyEvery/5)
		}
	case Kill:
		d.kill(f.For)
		clock.Wait(ctx, f.For)
	case KillAll:
		for _, each := range s.daemons {
			each.kill(f.For)
		}
		clock.Wait(ctx, f.For)
	case Pause:
		d.signal(syscall.SIGSTOP)
		clock.Wait(ctx, f.For)
		d.signal(syscall.SIGCONT)
	case Reload:
		s.reload(d)
	}
}

// reload changes a daemon's settings file and sends it SIGHUP.
func (s *cluster) reload(d *daemon) {
	file, err := os.OpenFile(d.file, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		s.recorder.found("SOAK", err.Error())
		return
	}
	defer file.Close()
	fmt.Fprintln(file, "; changed")
	d.signal(syscall.SIGHUP)
}

func (s *cluster) injectNetwork(ctx context.Context, f Fault, d *daemon) {
	switch f.Kind {
	case CutStore:
		dir := Direction(f.Target % 2)
		d.store.Stall(dir, true)
		clock.Wait(ctx, f.For)
		d.store.Reset()
		d.store.Stall(dir, false)
	case ResetStore:
		d.store.Refuse(true)
		d.store.Reset()
		clock.Wait(ctx, f.For)
		d.store.Refuse(false)
	case SlowCallers:
		d.callers.Delay(regionDelay)
		clock.Wait(ctx, f.For)
		d.callers.Delay(0)
	case ResetCallers:
		d.callers.Reset()
	case CutPeers:
		dir := Direction(f.Target % 2)
		d.peers.SetLoss(dir, 1)
		clock.Wait(ctx, f.For)
		d.peers.SetLoss(dir, 0)
	case LosePeers:
		d.peers.SetLoss(ToServer, lossFraction)
		d.peers.SetLoss(ToClient, lossFraction)
		clock.Wait(ctx, f.For)
		d.peers.SetLoss(ToServer, 0)
		d.peers.SetLoss(ToClient, 0)
	}
}

const (
	// regionDelay is about the latency between two regions.
	regionDelay = 40 * time.Millisecond
	// lossFraction is a packet loss from which QUIC recovers slowly.
	lossFraction = 0.3
)

func (s *cluster) injectStore(ctx context.Context, f Fault) {
	if f.Kind == StoreForget {
		s.store.Forget()
		return
	}
	s.store.Play(map[FaultKind]standin.Fault{StoreDown: standin.Down, StoreSilent: standin.Silent, StoreLossy: standin.Lossy, StoreSlow: standin.Slow}[f.Kind])
	clock.Wait(ctx, f.For)
	s.store.Play(standin.None)
}

func injectServer(ctx context.Context, f Fault, b *backend) {
	dir := ToServer
	switch f.Kind {
	case SlowServer:
		b.link.Delay(regionDelay)
		clock.Wait(ctx, f.For)
		b.link.Delay(0)
	case ResetServer:
		b.link.Reset()
	case CutFromServer, CutToServer:
		if f.Kind == CutFromServer {
			dir = ToClient
		}
		b.link.Stall(dir, true)
		clock.Wait(ctx, f.For)
		b.link.Reset()
		b.link.Stall(dir, false)
	case FailServer, LoseAnswers, BreakStreams:
		b.setFault(map[FaultKind]standin.RunnerFault{FailServer: standin.Failing, LoseAnswers: standin.Losing, BreakStreams: standin.Breaking}[f.Kind])
		clock.Wait(ctx, f.For)
		b.setFault(standin.Sound)
	case CrashServer:
		b.crash()
		clock.Wait(ctx, f.For)
		b.replace()
	case LeaveServer:
		b.leave()
		clock.Wait(ctx, leaveFor)
		b.replace()
	}
}

// leaveFor is how long a draining server continues to serve: longer than the time within which
// all daemons must know that it drains.
const leaveFor = leaveBound + time.Second
