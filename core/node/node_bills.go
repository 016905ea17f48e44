package node

import (
	"slices"
	"time"

	"ladderridge.example/core/bill"
)

// buddy is the daemon that holds copies of this one's bills: one of another
// data hall if there is one, so that a hall's loss does not take both.
func (n *Node) buddy() (string, bool) {
	halls := n.Group.Halls()
	at := slices.Index(halls, n.self.Hall)
	if len(halls) > 1 {
		other := halls[(at+1)%len(halls)]
		if id, ok := n.Group.Pick(other, n.place()); ok && other != n.self.Hall {
			return id, true
		}
	}
	if fingers := n.Group.Fingers(); len(fingers) > 0 {
		return fingers[0], true
	}
	id, ok := n.Group.Pick(n.self.Hall, n.place())
	return id, ok && id != n.self.ID
}

// place is where this daemon stands on its ring: neighbours get different
// holders. A daemon that leaves tries them in turn.
func (n *Node) place() uint64 {
	if rank := n.Group.Rank(); rank >= 0 {
		return uint64(rank)
	}
	return n.turn
}

// holder is the daemon that was sent a bill's copy.
type holder struct {
	id   string
	sent time.Time
	// has tells that it said so.
	has bool
}

// addBill holds a bill here and with the buddy.
func (n *Node) addBill(b bill.Bill, now time.Time) {
	n.Ledger.Add(b, now)
	if buddy, ok := n.buddy(); ok {
		n.holders[b.Key] = holder{id: buddy, sent: now}
		n.send(buddy, Copies{Bills: []bill.Bill{b}})
	} else {
		n.orders = append(n.orders, BillAlone{Key: b.Key})
	}
	n.flush(now)
}

// billAgain sends a bill's copy to a second daemon, since the first one does
// not answer: it may be gone or paused without anybody knowing yet.
func (n *Node) billAgain(key string, now time.Time) {
	b, held := n.Ledger.Get(key)
	first := n.holders[key].id
	if !held {
		return
	}
	for _, id := range n.Group.Fingers() {
		if id != first {
			n.holders[key] = holder{id: id, sent: now}
			n.send(id, Copies{Bills: []bill.Bill{b}})
			return
		}
	}
}

// recopiesPerTick bounds how many bills find a new holder at one tick.
const recopiesPerTick = bill.MaxBatch

// recopyAfter is how long the answer to a copy may take.
const recopyAfter = time.Second

// recopy sends copies again that were lost or whose holder is gone.
func (n *Node) recopy(now time.Time) {
	buddy, ok := n.buddy()
	if !ok {
		return
	}
	var again []bill.Bill
	n.Ledger.Each(func(b bill.Bill) bool {
		h := n.holders[b.Key]
		held := n.Group.Usable(h.id) && (h.has || now.Sub(h.sent) < recopyAfter)
		if !held && h.id != n.self.ID {
			n.holders[b.Key] = holder{id: buddy, sent: now}
			again = append(again, b)
		}
		return len(again) < recopiesPerTick
	})
	if len(again) > 0 {
		n.send(buddy, Copies{Bills: again})
	}
}

// copiesHeld notes that another daemon has bills of this one. One that stops
// is rid of them then.
func (n *Node) copiesHeld(from string, keys []string) {
	if n.stopped {
		n.Ledger.Drop(keys)
	}
	for _, key := range keys {
		if h := n.holders[key]; h.id == from {
			h.has = true
			n.holders[key] = h
		}
		n.orders = append(n.orders, BillSafe{Key: key})
	}
}

// flush orders the next batch to be written if one is due.
func (n *Node) flush(now time.Time) {
	if batch := n.Ledger.Batch(now, n.stopped); len(batch) > 0 {
		n.orders = append(n.orders, WriteBills{Bills: batch})
	}
}

// billsWritten settles a batch and tells the holders of its copies.
func (n *Node) billsWritten(found []string, now time.Time) {
	release := map[string][]string{}
	for _, key := range n.Ledger.Done(found, now) {
		n.orders = append(n.orders, BillSafe{Key: key})
		if h := n.holders[key]; h.id != "" {
			release[h.id] = append(release[h.id], key)
		}
		delete(n.holders, key)
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

// copiesFrom holds, or takes over, another daemon's bills.
func (n *Node) copiesFrom(from string, m Copies, now time.Time) {
	if m.Adopt {
		for _, b := range m.Bills {
			n.Ledger.Add(b, now)
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

// adopt takes over the bills of daemons that are gone, and, without a copy of
// their own, those that their origin should have had written by now.
func (n *Node) adopt(now time.Time) {
	adopted := n.Copies.Adopt(n.Group.Usable, now)
	for _, b := range adopted.Orphans {
		n.addBill(b, now)
	}
	for _, b := range adopted.Overdue {
		n.Ledger.Add(b, now)
		n.holders[b.Key] = holder{id: n.self.ID}
	}
}
