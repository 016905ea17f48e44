package storesync

import (
	"errors"
	"maps"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/routemap"
)

func isKind(err error, kind Kind) bool { return fault.Is(err, kind) }

// malformedRow identifies a row that cannot be decoded.
type malformedRow struct {
	topic gossip.Topic
	key   string
}

// maxMalformedRows bounds the rows of which it is recorded that they have been logged.
const maxMalformedRows = 1024

// malformed logs a row that cannot be decoded, once per content.
func (sy *Syncer) malformed(topic gossip.Topic, row gossip.Row, err error) {
	name := malformedRow{topic, row.Key}
	if sum, logged := sy.malformedSums[name]; logged && sum == row.Sum() {
		return
	}
	if len(sy.malformedSums) >= maxMalformedRows {
		clear(sy.malformedSums)
	}
	sy.malformedSums[name] = row.Sum()
	sy.CorruptedRows.Add(1)
	sy.Log.Error().Str("topic", string(topic)).Str("key", row.Key).Stringer("version", row.Version).Err(err).Msg("storesync: cannot decode a row; a server is not listed, for other rows the last valid content stays in force")
}

// unreadable logs the rows of a page whose records cannot be read.
func (sy *Syncer) unreadable(topic gossip.Topic, page Page) {
	for _, row := range page.Unreadable {
		sy.malformed(topic, gossip.Row{Key: row.Key, Version: page.Version}, row.Err)
	}
}

// readOperator reads the configuration, the roll-out orders and the data halls to be drained.
func (sy *Syncer) readOperator(now time.Time) {
	drained := map[string]bool{}
	defer func() { sy.updateDrained(drained, now) }()
	for _, row := range sy.topics[gossip.Operator].rows {
		decoded, err := sy.Decoder.Operator(row)
		if err != nil {
			sy.malformed(gossip.Operator, row, err)
			continue
		}
		switch d := decoded.(type) {
		case Config:
			sy.applyConfig(d.Map, row.Version, now)
		case Order:
			if sy.rollouts.order(d.Order, now) {
				sy.Log.Info().Str("service", d.Order.Service).Str("version", d.Order.Version).Dur("within", d.Order.Within).Stringer("row", row.Version).Msg("rollout: order received")
				sy.readProgress(now)
			}
		case DrainedHall:
			drained[d.Hall] = true
		case Other:
		}
	}
}

// applyConfig puts a configuration in force if it is newer.
func (sy *Syncer) applyConfig(m *routemap.Map, row revision.Revision, now time.Time) {
	v := *sy.view.Load()
	if v.Map != nil && m.Number <= v.Map.Number {
		if m.Number < v.Map.Number {
			sy.Log.Error().Uint64("number", m.Number).Uint64("in_force", v.Map.Number).Msg("storesync: older configuration received; ignored")
		}
		return
	}
	v.Map = m
	sy.view.Store(&v)
	sy.Log.Info().Uint64("number", m.Number).Stringer("row", row).Msg("storesync: configuration in force")
	for _, problem := range m.Problems(sy.regionsOf()) {
		sy.Log.Warn().Uint64("number", m.Number).Str("problem", problem).Msg("storesync: part of the configuration is implausible")
	}
	sy.updateColdLimits(now)
}

// readServers rebuilds the list of servers.
func (sy *Syncer) readServers(now time.Time) {
	t := sy.topics[gossip.Servers]
	if !t.known {
		return
	}
	t.takeDirty()
	v := *sy.view.Load()
	first := v.Servers == nil
	var servers []*fleet.Server
	v.Corrupted = map[string]string{}
	for _, row := range t.rows {
		e := sy.decode(row, now)
		if e.err != nil {
			sy.malformed(gossip.Servers, row, e.err)
			v.Corrupted[row.Key] = e.err.Error()
			continue
		}
		servers = append(servers, e.server)
	}
	for _, s := range sy.stillLapsed(v.Servers, now) {
		if _, listed := t.rows[s.ID]; !listed {
			servers = append(servers, s)
		}
	}
	all := len(servers)
	servers = latestAtAddress(servers)
	sy.hasSuperseded = len(servers) < all
	sy.dropStaleEntries()
	sy.recordAddresses(servers)
	sy.replaceStates(servers, now)
	sy.recordVersions(servers, first, now)
	was := v.Servers
	v.Servers = fleet.NewList(servers).WithDrained(sy.drainedHalls())
	sy.relistLimits(servers, now)
	sy.view.Store(&v)
	sy.updateColdLimits(now)
	sy.planEnds(servers, now)
	sy.reportRestarts(was, servers)
}

// serverEntry is a decoded row of a server: the server, or the error if the row is invalid.
type serverEntry struct {
	// sum is the checksum of the row.
	sum    uint64
	server *fleet.Server
	err    error
}

