package duties_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/autoscaling"
	"ladderridge.example/core/duty"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/routemap"
	"ladderridge.example/core/usage"
	"ladderridge.example/daemon/duties"
	"ladderridge.example/daemon/storesync"
)

const (
	lease  = 3 * time.Second
	window = 5 * time.Second
	late   = 10 * time.Second
)

// table simulates the store's rows of duties.
type table struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]gossip.Row
	calls   int
}

// storeLink is one daemon's connection to the store.
type storeLink struct {
	*table
	mu sync.Mutex
	// With cut set all calls fail without an answer; with lossy set writes take effect but get no
	// answer.
	cut   bool
	lossy bool
}

var errLost = &storesync.Error{Op: "call store", Kind: storesync.Unavailable, Err: errors.New("no answer")}

func (l *storeLink) set(cut, lossy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.lossy = cut, lossy
}

func (l *storeLink) faults() (cut, lossy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.lossy
}

// Read implements duties.Rows.
func (l *storeLink) Read(_ context.Context, topic gossip.Topic) (storesync.Page, error) {
	if cut, _ := l.faults(); cut || topic != gossip.Duties {
		return storesync.Page{}, errLost
	}
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.calls++
	page := storesync.Page{Version: revision.New(1, l.version)}
	for _, r := range l.rows {
		page.Rows = append(page.Rows, r)
	}
	return page, nil
}

// Swap implements duties.Rows.
func (l *storeLink) Swap(_ context.Context, _ gossip.Topic, key string, data []byte, was revision.Revision) (revision.Revision, error) {
	cut, lossy := l.faults()
	if cut {
		return revision.Revision{}, errLost
	}
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.calls++
	if l.rows[key].Version.Number != was.Number {
		return revision.Revision{}, &storesync.Error{Op: "swap", Kind: storesync.Conflict}
	}
	l.version++
	l.rows[key] = gossip.Row{Key: key, Data: data, Version: revision.New(1, l.version)}
	if lossy {
		return revision.Revision{}, errLost
	}
	return revision.New(1, l.version), nil
}

// usageSubject is the subject of usage reports, for which tokens are checked.
const usageSubject = "usage"

// platform simulates the platform's interface for duties, and fails the test on calls that must
// not occur.
type platform struct {
	t  *testing.T
	mu sync.Mutex
	// highest is the highest token seen for each subject, holders the daemon that used each token.
	highest map[string]uint64
	holders map[string]string
	reports map[usage.Window][]usage.Count
	orders  []autoscaling.Order
	// refused counts the refused calls by token.
	refused map[uint64]int
	// With mute set no call is answered, and orders are kept to be carried out later. none lists
	// the data halls without available spot servers.
	mute bool
	kept []delayedOrder
	none map[string]bool
}

type delayedOrder struct {
	by    duties.Caller
	order autoscaling.Order
}

func newPlatform(t *testing.T) *platform {
	return &platform{t: t, highest: map[string]uint64{}, holders: map[string]string{}, reports: map[usage.Window][]usage.Count{}, refused: map[uint64]int{}, none: map[string]bool{}}
}

// admit accepts or refuses a caller's token. The caller of admit holds the mutex.
func (p *platform) admit(subject string, by duties.Caller) error {
	if by.Token < p.highest[subject] {
		p.refused[by.Token]++
		kind := duties.Forbidden
		if subject == usageSubject {
			kind = duties.Superseded
		}
		return &duties.Error{Op: "call platform", Kind: kind}
	}
	p.highest[subject] = by.Token
	who := subject + " " + strconv.FormatUint(by.Token, 10)
	if was := p.holders[who]; was != "" && was != by.Holder {
		p.t.Errorf("%s: %s and %s use one token", who, was, by.Holder)
	}
	p.holders[who] = by.Holder
	return nil
}

// Report implements duties.Platform.
func (p *platform) Report(_ context.Context, by duties.Caller, r usage.Report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mute {
		return &duties.Error{Op: "report", Kind: duties.Unanswered}
	}
	if err := p.admit(usageSubject, by); err != nil {
		return err
	}
	if was, ok := p.reports[r.Window]; ok && !slices.Equal(was, r.Counts) {
		p.t.Errorf("window %d: %v, then %v", r.Window, was, r.Counts)
	}
	p.reports[r.Window] = r.Counts
	return nil
}

// Order implements duties.Platform.
func (p *platform) Order(_ context.Context, by duties.Caller, service string, o autoscaling.Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mute {
		p.kept = append(p.kept, delayedOrder{by: by, order: o})
		return &duties.Error{Op: "order", Kind: duties.Unanswered}
	}
	return p.carryOut(by, service, o)
}

