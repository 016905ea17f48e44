package node

import (
	"slices"
	"time"

	"ladderridge.example/core/bill"
)

// copyHolder returns the daemon that holds copies of this daemon's bills. It is in another data hall if
// possible, so that the loss of one hall does not destroy both.
func (n *Node) copyHolder() (string, bool) {
	halls := n.Group.Halls()
	at := slices.Index(halls, n.self.Hall)
	if len(halls) > 1 {
		other := halls[(at+1)%len(halls)]
		if id, ok := n.Group.Pick(other, n.ringPosition()); ok && other != n.self.Hall {
			return id, true
		}
	}
	if fingers := n.Group.Fingers(); len(fingers) > 0 {
		return fingers[0], true
	}
	id, ok := n.Group.Pick(n.self.Hall, n.ringPosition())
	return id, ok && id != n.self.ID
}

// ringPosition returns the position of this daemon on its ring, so that neighbours get different holders. A
// daemon that has left the ring tries the holders in turn.
func (n *Node) ringPosition() uint64 {
	if rank := n.Group.Rank(); rank >= 0 {
		return uint64(rank)
	}
	return n.turn
}

// holder is the daemon that was sent the copy of a bill.
type holder struct {
	id   string
	sent time.Time
	// acknowledged is set once the daemon has acknowledged the copy.
	acknowledged bool
}

// addBill stores a bill and sends a copy to another daemon.
func (n *Node) addBill(b bill.Bill, now time.Time) {
	n.Pending.Add(b, now)
	if holderID, ok := n.copyHolder(); ok {
		n.copyHolders[b.Key] = holder{id: holderID, sent: now}
		n.send(holderID, Copies{Bills: []bill.Bill{b}})
	} else {
		n.actions = append(n.actions, BillNotReplicated{Key: b.Key})
	}
	n.flush(now)
}

// resendCopy sends the copy of a bill to a second daemon. The first one has not answered and may have
// failed or be paused without having been detected yet.
func (n *Node) resendCopy(key string, now time.Time) {
	b, held := n.Pending.Get(key)
	previous := n.copyHolders[key].id
	if !held {
		return
	}
	for _, id := range n.Group.Fingers() {
		if id != previous {
			n.copyHolders[key] = holder{id: id, sent: now}
			n.send(id, Copies{Bills: []bill.Bill{b}})
			return
		}
	}
}

// maxResendsPerTick is the maximum number of copies sent again in one tick.
const maxResendsPerTick = bill.MaxBatch

// copyAckTimeout is how long the acknowledgement of a copy may take.
const copyAckTimeout = time.Second

// resendCopies sends copies again whose message was lost or whose holder has failed.
func (n *Node) resendCopies(now time.Time) {
	holderID, ok := n.copyHolder()
	if !ok {
		return
	}
	var resend []bill.Bill
	n.Pending.Each(func(b bill.Bill) bool {
		h := n.copyHolders[b.Key]
		held := n.Group.Usable(h.id) && (h.acknowledged || now.Sub(h.sent) < copyAckTimeout)
		if !held && h.id != n.self.ID {
			n.copyHolders[b.Key] = holder{id: holderID, sent: now}
			resend = append(resend, b)
		}
		return len(resend) < maxResendsPerTick
	})
	if len(resend) > 0 {
		n.send(holderID, Copies{Bills: resend})
	}
}

// handleCopiesHeld handles the acknowledgement of copies. After the start of the shutdown it means that the
// other daemon has taken the bills over.
func (n *Node) handleCopiesHeld(from string, keys []string) {
	if n.stopped {
		n.Pending.Drop(keys)
	}
	for _, key := range keys {
		if h := n.copyHolders[key]; h.id == from {
			h.acknowledged = true
			n.copyHolders[key] = h
		}
		n.actions = append(n.actions, BillDurable{Key: key})
	}
}

// flush requests a write of the next batch of bills if one is due.
func (n *Node) flush(now time.Time) {
	if batch := n.Pending.Batch(now, n.stopped); len(batch) > 0 {
		n.actions = append(n.actions, WriteBills{Bills: batch})
	}
}

// handleBillsWritten removes the bills of a batch and notifies the holders of their copies.
func (n *Node) handleBillsWritten(found []string, now time.Time) {
	release := map[string][]string{}
	for _, key := range n.Pending.Settle(found, now) {
		n.actions = append(n.actions, BillDurable{Key: key})
		if h := n.copyHolders[key]; h.id != "" {
			release[h.id] = append(release[h.id], key)
		}
		delete(n.copyHolders, key)
	}
	holders := make([]string, 0, len(release))
	for id := range release {
		holders = append(holders, id)
	}
	slices.Sort(holders)
	for _, id := range holders {
		n.send(id, Release{Keys: release[id]})
	}
	n.flush(now)
}

// handleCopies stores, or takes over, the bills of another daemon.
func (n *Node) handleCopies(from string, m Copies, now time.Time) {
	if m.Adopt {
		for _, b := range m.Bills {
			n.Pending.Add(b, now)
		}
	} else if !n.Copies.Hold(from, m.Bills, now) {
		return
	}
	keys := make([]string, 0, len(m.Bills))
	for _, b := range m.Bills {
		keys = append(keys, b.Key)
	}
	n.send(from, CopiesHeld{Keys: keys})
	n.flush(now)
}

// adopt takes over the bills of daemons that have failed. It also takes over the bills that a live
// daemon should have written by now; no copies are made of those.
func (n *Node) adopt(now time.Time) {
	adopted := n.Copies.Adopt(n.Group.Usable, now)
	for _, b := range adopted.Orphans {
		n.addBill(b, now)
	}
	for _, b := range adopted.Overdue {
		n.Pending.Add(b, now)
		n.copyHolders[b.Key] = holder{id: n.self.ID}
	}
}
