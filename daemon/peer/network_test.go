package peer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/member"
	"ladderridge.example/core/node"
	"ladderridge.example/core/replication"
	"ladderridge.example/daemon/peer"
)

// delivery is an event or a message that is due at a node at a given time.
type delivery struct {
	at          time.Time
	sequence    int
	to          string
	incarnation int
	event       node.Event
	data        []byte
	from        string
}

// deliveries is a heap ordered by time.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || (d[i].at.Equal(d[j].at) && d[i].sequence < d[j].sequence)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// fakePlatform is the part of the platform that nodes use.
type fakePlatform struct {
	generation uint64
	list       []member.Listed
	listNumber uint64
	bills      map[string]int
	down       bool
	cutHalls   map[string]bool
	loseNext   int
	reads      int
	writes     int
	// rate limits the reads per second; 0 is unlimited. limited counts the
	// reads above the rate.
	rate          int
	second        int64
	readsInSecond int
	limited       int
}

// overRate counts a read and reports whether it exceeds the rate.
func (p *fakePlatform) overRate(now time.Time) bool {
	if now.Unix() != p.second {
		p.second, p.readsInSecond = now.Unix(), 0
	}
	p.readsInSecond++
	if p.rate == 0 || p.readsInSecond <= p.rate {
		return false
	}
	p.limited++
	return true
}

// network connects nodes in simulated time over in-memory links that delay and
// lose messages and can be partitioned. Every message passes through the real
// codec.
type network struct {
	now         time.Time
	rng         *rand.Rand
	queue       deliveries
	sequence    int
	nodes       map[string]*node.Node
	ids         []string
	incarnation map[string]int
	frozen      map[string]bool
	inbox       map[string][]delivery
	loss        float64
	partitioned map[[2]string]bool
	platform    fakePlatform
	own         func(id string) aggregation.Sums
	durable     map[string]bool
	messages    int
	bytes       int
	byDaemon    map[string]int
	halls       int
}

func newNetwork(seed uint64) *network {
	return &network{
		now: time.UnixMilli(1_800_000_000_000), rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node.Node{},
		incarnation: map[string]int{}, frozen: map[string]bool{}, inbox: map[string][]delivery{}, partitioned: map[[2]string]bool{},
		platform: fakePlatform{bills: map[string]int{}, cutHalls: map[string]bool{}}, durable: map[string]bool{}, byDaemon: map[string]int{},
		own: func(string) aggregation.Sums { return aggregation.Sums{} },
	}
}

func hallOf(i, halls int) string { return fmt.Sprintf("hall-%d", i%halls) }

// startAll registers and starts n daemons, distributed over a number of halls.
func (l *network) startAll(n, halls int) {
	l.halls = halls
	for i := range n {
		id := fmt.Sprintf("entry-%03d", i)
		l.platform.list = append(l.platform.list, member.Listed{ID: id, Hall: hallOf(i, halls), Addr: id})
	}
	l.platform.listNumber++
	for _, m := range l.platform.list {
		l.start(m.ID)
	}
}

func (l *network) listed(id string) member.Listed {
	i := slices.IndexFunc(l.platform.list, func(m member.Listed) bool { return m.ID == id })
	return l.platform.list[i]
}

// start starts a daemon without any stored state.
func (l *network) start(id string) {
	l.incarnation[id]++
	if !slices.Contains(l.ids, id) {
		l.ids = append(l.ids, id)
	}
	n := node.New(l.listed(id), uint64(l.now.UnixMilli()), l.now)
	// The settings have two seeds, for starts while the platform is down.
	n.Seeds = append(n.Seeds, l.platform.list[:min(2, len(l.platform.list))]...)
	l.nodes[id] = n
	l.schedule(time.Duration(l.rng.Int64N(int64(node.TickInterval))), delivery{to: id, event: node.Tick{}})
}

func (l *network) kill(id string) {
	delete(l.nodes, id)
	delete(l.frozen, id)
	delete(l.inbox, id)
	l.incarnation[id]++
}

func (l *network) freeze(id string) { l.frozen[id] = true }

// thawDuration is the time over which a thawed daemon receives the messages
// that arrived while it was frozen.
const thawDuration = 2 * time.Second

// thaw resumes a frozen daemon and delivers the events and messages that
// arrived while it was frozen.
func (l *network) thaw(id string) {
	delete(l.frozen, id)
	for i, d := range l.inbox[id] {
		wait := time.Duration(0)
		if d.data != nil {
			wait = thawDuration * time.Duration(i) / time.Duration(len(l.inbox[id]))
		}
		l.schedule(wait, d)
	}
	delete(l.inbox, id)
}

