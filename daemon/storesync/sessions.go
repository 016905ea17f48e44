package storesync

import (
	"sync"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
)

// sessions remembers which sessions were served by an old version a moment ago,
// of those that a roll-out would move at its start. Daemons tell each other, as
// the requests of a session reach any of them. It is safe for concurrent use.
type sessions struct {
	// pause is how long a session rests before it may move.
	pause time.Duration

	mu   sync.Mutex
	last map[uint64]time.Time
	// unsent are those served here, not told to others yet.
	unsent map[uint64]bool
}

// defaultPause is the pause if the settings name none.
const defaultPause = 5 * time.Second

func newSessions() *sessions {
	return &sessions{pause: defaultPause, last: map[uint64]time.Time{}, unsent: map[uint64]bool{}}
}

// record notes a session that an old version serves here.
func (s *sessions) record(hash uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[hash] = now
	s.unsent[hash] = true
}

// recordRemote notes sessions that an old version serves elsewhere.
func (s *sessions) recordRemote(hashes []uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hash := range hashes {
		s.last[hash] = now
	}
}

// active reports whether a session has not paused since an old version served it.
func (s *sessions) active(hash uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.last[hash]
	return ok && now.Sub(last) < s.pause
}

// takeUnsent returns the sessions served here that others have not been told of, and
// forgets those that have paused.
func (s *sessions) takeUnsent(now time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]uint64, 0, len(s.unsent))
	for hash := range s.unsent {
		out = append(out, hash)
	}
	clear(s.unsent)
	for hash, last := range s.last {
		if now.Sub(last) > s.pause {
			delete(s.last, hash)
		}
	}
	return out
}

// sessionsBacklog bounds the sessions that wait to be told on; further ones are
// left out, and may then move a moment early.
const sessionsBacklog = 4096

// sessionsInterval is the time between two messages about sessions to daemons that
// this one reads for, and to other halls.
const sessionsInterval = 500 * time.Millisecond

// RecordSession notes which version serves a session.
func (k *Syncer) RecordSession(service string, hash uint64, version string) {
	if !canary.Eligible(hash) {
		return
	}
	now := time.Now()
	r, ok := k.View().Rollout(service)
	if ok && r.State == canary.Running && version == r.Order.Version && canary.KeepsActiveSessions(now.Sub(r.Since), r.Order.Within) {
		// It has moved. Later on the next order may already be near, for which
		// this version is an old one.
		return
	}
	k.sessions.record(hash, now)
}

// sendSessions tells of sessions: those of this hall to other halls and to the
// daemons that this one reads for, those of other halls to the latter.
func (k *Syncer) sendSessions(now time.Time) {
	if !k.reading.Load() || now.Sub(k.sessionsSentAt) < sessionsInterval {
		return
	}
	k.sessionsSentAt = now
	own := append(k.sessions.takeUnsent(now), k.hallSessions...)
	all := append(own[:len(own):len(own)], k.remoteSessions...)
	k.hallSessions, k.remoteSessions = nil, nil
	if to := k.hallSubscribers(now); len(all) > 0 && len(to) > 0 {
		k.Peers.SendAll(to, gossip.Response{Sessions: all})
	}
	if len(own) == 0 {
		return
	}
	k.broadcast(gossip.Response{Sessions: own})
}

// hallSubscribers are the daemons of this hall that this one reads for. Those of
// other halls that ask here hear of sessions from their own readers; telling
// them too would go round in circles.
func (k *Syncer) hallSubscribers(now time.Time) map[string]string {
	to := k.subscriberAddrs(now)
	for id := range to {
		if (*k.members.Load())[id].Hall != k.Self.Hall {
			delete(to, id)
		}
	}
	return to
}

// handleRequestSessions takes the sessions that a daemon of this hall serves itself, as
// it asks here: they are told on.
func (k *Syncer) handleRequestSessions(hashes []uint64, now time.Time) {
	k.sessions.recordRemote(hashes, now)
	if k.reading.Load() {
		k.hallSessions = appendCapped(k.hallSessions, hashes)
	}
}

// handleSessions takes the sessions that another daemon tells of. Those of other
// halls are told on within this one; what comes from within has been told to
// all by its reader, and telling it on would go round in circles.
func (k *Syncer) handleSessions(from string, hashes []uint64, now time.Time) {
	k.sessions.recordRemote(hashes, now)
	m, ok := (*k.members.Load())[from]
	if ok && m.Hall != k.Self.Hall && k.reading.Load() {
		k.remoteSessions = appendCapped(k.remoteSessions, hashes)
	}
}

// appendCapped appends what fits into the backlog.
func appendCapped(to, hashes []uint64) []uint64 {
	return append(to, hashes[:min(len(hashes), sessionsBacklog-len(to))]...)
}
