package storesync

import (
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/quarantine"
)

// Ends of servers that are planned: the platform stops the servers of a version as soon as a roll-out has
// replaced it or was rolled back, and others announce that they leave. Their exits are no evidence
// against requests.

// plannedEnds finds the servers that are due to end. It belongs to the Syncer's goroutine, but for servers.
type plannedEnds struct {
	servers quarantine.PlannedEnds
	// endedRollouts has the orders that have ended, by service.
	endedRollouts map[string]endedRollout
}

// endedRollout is an order that has been completed or rolled back.
type endedRollout struct {
	order canary.Order
	state canary.State
}

// ends reports whether the platform stops the servers of a version.
func (e endedRollout) ends(version string) bool {
	return (e.state == canary.Completed) != (version == e.order.Version)
}

func newPlannedEnds() *plannedEnds {
	return &plannedEnds{endedRollouts: map[string]endedRollout{}}
}

// recordEndedRollouts records the orders that have ended since the last call, and which servers end with
// them.
func (sy *Syncer) recordEndedRollouts(now time.Time) {
	p := sy.planned
	for service, r := range sy.rollouts.byService {
		if r.State == canary.Running {
			delete(p.endedRollouts, service)
			continue
		}
		if known, ok := p.endedRollouts[service]; ok && known.state == r.State && known.order.Number == r.Order.Number {
			continue
		}
		p.endedRollouts[service] = endedRollout{order: r.Order, state: r.State}
		if v := sy.view.Load(); v.Servers != nil {
			sy.planEnds(v.Servers.Service(service), now)
		}
	}
}

// planEnds records those of the servers that are due to end.
func (sy *Syncer) planEnds(servers []*fleet.Server, now time.Time) {
	for _, s := range servers {
		if e, ended := sy.planned.endedRollouts[s.Service]; s.Leaving || ended && e.ends(s.Version) {
			sy.planned.servers.Add(quarantine.ServerHash(s.Incarnation().String()), now)
		}
	}
}
