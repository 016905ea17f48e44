package storesync

import (
	"context"
	"maps"
	"slices"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// A store that returns from a copy has lost what was written in the seconds before. What the
// operator and the servers wrote is written again, at once or a moment later; what daemons wrote
// is theirs to write again. Until then a daemon goes by what it knew, which is newer.

// rewriteTimeout is how long a row that the store has lost is held, if nobody writes it again.
const rewriteTimeout = 5 * time.Second

// recordOldContent remembers what a row is that is about to change or to go.
func (t *topicState) recordOldContent(key string, now time.Time) {
	was, ok := t.rows[key]
	if !ok {
		return
	}
	kept := slices.DeleteFunc(t.oldContents[key], func(c content) bool { return now.Sub(c.at) > maxCopyAge })
	if len(kept) >= maxOldContents {
		kept = slices.Delete(kept, 0, 1)
	}
	t.oldContents[key] = append(kept, content{number: was.Version.Number, sum: was.Sum(), at: now})
}

// dropOldContents forgets what rows were that no copy can have.
func (t *topicState) dropOldContents(now time.Time) {
	maps.DeleteFunc(t.oldContents, func(_ string, was []content) bool {
		return !slices.ContainsFunc(was, func(c content) bool { return now.Sub(c.at) <= maxCopyAge })
	})
}

// isOldContent reports whether a row was known as it is, and has changed or gone since.
func (t *topicState) isOldContent(row gossip.Row) bool {
	sum := row.Sum()
	return slices.ContainsFunc(t.oldContents[row.Key], func(c content) bool { return c.number == row.Version.Number && c.sum == sum })
}

// reconcile returns all rows as they are known once the store, which may have returned from a
// copy, has some: a row that is in the copy as it was before is held as it is known, with the
// version that the store has, and so is one that the copy lacks.
func (t *topicState) reconcile(rows []gossip.Row, version revision.Revision, now time.Time) []gossip.Row {
	returns := t.known && version.Era > t.version.Era
	if t.restoredAt.IsZero() || now.Sub(t.restoredAt) > maxCopyAge && len(t.held) == 0 {
		return rows
	}
	out := make([]gossip.Row, 0, len(rows))
	there := make(map[string]bool, len(rows))
	for _, row := range rows {
		there[row.Key] = true
		was, known := t.rows[row.Key]
		switch {
		case known && was.Sum() == row.Sum() || !t.isOldContent(row):
			delete(t.held, row.Key)
		case known:
			row.Data = was.Data
			t.hold(row.Key, now)
		default:
			// It is gone.
			continue
		}
		out = append(out, row)
	}
	for key, was := range t.rows {
		if _, held := t.held[key]; !there[key] && (returns || held) {
			was.Version = revision.New(version.Era, 0)
			t.hold(key, now)
			out = append(out, was)
		}
	}
	return out
}

// noteHeldByPeer notes that another daemon holds rows that the store has lost.
func (t *topicState) noteHeldByPeer(known gossip.Update, now time.Time) {
	if known.LostRows > 0 {
		t.restoredAt = now
	}
}

// mergeHeld takes what another daemon of the same era holds that the store has lost, if this one has
// read it from the copy. What the store has taken since the other one read it stands.
func (t *topicState) mergeHeld(known gossip.Update, now time.Time) (gone []string, newer bool) {
	if known.Version.Era != t.version.Era || known.LostRows <= uint64(len(t.held)) || !known.Complete && known.Base != t.sum {
		return nil, false
	}
	t.restoredAt = now
	var lost []gossip.Row
	for _, row := range known.Rows {
		was, has := t.rows[row.Key]
		if has && was.Sum() != row.Sum() && !was.Version.After(known.Version) || !has && row.Version.Number == 0 {
			lost = append(lost, row)
		}
	}
	removed := slices.DeleteFunc(t.keysMissingAt(known), func(key string) bool { return t.rows[key].Version.After(known.Version) })
	gone = t.set(lost, removed, now)
	for _, row := range lost {
		t.hold(row.Key, now)
	}
	return gone, len(lost)+len(removed) > 0
}

// keysMissingAt are the keys of rows that another daemon does not have.
func (t *topicState) keysMissingAt(known gossip.Update) []string {
	if !known.Complete {
		return slices.DeleteFunc(slices.Clone(known.Removed), func(key string) bool { _, has := t.rows[key]; return !has })
	}
	there := make(map[string]bool, len(known.Rows))
	for _, row := range known.Rows {
		there[row.Key] = true
	}
	var out []string
	for key := range t.rows {
		if !there[key] {
			out = append(out, key)
		}
	}
	return out
}

func (t *topicState) hold(key string, now time.Time) {
	if _, held := t.held[key]; !held {
		t.held[key] = now
	}
}

// expiredHeld are the keys of rows that the store lacks and nobody has written again in time.
func (t *topicState) expiredHeld(now time.Time) []string {
	var out []string
	for key, since := range t.held {
		if t.rows[key].Version.Number == 0 && now.Sub(since) > rewriteTimeout {
			out = append(out, key)
		}
	}
	return out
}

// checkEra notes that the store has returned from a copy, if a topic's new version shows it.
func (k *Syncer) checkEra(topic gossip.Topic, version revision.Revision, now time.Time) {
	t := k.topics[topic]
	if !t.known || version.Era <= t.version.Era {
		return
	}
	t.restoredAt = now
	k.Log.Warn().Str("topic", string(topic)).Stringer("version", version).Stringer("was", t.version).Msg("knowledge: the store has returned from a copy: what it has lost is held until it is written again")
	k.Restores.Add(1)
	if topic == gossip.Members && now.Sub(k.startedAt) < maxCopyAge {
		// The copy may be older than this daemon's entry.
		select {
		case k.republish <- struct{}{}:
		default:
		}
	}
}

// handleRestore does what is due while the store lacks what it had.
func (k *Syncer) handleRestore(ctx context.Context, now time.Time) {
	for topic, t := range k.topics {
		t.dropOldContents(now)
		if topic == gossip.Progress {
			continue
		}
		if keys := t.expiredHeld(now); len(keys) > 0 {
			k.Log.Warn().Str("topic", string(topic)).Strs("keys", keys).Msg("knowledge: rows that the store has lost were not written again: they are gone")
			k.applyTopicChange(topic, t.set(nil, keys, now), true, now)
		}
	}
	progress := k.topics[gossip.Progress]
	behind := progress.known && progress.version.Era < k.topics[gossip.Operator].version.Era
	k.progressLost.Store(behind || len(progress.held) > 0)
	k.restoreProgress(ctx, now)
}

// restoreProgress has the states of roll-outs written again that the store has lost.
func (k *Syncer) restoreProgress(ctx context.Context, now time.Time) {
	t := k.topics[gossip.Progress]
	if !k.reading.Load() {
		return
	}
	for key, since := range t.held {
		service, p, err := k.Decoder.Progress(t.rows[key])
		if err != nil {
			k.malformed(gossip.Progress, t.rows[key], err)
			delete(t.held, key)
			continue
		}
		r, ordered := k.rollouts.byService[service]
		if !ordered || !r.Order.Matches(p) {
			// A later order has replaced it.
			delete(t.held, key)
			continue
		}
		if p.State != canary.Running || r.State == canary.Running {
			k.writeInTurn(ctx, service, p, "lost by the store", since, now)
		}
	}
}

// isLeaving reports whether a server leaves by an entry of it. What it has said holds in a
// later era, too, in which an entry may be older than that.
func (k *Syncer) isLeaving(s fleet.Server, row revision.Revision) bool {
	i := s.Incarnation()
	era, left := k.leaving[i]
	switch {
	case s.Leaving:
		k.leaving[i] = row.Era
	case left && row.Era <= era:
		delete(k.leaving, i)
	case left:
		return true
	}
	if len(k.leaving) > maxUnlisted {
		maps.DeleteFunc(k.leaving, func(i fleet.Incarnation, _ uint64) bool { return k.loads[i] == nil })
	}
	return s.Leaving
}
