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

// addBill holds a bill here and with the buddy.
func (n *Node) addBill(b bill.Bill, now time.Time) {
	n.Ledger.Add(b, now)
	if buddy, ok := n.buddy(); ok {
		n.holder[b.Key] = buddy
		n.send(buddy, Copies{Bills: []bill.Bill{b}})
	}
	n.flush(now)
}

// recopiesPerTick bounds how many bills find a new holder at one tick.
const recopiesPerTick = bill.MaxBatch

// recopy finds a new holder for bills whose holder is gone.
func (n *Node) recopy() {
	buddy, ok := n.buddy()
	if !ok {
		return
	}
	var again []bill.Bill
	for _, b := range n.Ledger.Bills() {
		if !n.Group.Usable(n.holder[b.Key]) {
			n.holder[b.Key] = buddy
			again = append(again, b)
		}
		if len(again) == recopiesPerTick {
			break
		}
	}
	if len(again) > 0 {
		n.send(buddy, Copies{Bills: again})
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
		if holder := n.holder[key]; holder != "" {
			release[holder] = append(release[holder], key)
		}
		delete(n.holder, key)
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
		n.holder[b.Key] = n.self.ID
	}
}