// decode decodes the row of a server once per content: when one row has changed, most of the
// others, of which there may be thousands, have not.
func (sy *Syncer) decode(row gossip.Row, now time.Time) serverEntry {
	e, ok := sy.entries[row.Key]
	if !ok || e.sum != row.Sum() {
		e = sy.decodeServer(row, now)
	} else if e.err == nil {
		// A later start may have been seen in the meantime.
		if err := sy.checkStart(*e.server); err != nil {
			e = serverEntry{sum: row.Sum(), err: err}
		}
	}
	sy.entries[row.Key] = e
	return e
}

func (sy *Syncer) decodeServer(row gossip.Row, now time.Time) serverEntry {
	s, err := sy.Decoder.Server(row)
	if err == nil {
		err = sy.checkStart(s)
	}
	if err != nil {
		return serverEntry{sum: row.Sum(), err: err}
	}
	sy.recordCold(&s, row.Version, now)
	s.Leaving = sy.isLeaving(s, row.Version)
	return serverEntry{sum: row.Sum(), server: sy.withState(s)}
}

// dropStaleEntries drops the entries of rows that no longer exist.
func (sy *Syncer) dropStaleEntries() {
	rows := sy.topics[gossip.Servers].rows
	if len(sy.entries) > len(rows) {
		maps.DeleteFunc(sy.entries, func(key string, _ serverEntry) bool {
			_, exists := rows[key]
			return !exists
		})
	}
}

func (sy *Syncer) withState(s fleet.Server) *fleet.Server {
	i := s.Incarnation()
	if sy.states[i] == nil {
		sy.states[i] = fleet.NewServerState(sy.hall(s.Hall))
		sy.states[i].Notices = sy.noticesOf(i)
		sy.states[i].JoinService(sy.service(s.Service), s.ID, s.Slots)
	}
	s.State = sy.states[i]
	return &s
}

// hall returns the state that all servers of a hall share.
func (sy *Syncer) hall(name string) *fleet.HallState {
	if sy.halls[name] == nil {
		sy.halls[name] = fleet.NewHallState()
	}
	return sy.halls[name]
}

// service returns the state that all servers of a service share.
func (sy *Syncer) service(name string) *fleet.ServiceState {
	if sy.services[name] == nil {
		sy.services[name] = &fleet.ServiceState{Daemon: sy.Self.ID, Daemons: func() int { return sy.view.Load().Daemons }}
	}
	return sy.services[name]
}

// stillLapsed returns the servers whose entries expired while the store was unavailable.
func (sy *Syncer) stillLapsed(was *fleet.List, now time.Time) []*fleet.Server {
	if was == nil {
		return nil
	}
	var out []*fleet.Server
	for _, s := range was.All() {
		if until, ok := sy.lapsed[s.ID]; ok && now.Before(until) {
			out = append(out, s)
		}
	}
	return out
}

func (sy *Syncer) replaceStates(servers []*fleet.Server, now time.Time) {
	kept := make(map[fleet.Incarnation]*fleet.ServerState, len(servers))
	for _, s := range servers {
		kept[s.Incarnation()] = s.State
		s.State.SetWithdrawn(s.Leaving)
	}
	for i, state := range sy.states {
		if kept[i] != state {
			state.SetWithdrawn(true)
		}
	}
	sy.keepNotices(kept, now)
	sy.states = kept
	maps.DeleteFunc(sy.coldUntil, func(i fleet.Incarnation, _ time.Time) bool { return kept[i] == nil })
	maps.DeleteFunc(sy.coldRows, func(i fleet.Incarnation, _ revision.Revision) bool { return kept[i] == nil })
}

// recordVersions records when each version was first listed. The versions of the first list
// count as settled: an order for them is already known.
func (sy *Syncer) recordVersions(servers []*fleet.Server, first bool, now time.Time) {
	seen := maps.Clone(sy.firstSeen)
	for _, s := range servers {
		name := versionName(s.Service, s.Version)
		if _, ok := seen[name]; ok {
			continue
		}
		seen[name] = now
		if first {
			seen[name] = now.Add(-unorderedVersionDelay)
		}
	}
	sy.firstSeen = seen
}

// readProgress reads the states of roll-outs.
func (sy *Syncer) readProgress(now time.Time) {
	for _, row := range sy.topics[gossip.Progress].rows {
		service, p, err := sy.Decoder.Progress(row)
		if err != nil {
			sy.malformed(gossip.Progress, row, err)
			continue
		}
		if sy.rollouts.progress(service, p, row.Version, now) {
			sy.Log.Info().Str("service", service).Str("version", p.Version).Str("state", p.State.String()).Stringer("row", row.Version).Msg("rollout: state received")
		}
	}
}

var errMemberKey = errors.New("the ID in the entry of a daemon differs from the key of its row")
