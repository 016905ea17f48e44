// Package permits shares the slots of a small pool of plain servers among many daemons. Divide
// computes the limit of each daemon from the demand that all have reported. A Gate applies the
// limit of one daemon to the requests of one service: who is sent, who waits and who is refused.
package permits

import (
	"math"
	"time"
)

// Unlimited is the limit unless servers decline requests.
var Unlimited = math.Inf(1)

const (
	// queuedPart is the part of the servers' queues that limits fill. A request that waits at a
	// server cannot be moved to another one or overtaken by a more urgent one. In the middle of
	// a queue of four times the slots it waits two service times, which an objective of five
	// service times bears.
	queuedPart = 0.5
	// declinedPart is the part of the arrivals that servers have to decline before limits apply.
	// Requests in flight are no sign of it: those at a server that does not answer count as well.
	declinedPart = 0.05
	// endPart is the part below which limits that apply end. With declinedPart for both, servers
	// declined 6 in 100 arrivals in steady overload, since limits stop the declines they follow.
	endPart = 0.02
	// evenPart is the part that is divided evenly, for daemons whose demand has just begun.
	evenPart = 0.4
	// queuePerSlot is the assumed length of a queue of unknown length, relative to the slots.
	queuePerSlot = 4
	// maxDemand is the largest value of a demand that is taken as valid.
	maxDemand = 1e6
)

// Demand is the demand for one service from one daemon, or the sum of several daemons.
type Demand struct {
	// Rate is the rate of arrivals multiplied by the service time, which is the mean number of
	// requests in flight if none has to wait.
	Rate float64
	// InFlight and Waiting are mean numbers of requests.
	InFlight, Waiting float64
	// Daemons is the number of daemons that the demand sums.
	Daemons int
	// Arrived and Declined are the recent rates, per second, of requests that were sent and of
	// those that a server declined as full.
	Arrived, Declined float64
}

// Load returns the number of requests that would be in flight without limits. It is linear, so
// that the loads of all daemons add up to that of their sum.
func (d Demand) Load() float64 { return (d.Rate+d.InFlight)/2 + d.Waiting }

// Plus returns the sum of two demands.
func (d Demand) Plus(e Demand) Demand {
	return Demand{
		Rate: d.Rate + e.Rate, InFlight: d.InFlight + e.InFlight, Waiting: d.Waiting + e.Waiting,
		Daemons: d.Daemons + e.Daemons, Arrived: d.Arrived + e.Arrived, Declined: d.Declined + e.Declined,
	}
}

// declining reports whether servers decline at least the given part of the requests.
func (d Demand) declining(part float64) bool {
	return d.Declined > 0 && d.Declined >= part*d.Arrived
}

// Valid reports whether all values are within their ranges.
func (d Demand) Valid() bool {
	for _, v := range []float64{d.Rate, d.InFlight, d.Waiting, float64(d.Daemons), d.Arrived, d.Declined} {
		if !(v >= 0 && v <= maxDemand) {
			return false
		}
	}
	return true
}

// Pool is the capacity of the usable servers of a service together.
type Pool struct {
	Slots int
	// Queue is the length of the servers' queues. A negative one is unknown.
	Queue int
	// Limited is set while the limits of Divide apply, so that they end later than they begin.
	Limited bool
}

// capacity returns the slots, the requests that the servers hold, and those that limits allow.
func (p Pool) capacity() (slots, held, allowed float64) {
	slots = float64(p.Slots)
	queue := float64(p.Queue)
	if queue < 0 {
		queue = queuePerSlot * slots
	}
	return slots, slots + queue, slots + queuedPart*queue
}

// Static returns the limit of a daemon without figures whose requests are declined.
func (p Pool) Static(daemons int) float64 {
	if p.Slots <= 0 {
		return Unlimited
	}
	_, held, _ := p.capacity()
	return held / float64(max(daemons, 1))
}

// Divide returns how many requests one daemon may have in flight. The total has to contain own.
// The result may be below one. It is Unlimited while the total is below the slots or servers decline
// few requests.
//
// Limits allow the slots and half of the queue. Below that demand they are higher, because
// the demand of one daemon varies more than the total.
//
// Daemons missing in the total are assumed to use their static share. The limits of all then add
// up to at most the slots and the queue.
func Divide(p Pool, total, own Demand, daemons int) float64 {
	load := total.Load()
	part := declinedPart
	if p.Limited {
		part = endPart
	}
	if p.Slots <= 0 || load < float64(p.Slots) || !total.declining(part) {
		return Unlimited
	}
	if !total.Valid() || !own.Valid() {
		return p.Static(daemons)
	}
	n := float64(max(daemons, 1))
	slots, held, allowed := p.capacity()
	if load < allowed {
		allowed *= (allowed - slots) / max(load-slots, minLimit)
	}
	room := min(allowed, held*min(float64(max(total.Daemons, 1))/n, 1))
	return room * ((1-evenPart)*min(own.Load()/load, 1) + evenPart/n)
}

// Share is the limit of one daemon and the time until which it applies.
type Share struct {
	Limit float64
	Until time.Time
}

// Ticket describes a request to a Gate.
type Ticket struct {
	Organisation string
	// Rank is the urgency of the request; lower ones are served first.
	Rank int
	// Objective is the latency objective, Left the part of it that remains, or the time until the
	// deadline if that is shorter.
	Objective, Left time.Duration
}

// Decision is the decision about a request.
type Decision interface{ decision() }

// Go means that the request may be sent now.
type Go struct{}

// Wait means that the request is queued until the given time.
type Wait struct{ Until time.Time }

// Refuse means that the request cannot be answered within its objective.
type Refuse struct{ RetryAfter time.Duration }

func (Go) decision()     {}
func (Wait) decision()   {}
func (Refuse) decision() {}