func (l *network) schedule(wait time.Duration, d delivery) {
	l.sequence++
	d.at, d.sequence, d.incarnation = l.now.Add(wait), l.sequence, l.incarnation[d.to]
	heap.Push(&l.queue, d)
}

// feed passes an event to a node and performs the actions that it returns.
func (l *network) feed(id string, e node.Event) {
	n := l.nodes[id]
	if n == nil {
		return
	}
	for _, o := range n.Handle(e, l.now) {
		l.perform(id, o)
	}
}

func (l *network) perform(id string, o node.Action) {
	switch o := o.(type) {
	case node.Send:
		l.send(id, o)
	case node.Read:
		l.read(id, o)
	case node.WriteBills:
		l.write(id, o)
	case node.BillDurable:
		l.durable[o.Key] = true
	case node.Changed:
		if o.Document.Topic == replication.VMs {
			l.feed(id, node.VMsKnown{Entries: l.platform.list, Halls: l.halls})
		}
	}
}

func (l *network) send(from string, o node.Send) {
	data, err := peer.Encode(o.Message)
	if err != nil {
		panic(err)
	}
	l.messages++
	l.byDaemon[from] += len(data)
	l.byDaemon[o.To] += len(data)
	l.bytes += len(data)
	a, b := l.listed(from).Hall, l.listed(o.To).Hall
	if l.partitioned[[2]string{a, b}] || l.partitioned[[2]string{b, a}] || l.rng.Float64() < l.loss {
		return
	}
	wait := time.Millisecond + time.Duration(l.rng.Int64N(int64(2*time.Millisecond)))
	l.schedule(wait, delivery{to: o.To, from: from, data: data})
}

func (l *network) platformFails(id string) bool {
	return l.platform.down || l.platform.cutHalls[l.listed(id).Hall]
}

func (l *network) read(id string, o node.Read) {
	l.platform.reads++
	done := node.ReadDone{Topic: o.Topic, SentAt: l.now}
	switch {
	case l.platform.overRate(l.now):
		done.Failed, done.RetryAfter = true, time.Second
	case l.platformFails(id):
		done.Failed = true
	case o.Topic == replication.Config:
		done.Number = l.platform.generation
	case o.Topic == replication.VMs:
		done.Number = l.platform.listNumber
	}
	if !done.Failed && done.Number > o.HeldNumber {
		done.Data = []byte(fmt.Sprintf("%s %d", o.Topic, done.Number))
	}
	l.schedule(2*time.Millisecond, delivery{to: id, event: done})
}

func (l *network) write(id string, o node.WriteBills) {
	l.platform.writes++
	if l.platformFails(id) {
		l.schedule(2*time.Millisecond, delivery{to: id, event: node.BillsFailed{}})
		return
	}
	var found []string
	for _, b := range o.Bills {
		if l.platform.bills[b.Key] > 0 {
			found = append(found, b.Key)
		}
	}
	if len(found) == 0 {
		for _, b := range o.Bills {
			l.platform.bills[b.Key]++
		}
	}
	var answer node.Event = node.BillsWritten{Found: found}
	if l.platform.loseNext > 0 {
		l.platform.loseNext--
		answer = node.BillsFailed{}
	}
	l.schedule(2*time.Millisecond, delivery{to: id, event: answer})
}

// run advances simulated time by d.
func (l *network) run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		next := heap.Pop(&l.queue).(delivery)
		l.now = next.at
		l.deliver(next)
	}
	l.now = end
}

func (l *network) deliver(d delivery) {
	if d.incarnation != l.incarnation[d.to] || l.nodes[d.to] == nil {
		return
	}
	if l.frozen[d.to] {
		l.inbox[d.to] = append(l.inbox[d.to], d)
		return
	}
	if d.data != nil {
		m, err := peer.Decode(d.data)
		if err != nil {
			panic(err)
		}
		l.feed(d.to, node.Received{From: d.from, Message: m.(node.Message)})
		return
	}
	if _, ok := d.event.(node.Tick); ok {
		l.schedule(node.TickInterval, delivery{to: d.to, event: node.Tick{}})
		l.schedule(node.FlushInterval, delivery{to: d.to, event: node.Flush{}})
		d.event = node.Tick{Own: l.own(d.to)}
	}
	l.feed(d.to, d.event)
}

func (l *network) bill(id, key string) {
	l.feed(id, node.BillAdded{Bill: bill.Bill{Key: key, Organisation: "o", Model: "m", Version: "v", Tokens: 1, Cost: 1}})
}

// generations returns the lowest and highest generation held by running
// daemons.
func (l *network) generations() (low, high uint64) {
	low = ^uint64(0)
	for id, n := range l.nodes {
		if l.frozen[id] {
			continue
		}
		g := n.Store.Get(replication.Config).Number
		low, high = min(low, g), max(high, g)
	}
	return low, high
}