func (p *platform) carryOut(by duties.Caller, service string, o autoscaling.Order) error {
	if err := p.admit(service+" "+o.Pool.Hall, by); err != nil {
		return err
	}
	if p.none[o.Pool.Hall] && o.Pool.Kind == autoscaling.Spot {
		return &duties.Error{Op: "order", Kind: duties.Forbidden}
	}
	p.orders = append(p.orders, o)
	return nil
}

// carryOutDelayed carries out the orders that were kept without an answer.
func (p *platform) carryOutDelayed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.kept {
		_ = p.carryOut(k.by, "llm", k.order)
	}
	p.kept = nil
}

func (p *platform) setMute(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mute = on
}

// orderCount returns how many orders were carried out.
func (p *platform) orderCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.orders)
}

// newest returns the count last ordered in a pool, -1 for none.
func (p *platform) newest(at autoscaling.Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range slices.Backward(p.orders) {
		if o.Pool == at {
			return o.Count
		}
	}
	return -1
}

func (p *platform) reported() map[usage.Window][]usage.Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[usage.Window][]usage.Count{}
	for w, counts := range p.reports {
		out[w] = counts
	}
	return out
}

// fixedView is a view of the store that was confirmed a fixed time ago.
type fixedView struct {
	view *storesync.View
	age  time.Duration
}

// View implements duties.StoreSync.
func (k fixedView) View() *storesync.View {
	v := *k.view
	v.ConfigAt = time.Now().Add(-k.age)
	return &v
}

// ReadsStore implements duties.StoreSync.
func (fixedView) ReadsStore() bool { return true }

// view returns a view with one service in two data halls, with the given number of servers in each.
func view(each int) *storesync.View {
	terms := autoscaling.Policy{MinServers: 1, MaxServers: 40, BootTime: 4 * time.Second, SpotPrice: 0.2}
	m := routemap.New(routemap.Parts{Number: 1, Services: []routemap.Service{{Name: "llm", Slots: 10, Autoscaling: terms}}})
	var servers []*fleet.Server
	for _, hall := range []string{"hall-a", "hall-b"} {
		for i := range each {
			servers = append(servers, &fleet.Server{ID: hall + "-" + strconv.Itoa(i), Service: "llm", Hall: hall, Version: "v1", State: fleet.NewServerState(fleet.NewHallState())})
		}
	}
	return &storesync.View{Map: m, Servers: fleet.NewList(servers)}
}

// daemon is one leaseholder and its connection to the store.
type daemon struct {
	*duties.Leaseholder
	link *storeLink
}

// cluster is a cluster of daemons that send each other their usage counts.
type cluster struct {
	store    *table
	platform *platform
	daemons  []*daemon
}

func newCluster(t *testing.T, daemons int, names ...duty.Name) *cluster {
	t.Helper()
	s := &cluster{store: &table{rows: map[string]gossip.Row{}}, platform: newPlatform(t)}
	for i := range daemons {
		d := &daemon{Leaseholder: duties.New(), link: &storeLink{table: s.store}}
		d.Self, d.Start, d.Rows, d.Platform, d.StoreSync = "entry-"+strconv.Itoa(i), uint64(i+1), d.link, s.platform, fixedView{view: view(4)}
		d.Log = log.Logger{Level: log.PanicLevel}
		d.Settings = duties.Settings{Names: names, Lease: lease, Window: window, ReportDeadline: late}
		d.Prepare()
		s.daemons = append(s.daemons, d)
	}
	return s
}

// start runs the daemons until the test ends.
func (s *cluster) start(ctx context.Context) {
	for _, d := range s.daemons {
		go func() { _ = d.Run(ctx) }()
	}
}

// share has all daemons send each other their usage counts.
func (s *cluster) share() {
	for _, d := range s.daemons {
		records, _ := d.Updates(time.Now())
		for _, other := range s.daemons {
			if other != d {
				other.Merge(records)
			}
		}
	}
}

// runFor runs the cluster for a while, in which each daemon counts a request a second.
func (s *cluster) runFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, daemon := range s.daemons {
			daemon.CountRequest("org")
		}
		s.share()
	}
}

// holder returns the daemon that holds a duty, or nil.
func (s *cluster) holder(name duty.Name) *daemon {
	for _, d := range s.daemons {
		for _, status := range d.Status() {
			if status.Duty == name && status.Held {
				return d
			}
		}
	}
	return nil
}
