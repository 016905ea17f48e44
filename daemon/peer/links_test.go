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

// delivery is something that happens to a node at a time.
type delivery struct {
	at    time.Time
	order int
	to    string
	life  int
	event node.Event
	data  []byte
	from  string
}

// deliveries is a heap by time.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || (d[i].at.Equal(d[j].at) && d[i].order < d[j].order)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// fakePlatform is the platform as far as nodes see it.
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
	// rate bounds the reads of a second; 0 is no bound. limited counts those
	// that were over it.
	rate    int
	second  int64
	inSec   int
	limited int
}

// overRate counts a read and reports whether it is over the rate.
func (p *fakePlatform) overRate(now time.Time) bool {
	if now.Unix() != p.second {
		p.second, p.inSec = now.Unix(), 0
	}
	p.inSec++
	if p.rate == 0 || p.inSec <= p.rate {
		return false
	}
	p.limited++
	return true
}

// links joins nodes in modelled time by in-memory links that lose, delay and
// cut, with every message through the real codec.
type links struct {
	now      time.Time
	rng      *rand.Rand
	queue    deliveries
	order    int
	nodes    map[string]*node.Node
	ids      []string
	life     map[string]int
	frozen   map[string]bool
	held     map[string][]delivery
	loss     float64
	cut      map[[2]string]bool
	platform fakePlatform
	own      func(id string) aggregation.Sums
	safe     map[string]bool
	messages int
	bytes    int
	byDaemon map[string]int
	halls    int
}

func newLinks(seed uint64) *links {
	return &links{
		now: time.UnixMilli(1_800_000_000_000), rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node.Node{},
		life: map[string]int{}, frozen: map[string]bool{}, held: map[string][]delivery{}, cut: map[[2]string]bool{},
		platform: fakePlatform{bills: map[string]int{}, cutHalls: map[string]bool{}}, safe: map[string]bool{}, byDaemon: map[string]int{},
		own: func(string) aggregation.Sums { return aggregation.Sums{} },
	}
}

func hallOf(i, halls int) string { return fmt.Sprintf("hall-%d", i%halls) }

// addAll lists and starts n daemons spread over some halls.
func (l *links) addAll(n, halls int) {
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

func (l *links) listed(id string) member.Listed {
	i := slices.IndexFunc(l.platform.list, func(m member.Listed) bool { return m.ID == id })
	return l.platform.list[i]
}

// start starts a daemon anew, with nothing kept.
func (l *links) start(id string) {
	l.life[id]++
	if !slices.Contains(l.ids, id) {
		l.ids = append(l.ids, id)
	}
	n := node.New(l.listed(id), uint64(l.now.UnixMilli()), l.now)
	// The settings name two seeds, for starts while the platform is down.
	n.Seeds = append(n.Seeds, l.platform.list[:min(2, len(l.platform.list))]...)
	l.nodes[id] = n
	l.after(time.Duration(l.rng.Int64N(int64(node.TickInterval))), delivery{to: id, event: node.Tick{}})
}

func (l *links) kill(id string) {
	delete(l.nodes, id)
	delete(l.frozen, id)
	delete(l.held, id)
	l.life[id]++
}

func (l *links) freeze(id string) { l.frozen[id] = true }

// drain is how long a thawed daemon takes to read what came meanwhile.
const drain = 2 * time.Second

// thaw lets a frozen daemon go on: the messages that came meanwhile come now.
func (l *links) thaw(id string) {
	delete(l.frozen, id)
	for i, d := range l.held[id] {
		wait := time.Duration(0)
		if d.data != nil {
			wait = drain * time.Duration(i) / time.Duration(len(l.held[id]))
		}
		l.after(wait, d)
	}
	delete(l.held, id)
}

func (l *links) after(wait time.Duration, d delivery) {
	l.order++
	d.at, d.order, d.life = l.now.Add(wait), l.order, l.life[d.to]
	heap.Push(&l.queue, d)
}

// feed gives a node an event and carries out its orders.
func (l *links) feed(id string, e node.Event) {
	n := l.nodes[id]
	if n == nil {
		return
	}
	for _, o := range n.Handle(e, l.now) {
		l.obey(id, o)
	}
}

func (l *links) obey(id string, o node.Action) {
	switch o := o.(type) {
	case node.Send:
		l.send(id, o)
	case node.Read:
		l.read(id, o)
	case node.WriteBills:
		l.write(id, o)
	case node.BillDurable:
		l.safe[o.Key] = true
	case node.Changed:
		if o.Document.Topic == replication.VMs {
			l.feed(id, node.VMsKnown{Entries: l.platform.list, Halls: l.halls})
		}
	}
}

func (l *links) send(from string, o node.Send) {
	data, err := peer.Encode(o.Message)
	if err != nil {
		panic(err)
	}
	l.messages++
	l.byDaemon[from] += len(data)
	l.byDaemon[o.To] += len(data)
	l.bytes += len(data)
	a, b := l.listed(from).Hall, l.listed(o.To).Hall
	if l.cut[[2]string{a, b}] || l.cut[[2]string{b, a}] || l.rng.Float64() < l.loss {
		return
	}
	wait := time.Millisecond + time.Duration(l.rng.Int64N(int64(2*time.Millisecond)))
	l.after(wait, delivery{to: o.To, from: from, data: data})
}

func (l *links) platformFails(id string) bool {
	return l.platform.down || l.platform.cutHalls[l.listed(id).Hall]
}

func (l *links) read(id string, o node.Read) {
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
	l.after(2*time.Millisecond, delivery{to: id, event: done})
}

func (l *links) write(id string, o node.WriteBills) {
	l.platform.writes++
	if l.platformFails(id) {
		l.after(2*time.Millisecond, delivery{to: id, event: node.BillsFailed{}})
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
	l.after(2*time.Millisecond, delivery{to: id, event: answer})
}

// run lets modelled time pass.
func (l *links) run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.queue) > 0 && !l.queue[0].at.After(end) {
		next := heap.Pop(&l.queue).(delivery)
		l.now = next.at
		l.deliver(next)
	}
	l.now = end
}

func (l *links) deliver(d delivery) {
	if d.life != l.life[d.to] || l.nodes[d.to] == nil {
		return
	}
	if l.frozen[d.to] {
		l.held[d.to] = append(l.held[d.to], d)
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
		l.after(node.TickInterval, delivery{to: d.to, event: node.Tick{}})
		l.after(node.FlushInterval, delivery{to: d.to, event: node.Flush{}})
		d.event = node.Tick{Own: l.own(d.to)}
	}
	l.feed(d.to, d.event)
}

func (l *links) bill(id, key string) {
	l.feed(id, node.BillAdded{Bill: bill.Bill{Key: key, Organisation: "o", Model: "m", Version: "v", Tokens: 1, Cost: 1}})
}

// generations returns the lowest and highest generation held by live daemons.
func (l *links) generations() (low, high uint64) {
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
