package gateway

import (
	"encoding/json"
	"fmt"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/daemon/duties"
	"ladderridge.example/daemon/peer"
)

// Dump is a snapshot of the process's state for operators.
type Dump struct {
	Config      uint64 `json:"config"`
	ConfigAgeMS int64  `json:"config_age_ms"`
	Daemons     int    `json:"daemons"`
	Stopping    bool   `json:"stopping"`
	Open        int64  `json:"open"`
	Connections int    `json:"idle_connections"`
	// HeldBytes is the memory taken by complete answers that are buffered for callers.
	HeldBytes int64      `json:"held_answer_bytes"`
	Peers     peer.Usage `json:"peers"`
	// Topics lists what this daemon has of the store.
	Topics []TopicDump `json:"topics"`
	// Drained maps each drained data hall, whose servers get no requests, to the milliseconds
	// since this daemon learned that it is drained.
	Drained map[string]int64 `json:"emptied_halls"`
	// Corrupted maps the key of each server entry that does not decode to the reason.
	Corrupted map[string]string `json:"spoiled_entries"`
	// Quarantine lists the requests that are sent to no server, because servers crashed while
	// running them.
	Quarantine []QuarantineDump `json:"quarantine"`
	// Confined lists the parts of prompts whose requests are sent to no server, for the same reason.
	Confined []ConfinementDump `json:"confined_parts,omitempty"`
	Servers  []ServerDump      `json:"servers"`
	// Repeats lists the retry budget of each service.
	Repeats []RepeatDump `json:"repeats"`
	// Congestion lists the services whose model servers have few slots, Permits the small pools.
	Congestion []CongestionDump `json:"congestion,omitempty"`
	Permits    []PermitDump     `json:"permits,omitempty"`
	// Reach is what this daemon knows of its paths to the servers.
	Reach ReachDump `json:"reach"`
	// Duties lists what this daemon knows of each duty: work that one daemon does for all.
	Duties []duties.Status `json:"duties"`
}

// TopicDump is the state of one topic of the store. Daemons with the same rows have the same
// checksum.
type TopicDump struct {
	Topic   string `json:"topic"`
	Version string `json:"version"`
	Rows    int    `json:"rows"`
	// Checksum is the hash of the rows' keys and contents, in hexadecimal.
	Checksum string `json:"checksum"`
	// LostRows is the number of rows and removals that the store has lost in a restore.
	LostRows uint64 `json:"lost_rows"`
	// AgeMS is the time since the rows were known to be current.
	AgeMS int64 `json:"age_ms"`
}

// QuarantineDump is a request in quarantine.
type QuarantineDump struct {
	// Content is the same content hash as in the log lines of its requests.
	Content string `json:"content"`
	// Crashes is how many servers are known to have crashed while running it.
	Crashes int   `json:"crashes"`
	LeftMS  int64 `json:"left_ms"`
}

// ConfinementDump is a confinement of the requests that have all of some parts.
type ConfinementDump struct {
	// Parts are the same hashes as in the log lines.
	Parts   []string `json:"parts"`
	Crashes int      `json:"crashes"`
	SinceMS int64    `json:"since_ms"`
	LeftMS  int64    `json:"left_ms"`
	// TrialInMS is the time until this daemon lets a request pass as a trial.
	TrialInMS int64 `json:"trial_in_ms"`
}

// RepeatDump is the retry budget of one service, with counts since the start of the process.
type RepeatDump struct {
	Service  string  `json:"service"`
	Requests int64   `json:"requests"`
	Repeats  int64   `json:"repeats"`
	Denied   int64   `json:"denied"`
	Left     float64 `json:"left"`
}

// ServerDump is the state of one backend server as this daemon sees it.
type ServerDump struct {
	ID string `json:"id"`
	// Born is the start of the server in Unix milliseconds, 0 if it does not report it.
	Born     int64   `json:"born"`
	Service  string  `json:"service"`
	Hall     string  `json:"hall"`
	Version  string  `json:"version"`
	Leaving  bool    `json:"leaving"`
	InFlight int     `json:"in_flight"`
	Slowness float64 `json:"slowness"`
	// Pace is how long work takes at the server relative to others of its service, by the
	// observations of all daemons; 1 is usual, 0 is unknown.
	Pace float64 `json:"pace,omitempty"`
	// ExcessLoad is the load that other daemons have on the server beyond its fair share, in
	// units of a small request.
	ExcessLoad float64 `json:"crowded"`
	InBackoff  bool    `json:"resting"`
	// AnnouncedLeaving and AnnouncedBackoffMS are what the server announced itself: that it
	// leaves, and how much longer it asks for no requests.
	AnnouncedLeaving   bool  `json:"says_leaving"`
	AnnouncedBackoffMS int64 `json:"wants_rest_ms"`
	// RejectionBound is how many requests in a second the servers of its service may reject, from
	// all daemons together, before they fail; 0 is no bound.
	RejectionBound float64 `json:"may_reject_per_second,omitempty"`
	// Limit is the rate limit for all daemons together, if the server announced one.
	Limit *LimitDump `json:"limit,omitempty"`
	// Drained reports whether its data hall is drained. ColdMS is how much longer the server
	// counts as cold (its caches are still empty), ColdMaxRequests how many requests a second
	// this daemon may send to it until then.
	Drained         bool  `json:"emptied"`
	ColdMS          int64 `json:"cold_ms"`
	ColdMaxRequests int   `json:"cold_most"`
}

