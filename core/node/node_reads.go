package node

import (
	"time"

	"ladderridge.example/core/replication"
)

// readIntervalTicks returns the number of ticks between the reads of a topic by one reader.
func readIntervalTicks(topic replication.Topic) uint64 {
	switch topic {
	case replication.VMs:
		return vmsTicks
	case replication.Quality:
		return qualityTicks
	default:
		return configTicks
	}
}

// maybeRead requests a read from the platform if it is this daemon's turn. The first daemons on the
// ring of the hall read regularly. The others step in, about two per tick, when the documents of the
// hall are overdue. This bounds the reads of a hall independently of the number of its daemons, also
// when all of them start at once.
func (n *Node) maybeRead(topic replication.Topic, now time.Time) {
	r := &n.reads[topic]
	if r.busy && now.Sub(r.since) < readTimeout {
		return
	}
	if now.Before(r.notBefore) || !n.shouldRead(topic, now) {
		return
	}
	r.busy, r.since = true, now
	n.actions = append(n.actions, Read{Topic: topic, HeldNumber: n.Store.Get(topic).Number})
}

// Delay of the first read of a daemon that has no VM list yet. It contacts its seeds first, so that
// the daemons of a hall that start together do not all read from the platform.
const (
	minStartupDelay    = 3 * time.Second
	startupDelaySpread = 4 * time.Second
)

// startupDelay returns how long after its start a daemon without a VM list does not read from the
// platform. The first seeds do not wait, since the other daemons contact them.
func (n *Node) startupDelay() time.Duration {
	for _, seed := range n.Seeds[:min(readersPerHall, len(n.Seeds))] {
		if seed.ID == n.self.ID {
			return 0
		}
	}
	if len(n.Seeds) == 0 {
		return 0
	}
	return minStartupDelay + time.Duration(n.Group.Self().Hash()%uint64(startupDelaySpread))
}

func (n *Node) shouldRead(topic replication.Topic, now time.Time) bool {
	if n.Store.Get(replication.VMs).Number == 0 && now.Sub(n.startedAt) < n.startupDelay() {
		return false
	}
	rank := n.Group.Rank()
	if rank >= 0 && rank < readersPerHall {
		return (n.turn+uint64(rank))%readIntervalTicks(topic) == 0
	}
	if topic == replication.Quality {
		return false
	}
	overdue := OverdueAge * time.Duration(readIntervalTicks(topic))
	if now.Sub(n.Store.ConfirmedAt(topic)) < overdue {
		return false
	}
	return n.turnHash(topic.String())%uint64(max(n.Group.Size(), readersPerHall)) < readersPerHall
}

// handleReadDone handles the result of a read.
func (n *Node) handleReadDone(d ReadDone, now time.Time) {
	r := &n.reads[d.Topic]
	r.busy = false
	if d.Failed {
		r.backoff = min(max(r.backoff*2, minReadBackoff), maxReadBackoff)
		r.notBefore = now.Add(max(d.RetryAfter, r.backoff))
		return
	}
	r.backoff = 0
	if d.Data == nil {
		n.Store.Confirm(d.Topic, d.Number, d.SentAt)
		return
	}
	n.accept(replication.NewDocument(d.Topic, d.Number, d.Data), d.SentAt, now)
}
