package storesync

import (
	"sync"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
)

// sessions records which sessions were recently served by an old version, among those that a
// roll-out would move at its start. Daemons exchange them, as the requests of a session reach
// any daemon. It is safe for concurrent use.
type sessions struct {
	// pause is how long a session must be idle before it may move.
	pause time.Duration

	mu   sync.Mutex
	last map[uint64]time.Time
	// unsent are the sessions served by this daemon that were not sent to others yet.
	unsent map[uint64]bool
}

// defaultPause is the pause if the settings do not set it.
const defaultPause = 5 * time.Second

func newSessions() *sessions {
	return &sessions{pause: defaultPause, last: map[uint64]time.Time{}, unsent: map[uint64]bool{}}
}

// record records a session that an old version serves on this daemon.
func (s *sessions) record(hash uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[hash] = now
	s.unsent[hash] = true
}

// recordRemote records sessions that an old version serves on other daemons.
func (s *sessions) recordRemote(hashes []uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, hash := range hashes {
		s.last[hash] = now
	}
}

// active reports whether an old version has served a session within the pause.
func (s *sessions) active(hash uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.last[hash]
	return ok && now.Sub(last) < s.pause
}

// takeUnsent returns the sessions served by this daemon that were not sent to others yet, and
// drops idle sessions.
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

// sessionsBacklog bounds the sessions that wait to be passed on. Further ones are dropped, and
// may then move slightly too early.
const sessionsBacklog = 4096

// sessionsInterval is the time between two messages about sessions to the subscribers and to
// other halls.
const sessionsInterval = 500 * time.Millisecond

// RecordSession records which version serves a session.
func (sy *Syncer) RecordSession(service string, hash uint64, version string) {
	if !canary.Eligible(hash) {
		return
	}
	now := time.Now()
	r, ok := sy.View().Rollout(service)
	if ok && r.State == canary.Running && version == r.Order.Version && canary.KeepsActiveSessions(now.Sub(r.Since), r.Order.Within) {
		// The session has moved to the new version. Later in the roll-out the next order may be
		// near, for which this version is an old one.
		return
	}
	sy.sessions.record(hash, now)
}

// sendSessions sends sessions: those of this hall to other halls and to the subscribers, those
// of other halls to the subscribers only.
func (sy *Syncer) sendSessions(now time.Time) {
	if !sy.reading.Load() || now.Sub(sy.sessionsSentAt) < sessionsInterval {
		return
	}
	sy.sessionsSentAt = now
	own := append(sy.sessions.takeUnsent(now), sy.hallSessions...)
	all := append(own[:len(own):len(own)], sy.remoteSessions...)
	sy.hallSessions, sy.remoteSessions = nil, nil
	if to := sy.hallSubscribers(now); len(all) > 0 && len(to) > 0 {
		sy.Peers.SendAll(to, gossip.Response{Sessions: all})
	}
	if len(own) == 0 {
		return
	}
	sy.broadcast(gossip.Response{Sessions: own})
}

// hallSubscribers returns the subscribers in this hall. Subscribers in other halls learn of
// sessions from their own readers. Sending to them too would form a loop.
func (sy *Syncer) hallSubscribers(now time.Time) map[string]string {
	to := sy.subscriberAddrs(now)
	for id := range to {
		if (*sy.members.Load())[id].Hall != sy.Self.Hall {
			delete(to, id)
		}
	}
	return to
}

// handleRequestSessions records the sessions in a request of a daemon of this hall, to pass
// them on.
func (sy *Syncer) handleRequestSessions(hashes []uint64, now time.Time) {
	sy.sessions.recordRemote(hashes, now)
	if sy.reading.Load() {
		sy.hallSessions = appendCapped(sy.hallSessions, hashes)
	}
}

// handleSessions records the sessions that another daemon sends. Those of other halls are
// passed on within this one. Those of this hall have been sent to all by their reader, and
// passing them on would form a loop.
func (sy *Syncer) handleSessions(from string, hashes []uint64, now time.Time) {
	sy.sessions.recordRemote(hashes, now)
	m, ok := (*sy.members.Load())[from]
	if ok && m.Hall != sy.Self.Hall && sy.reading.Load() {
		sy.remoteSessions = appendCapped(sy.remoteSessions, hashes)
	}
}

// appendCapped appends as many hashes as fit into the backlog.
func appendCapped(to, hashes []uint64) []uint64 {
	return append(to, hashes[:min(len(hashes), sessionsBacklog-len(to))]...)
}
