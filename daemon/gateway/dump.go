package gateway

import (
	"encoding/json"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/daemon/duties"
	"ladderridge.example/daemon/peer"
)

// Dump is the state of the whole process.
type Dump struct {
	Config      uint64 `json:"config"`
	ConfigAgeMS int64  `json:"config_age_ms"`
	Daemons     int    `json:"daemons"`
	Stopping    bool   `json:"stopping"`
	Open        int64  `json:"open"`
	Connections int    `json:"idle_connections"`
	// HeldBytes are those of whole answers that are held for callers.
	HeldBytes int64      `json:"held_answer_bytes"`
	Peers     peer.Usage `json:"peers"`
	// Emptied are the data halls whose servers get nothing, by since when this daemon
	// knows, in milliseconds.
	Emptied map[string]int64 `json:"emptied_halls"`
	// Spoiled are the entries of servers that name none, by their keys, and why.
	Spoiled map[string]string `json:"spoiled_entries"`
	// Quarantine are the requests that get no server, since servers ended under them.
	Quarantine []CaseDump   `json:"quarantine"`
	Servers    []ServerDump `json:"servers"`
	// Repeats is the budget of repeats, by service.
	Repeats []RepeatDump `json:"repeats"`
	// Duties is what this daemon knows of what one does for all.
	Duties []duties.Status `json:"duties"`
}

// CaseDump is a request in quarantine.
type CaseDump struct {
	// Content is the same as in the lines of its requests.
	Content string `json:"content"`
	// Crashes is how many servers this daemon knows to have ended under it.
	Crashes int   `json:"crashes"`
	LeftMS  int64 `json:"left_ms"`
}

// RepeatDump is the budget of repeats of one service, with counts since the start.
type RepeatDump struct {
	Service  string  `json:"service"`
	Requests int64   `json:"requests"`
	Repeats  int64   `json:"repeats"`
	Denied   int64   `json:"denied"`
	Left     float64 `json:"left"`
}

// ServerDump is what is known of one server.
type ServerDump struct {
	ID string `json:"id"`
	// Born is the Unix millisecond of its start, 0 if it does not tell it.
	Born     int64   `json:"born"`
	Service  string  `json:"service"`
	Hall     string  `json:"hall"`
	Version  string  `json:"version"`
	Leaving  bool    `json:"leaving"`
	InFlight int     `json:"in_flight"`
	Slowness float64 `json:"slowness"`
	// Crowded is the work that other daemons have there beyond its part, with a small
	// request as 1.
	Crowded float64 `json:"crowded"`
	Resting bool    `json:"resting"`
	// SaysLeaving and WantsRestMS are the server's own words: that it leaves, and how much
	// longer it wants no requests.
	SaysLeaving bool  `json:"says_leaving"`
	WantsRestMS int64 `json:"wants_rest_ms"`
	// Limit is the rate that it takes from all daemons, if it names one.
	Limit *LimitDump `json:"limit,omitempty"`
	// Emptied tells that its data hall is emptied; ColdMS is how much longer it is cold
	// and ColdMost how many requests this daemon may then send in a second.
	Emptied  bool  `json:"emptied"`
	ColdMS   int64 `json:"cold_ms"`
	ColdMost int   `json:"cold_most"`
}

// LimitDump is the limit that a server names.
type LimitDump struct {
	// PerSecond is what it takes from all daemons together.
	PerSecond float64 `json:"per_second"`
	// SinceMS is how long this daemon has known it, in milliseconds.
	SinceMS int64 `json:"since_ms"`
	// ToldBy is the daemon that has told it, "" an answer to a request of this one.
	ToldBy string `json:"told_by"`
	// Share is what this daemon may send a second, AtOnce how many requests after a pause, Sent
	// how many it has sent since it keeps the limit.
	Share  float64 `json:"share_per_second"`
	AtOnce float64 `json:"at_once"`
	Sent   int64   `json:"sent"`
}

// limitDump returns the limit of a server, nil if it has none.
func limitDump(s *fleet.Server, now time.Time) *LimitDump {
	is := s.State.Notices.State().Limit
	if is.Rate == 0 {
		return nil
	}
	q, _ := s.State.Quota()
	return &LimitDump{PerSecond: is.Rate, SinceMS: now.Sub(is.Since).Milliseconds(), ToldBy: is.From, Share: q.Rate, AtOnce: q.Depth, Sent: q.Sent}
}

// Dump returns the state of the whole process.
func (g *Gateway) Dump() Dump {
	v := g.keeper.View()
	now := time.Now()
	d := Dump{
		ConfigAgeMS: v.ConfigAge(now).Milliseconds(), Daemons: v.Daemons, Stopping: g.phase.stopping.Load(),
		Open: g.engine.InFlight.Load(), Connections: g.channels.Idle(), HeldBytes: g.engine.BufferedBytes(), Peers: g.peers.Usage(),
	}
	if v.Map != nil {
		d.Config = v.Map.Number
	}
	d.Emptied = map[string]int64{}
	for hall, since := range v.Drained {
		d.Emptied[hall] = now.Sub(since).Milliseconds()
	}
	d.Spoiled = v.Corrupted
	for _, c := range v.Quarantine.Entries(now) {
		d.Quarantine = append(d.Quarantine, CaseDump{Content: c.Content.String(), Crashes: c.Crashes, LeftMS: c.Until.Sub(now).Milliseconds()})
	}
	for _, u := range g.engine.Repeats() {
		d.Repeats = append(d.Repeats, RepeatDump(u))
	}
	d.Duties = g.Duties()
	if v.Servers == nil {
		return d
	}
	for _, s := range v.Servers.All() {
		_, emptied := v.Drained[s.Hall]
		out := ServerDump{
			ID: s.ID, Born: s.Born, Service: s.Service, Hall: s.Hall, Version: s.Version, Leaving: s.Leaving,
			InFlight: s.State.InFlight(), Slowness: s.State.Slowness(), Crowded: s.State.ExcessLoad(now), Resting: s.State.InBackoff(now), Emptied: emptied,
		}
		kept := s.State.Notices.State()
		out.SaysLeaving = kept.Leaving()
		out.Limit = limitDump(s, now)
		if kept.InBackoff(now) {
			out.WantsRestMS = kept.BackoffUntil.Sub(now).Milliseconds()
		}
		if cold := s.State.ColdLimit(); now.Before(cold.Until) {
			out.ColdMS, out.ColdMost = cold.Until.Sub(now).Milliseconds(), cold.MaxRequests
		}
		d.Servers = append(d.Servers, out)
	}
	return d
}

// LogDump writes the state of the whole process to the log.
func (g *Gateway) LogDump() {
	data, err := json.Marshal(g.Dump())
	if err != nil {
		g.log.Error().Err(err).Msg("gateway: the dump failed")
		return
	}
	g.log.Info().RawJSON("state", data).Msg("gateway: dump")
}