// LimitDump is the rate limit that a server announced.
type LimitDump struct {
	// PerSecond is the limit in requests a second, for all daemons together.
	PerSecond float64 `json:"per_second"`
	// SinceMS is how long this daemon has known the limit, in milliseconds.
	SinceMS int64 `json:"since_ms"`
	// ReportedBy is the daemon that passed the limit on, "" if a server announced it in an
	// answer to this daemon.
	ReportedBy string `json:"told_by"`
	// Share is how many requests a second this daemon may send, Burst how many at once after a
	// pause, Sent how many it has sent since it applies the limit.
	Share float64 `json:"share_per_second"`
	Burst float64 `json:"at_once"`
	Sent  int64   `json:"sent"`
}

// limitDump returns the rate limit of a server, nil if it has none.
func limitDump(s *fleet.Server, now time.Time) *LimitDump {
	limit := s.State.Notices.State().Limit
	if limit.Rate == 0 {
		return nil
	}
	q, _ := s.State.Quota()
	return &LimitDump{PerSecond: limit.Rate, SinceMS: now.Sub(limit.Since).Milliseconds(), ReportedBy: limit.From, Share: q.Rate, Burst: q.Depth, Sent: q.Sent}
}

// Dump returns a snapshot of the process's state.
func (g *Gateway) Dump() Dump {
	v := g.syncer.View()
	now := time.Now()
	d := Dump{
		ConfigAgeMS: v.ConfigAge(now).Milliseconds(), Daemons: v.Daemons, Stopping: g.phase.stopping.Load(),
		Open: g.engine.InFlight.Load(), Connections: g.channels.Idle(), HeldBytes: g.engine.BufferedBytes(), Peers: g.peers.Usage(),
	}
	if v.Map != nil {
		d.Config = v.Map.Number
	}
	for _, t := range v.Topics {
		d.Topics = append(d.Topics, TopicDump{Topic: string(t.Topic), Version: t.Version.String(), Rows: t.Rows, Checksum: fmt.Sprintf("%016x", t.Sum), LostRows: t.LostRows, AgeMS: now.Sub(t.ConfirmedAt).Milliseconds()})
	}
	d.Drained = map[string]int64{}
	for hall, since := range v.Drained {
		d.Drained[hall] = now.Sub(since).Milliseconds()
	}
	d.Corrupted = v.Corrupted
	for _, c := range v.Quarantine.Confinements(now) {
		d.Quarantine = append(d.Quarantine, QuarantineDump{Content: c.Parts[0].String(), Crashes: c.Crashes, LeftMS: c.Until.Sub(now).Milliseconds()})
	}
	for _, c := range v.Parts.Confinements(now) {
		d.Confined = append(d.Confined, ConfinementDump{
			Parts: quarantine.PartNames(c.Parts), Crashes: c.Crashes, SinceMS: now.Sub(c.Since).Milliseconds(),
			LeftMS: c.Until.Sub(now).Milliseconds(), TrialInMS: max(0, c.TrialFrom.Sub(now).Milliseconds()),
		})
	}
	for _, u := range g.engine.Repeats() {
		d.Repeats = append(d.Repeats, RepeatDump(u))
	}
	d.Congestion, d.Permits = g.congestionDump(now), g.permitDump(now)
	d.Duties, d.Reach = g.Duties(), g.reachDump(now)
	if v.Servers == nil {
		return d
	}
	for _, s := range v.Servers.All() {
		_, drained := v.Drained[s.Hall]
		out := ServerDump{
			ID: s.ID, Born: s.Born, Service: s.Service, Hall: s.Hall, Version: s.Version, Leaving: s.Leaving,
			InFlight: s.State.InFlight(), Slowness: s.State.Slowness(), ExcessLoad: s.State.ExcessLoad(now), InBackoff: s.State.InBackoff(now), Drained: drained,
		}
		if pace, known := s.State.Pace(now); known {
			out.Pace = pace
		}
		notices := s.State.Notices.State()
		out.AnnouncedLeaving = notices.Leaving()
		out.Limit = limitDump(s, now)
		if s.Brittle(now) {
			out.RejectionBound = s.State.RejectionBound()
		}
		if notices.InBackoff(now) {
			out.AnnouncedBackoffMS = notices.BackoffUntil.Sub(now).Milliseconds()
		}
		if cold := s.State.ColdLimit(); now.Before(cold.Until) {
			out.ColdMS, out.ColdMaxRequests = cold.Until.Sub(now).Milliseconds(), cold.MaxRequests
		}
		d.Servers = append(d.Servers, out)
	}
	return d
}

// LogDump writes a snapshot of the process's state to the log.
func (g *Gateway) LogDump() {
	data, err := json.Marshal(g.Dump())
	if err != nil {
		g.log.Error().Err(err).Msg("gateway: cannot encode the state dump")
		return
	}
	g.log.Info().RawJSON("state", data).Msg("gateway: state dump")
}
