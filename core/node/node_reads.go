package node

import (
	"time"

	"ladderridge.example/core/replication"
)

// ticksOf is how many ticks lie between a reader's reads of a topic.
func ticksOf(topic replication.Topic) uint64 {
	switch topic {
	case replication.VMs:
		return vmsTicks
	case replication.Quality:
		return qualityTicks
	default:
		return configTicks
	}
}

// maybeRead orders a read from the platform if it is this daemon's turn: the
// daemons that lead the hall's ring read; the others stand in, about two of
// them at a tick, when the hall's knowledge is overdue. So a hall's reads are
// bounded whatever the number of its daemons, also when all start at once.
func (n *Node) maybeRead(topic replication.Topic, now time.Time) {
	r := &n.reads[topic]
	if r.busy && now.Sub(r.since) < readTimeout {
		return
	}
	if now.Before(r.next) || !n.mayRead(topic, now) {
		return
	}
	r.busy, r.since = true, now
	n.orders = append(n.orders, Read{Topic: topic, Have: n.Store.Get(topic).Number})
}

// The patience of a daemon that knows of no list of VMs yet: it asks its seeds
// first, so that a hall that starts at once does not go to the platform as one.
const (
	seedPatience = 3 * time.Second
	patienceSpan = 4 * time.Second
)

// patience is how long after its start a daemon leaves the platform alone while
// it knows of no other daemon. The first of the seeds do not wait: the others
// will ask them.
func (n *Node) patience() time.Duration {
	for _, seed := range n.Seeds[:min(readers, len(n.Seeds))] {
		if seed.ID == n.self.ID {
			return 0
		}
	}
	if len(n.Seeds) == 0 {
		return 0
	}
	return seedPatience + time.Duration(n.Group.Self().Hash()%uint64(patienceSpan))
}

func (n *Node) mayRead(topic replication.Topic, now time.Time) bool {
	if n.Store.Get(replication.VMs).Number == 0 && now.Sub(n.started) < n.patience() {
		return false
	}
	rank := n.Group.Rank()
	if rank >= 0 && rank < readers {
		return (n.turn+uint64(rank))%ticksOf(topic) == 0
	}
	if topic == replication.Quality {
		return false
	}
	overdue := OverdueAfter * time.Duration(ticksOf(topic))
	if now.Sub(n.Store.ConfirmedAt(topic)) < overdue {
		return false
	}
	return n.draw(topic.String())%uint64(max(n.Group.Size(), readers)) < readers
}

// readDone takes the answer of a read.
func (n *Node) readDone(d ReadDone, now time.Time) {
	r := &n.reads[d.Topic]
	r.busy = false
	if d.Failed {
		r.pause = min(max(r.pause*2, readPauseFloor), readPauseCeiling)
		r.next = now.Add(max(d.After, r.pause))
		return
	}
	r.pause = 0
	if d.Data == nil {
		n.Store.Confirm(d.Topic, d.Number, d.At)
		return
	}
	n.accept(replication.NewDocument(d.Topic, d.Number, d.Data), d.At, now)
}
