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

// malformed logs a row that cannot be decoded, once per content.
func (k *Syncer) malformed(topic gossip.Topic, row gossip.Row, err error) {
	if k.malformedSums[row.Key] == row.Sum() {
		return
	}
	k.malformedSums[row.Key] = row.Sum()
	k.CorruptedRows.Add(1)
	k.Log.Error().Str("topic", string(topic)).Str("key", row.Key).Stringer("version", row.Version).Err(err).Msg("storesync: cannot decode a row; a server is not listed, for other rows the last valid content stays in force")
}

// readOperator reads the configuration, the roll-out orders and the data halls to be drained.
func (k *Syncer) readOperator(now time.Time) {
	emptied := map[string]bool{}
	defer func() { k.updateDrained(emptied, now) }()
	for _, row := range k.topics[gossip.Operator].rows {
		decoded, err := k.Decoder.Operator(row)
		if err != nil {
			k.malformed(gossip.Operator, row, err)
			continue
		}
		switch d := decoded.(type) {
		case Config:
			k.applyConfig(d.Map, row.Version, now)
		case Order:
			if k.rollouts.order(d.Order, now) {
				k.Log.Info().Str("service", d.Order.Service).Str("version", d.Order.Version).Dur("within", d.Order.Within).Stringer("row", row.Version).Msg("rollout: order received")
				k.readProgress(now)
			}
		case DrainedHall:
			emptied[d.Hall] = true
		case Other:
		}
	}
}

// applyConfig puts a configuration in force if it is newer.
func (k *Syncer) applyConfig(m *routemap.Map, row revision.Revision, now time.Time) {
	v := *k.view.Load()
	if v.Map != nil && m.Number <= v.Map.Number {
		if m.Number < v.Map.Number {
			k.Log.Error().Uint64("number", m.Number).Uint64("in_force", v.Map.Number).Msg("storesync: older configuration received; ignored")
		}
		return
	}
	v.Map = m
	k.view.Store(&v)
	k.Log.Info().Uint64("number", m.Number).Stringer("row", row).Msg("storesync: configuration in force")
	for _, problem := range m.Problems(k.regionsOf()) {
		k.Log.Warn().Uint64("number", m.Number).Str("problem", problem).Msg("storesync: part of the configuration is implausible")
	}
	k.updateColdLimits(now)
}

// readServers rebuilds the list of servers.
func (k *Syncer) readServers(now time.Time) {
	t := k.topics[gossip.Servers]
	if !t.known {
		return
	}
	t.takeDirty()
	v := *k.view.Load()
	first := v.Servers == nil
	var servers []*fleet.Server
	v.Corrupted = map[string]string{}
	for _, row := range t.rows {
		e := k.decode(row, now)
		if e.err != nil {
			k.malformed(gossip.Servers, row, e.err)
			v.Corrupted[row.Key] = e.err.Error()
			continue
		}
		servers = append(servers, e.server)
	}
	for _, s := range k.stillLapsed(v.Servers, now) {
		if _, listed := t.rows[s.ID]; !listed {
			servers = append(servers, s)
		}
	}
	all := len(servers)
	servers = latestAtAddress(servers)
	k.hasSuperseded = len(servers) < all
	k.dropStaleEntries()
	k.recordAddresses(servers)
	k.replaceLoads(servers, now)
	k.recordVersions(servers, first, now)
	was := v.Servers
	v.Servers = fleet.NewList(servers).WithDrained(k.drainedHalls())
	k.relistLimits(servers, now)
	k.view.Store(&v)
	k.updateColdLimits(now)
	k.reportRestarts(was, servers)
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
func (k *Syncer) decode(row gossip.Row, now time.Time) serverEntry {
	e, ok := k.entries[row.Key]
	if !ok || e.sum != row.Sum() {
		e = k.decodeServer(row, now)
	} else if e.err == nil {
		// A later start may have been seen in the meantime.
		if err := k.checkStart(*e.server); err != nil {
			e = serverEntry{sum: row.Sum(), err: err}
		}
	}
	k.entries[row.Key] = e
	return e
}

func (k *Syncer) decodeServer(row gossip.Row, now time.Time) serverEntry {
	s, err := k.Decoder.Server(row)
	if err == nil {
		err = k.checkStart(s)
	}
	if err != nil {
		return serverEntry{sum: row.Sum(), err: err}
	}
	k.recordCold(&s, row.Version, now)
	s.Leaving = k.isLeaving(s, row.Version)
	return serverEntry{sum: row.Sum(), server: k.withLoad(s)}
}

// dropStaleEntries drops the entries of rows that no longer exist.
func (k *Syncer) dropStaleEntries() {
	rows := k.topics[gossip.Servers].rows
	if len(k.entries) > len(rows) {
		maps.DeleteFunc(k.entries, func(key string, _ serverEntry) bool {
			_, there := rows[key]
			return !there
		})
	}
}

func (k *Syncer) withLoad(s fleet.Server) *fleet.Server {
	i := s.Incarnation()
	if k.loads[i] == nil {
		k.loads[i] = fleet.NewServerState(k.hall(s.Hall))
		k.loads[i].Notices = k.noticesOf(i)
	}
	s.State = k.loads[i]
	return &s
}

// hall returns the state that all servers of a hall share.
func (k *Syncer) hall(name string) *fleet.HallState {
	if k.halls[name] == nil {
		k.halls[name] = fleet.NewHallState()
	}
	return k.halls[name]
}

// stillLapsed returns the servers whose entries expired while the store was unavailable.
func (k *Syncer) stillLapsed(was *fleet.List, now time.Time) []*fleet.Server {
	if was == nil {
		return nil
	}
	var out []*fleet.Server
	for _, s := range was.All() {
		if until, ok := k.lapsed[s.ID]; ok && now.Before(until) {
			out = append(out, s)
		}
	}
	return out
}

func (k *Syncer) replaceLoads(servers []*fleet.Server, now time.Time) {
	kept := make(map[fleet.Incarnation]*fleet.ServerState, len(servers))
	for _, s := range servers {
		kept[s.Incarnation()] = s.State
	}
	k.keepNotices(kept, now)
	k.loads = kept
	maps.DeleteFunc(k.coldUntil, func(i fleet.Incarnation, _ time.Time) bool { return kept[i] == nil })
	maps.DeleteFunc(k.coldRows, func(i fleet.Incarnation, _ revision.Revision) bool { return kept[i] == nil })
}

// recordVersions records when each version was first listed. The versions of the first list
// count as settled: an order for them is already known.
func (k *Syncer) recordVersions(servers []*fleet.Server, first bool, now time.Time) {
	seen := maps.Clone(k.firstSeen)
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
	k.firstSeen = seen
}

// readProgress reads the states of roll-outs.
func (k *Syncer) readProgress(now time.Time) {
	for _, row := range k.topics[gossip.Progress].rows {
		service, p, err := k.Decoder.Progress(row)
		if err != nil {
			k.malformed(gossip.Progress, row, err)
			continue
		}
		if k.rollouts.progress(service, p, row.Version, now) {
			k.Log.Info().Str("service", service).Str("version", p.Version).Str("state", p.State.String()).Stringer("row", row.Version).Msg("rollout: state received")
		}
	}
}

var errMemberKey = errors.New("the ID in the entry of a daemon differs from the key of its row")
