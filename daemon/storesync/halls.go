package storesync

import (
	"maps"
	"slices"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/routemap"
)

// Drained data halls, and cold servers: servers with empty caches after a start or an undrain.
// The operator's row about a hall is part of the operator topic, so that a daemon that has just
// started, or that the store does not serve, receives it from its hall together with the
// configuration: at most 3.5 s old. While the row exists, no requests are sent to the servers
// of the hall: no first attempts, no retries, no runs of a larger model and no resumed streams.
// In-flight requests continue.

// updateDrained sets which data halls are drained.
func (sy *Syncer) updateDrained(halls map[string]bool, now time.Time) {
	next := map[string]time.Time{}
	for hall := range halls {
		since, was := sy.drained[hall]
		if !was {
			since = now
			sy.Log.Info().Str("hall", hall).Bool("known", sy.halls[hall] != nil).Msg("storesync: data hall drained; its servers receive no more requests")
		}
		next[hall] = since
	}
	for hall, since := range sy.drained {
		if _, still := next[hall]; !still {
			sy.Log.Info().Str("hall", hall).Dur("after", now.Sub(since)).Msg("storesync: data hall in use again; its servers count as cold")
			sy.undrainedAt[hall] = now
		}
	}
	if maps.Equal(next, sy.drained) {
		return
	}
	sy.drained = next
	v := *sy.view.Load()
	v.Drained = next
	if v.Servers != nil {
		v.Servers = v.Servers.WithDrained(halls)
	}
	sy.view.Store(&v)
	sy.updateColdLimits(now)
}

// drainedHalls returns the names of the drained halls.
func (sy *Syncer) drainedHalls() map[string]bool {
	out := make(map[string]bool, len(sy.drained))
	for hall := range sy.drained {
		out[hall] = true
	}
	return out
}

// recordCold records until when a server is cold according to a newer entry. The entry may be a
// moment old. The time counts from now, which ends later than the server asked for.
func (sy *Syncer) recordCold(s *fleet.Server, row revision.Revision, now time.Time) {
	if !row.After(sy.coldRows[s.Incarnation()]) {
		return
	}
	sy.coldRows[s.Incarnation()] = row
	clamped := routemap.ClampColdTime(s.ColdFor)
	if clamped != s.ColdFor {
		sy.Log.Warn().Str("server", s.ID).Dur("cold_for", s.ColdFor).Dur("taken_as", clamped).Msg("storesync: cold time of a server is out of range; it is clamped")
	}
	if clamped > 0 {
		sy.coldUntil[s.Incarnation()] = now.Add(clamped)
	}
}

// updateColdLimits sets for each server until when it is cold and how much this daemon may send
// to it.
func (sy *Syncer) updateColdLimits(now time.Time) {
	v := sy.view.Load()
	maps.DeleteFunc(sy.coldUntil, func(_ fleet.Incarnation, until time.Time) bool { return now.After(until) })
	if v.Servers == nil || v.Map == nil || (len(sy.coldUntil) == 0 && len(sy.undrainedAt) == 0) {
		return
	}
	var daemons []string
	for _, s := range v.Servers.All() {
		service := v.Map.Service(s.Service)
		until := sy.coldUntil[s.Incarnation()]
		if undrained, ok := sy.undrainedAt[s.Hall]; ok && service.ColdFor > 0 {
			until = latest(until, undrained.Add(routemap.ClampColdTime(service.ColdFor)))
		}
		if service.ColdRate == 0 || !now.Before(until) {
			continue
		}
		if daemons == nil {
			daemons = slices.Collect(maps.Keys(*sy.members.Load()))
		}
		maxRequests := fleet.ColdCapacity(service.ColdRate, sy.ColdOverage, sy.ColdSlack)
		s.State.SetColdLimit(fleet.ColdLimit{From: sy.startedAt.Add(fleet.ColdWindow), Until: until, MaxRequests: fleet.ColdShare(s.ID, sy.Self.ID, daemons, maxRequests)})
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// regionsOf returns the regions of the data halls.
func (sy *Syncer) regionsOf() []string {
	return slices.Sorted(maps.Values(sy.Regions))
}

// InRegions reports whether a server in a data hall may serve a request of the route for an
// organisation, which may be nil.
func (v *View) InRegions(r *routemap.Route, o *routemap.Organisation, hall string) bool {
	return r.InRegions(o, v.Regions[hall])
}
