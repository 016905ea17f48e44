package control

import (
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/member"
	"ladderridge.example/core/replication"
	"ladderridge.example/core/table"
)

// MemberDump is the state of a member of the group as this daemon knows it.
type MemberDump struct {
	ID          string `json:"id"`
	Hall        string `json:"hall"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// ServerDump is the state of a backend server as this daemon knows it.
type ServerDump struct {
	ID             string   `json:"id"`
	Hall           string   `json:"hall"`
	Role           string   `json:"role"`
	Leaving        bool     `json:"leaving"`
	Loaded         []string `json:"loaded,omitempty"`
	InFlight       int64    `json:"in_flight"`
	Reported       int      `json:"reported"`
	Failures       int      `json:"failures,omitempty"`
	Ejected        bool     `json:"ejected,omitempty"`
	LastResponseMS int64    `json:"heard_ms_ago"`
}

// DocumentDump describes a replicated document that the daemon holds.
type DocumentDump struct {
	Topic  string `json:"topic"`
	Number uint64 `json:"number"`
	Bytes  int    `json:"bytes"`
	AgeMS  int64  `json:"age_ms"`
}

// HallDump is the aggregated state of a data hall.
type HallDump struct {
	Name    string `json:"name"`
	Members uint32 `json:"members"`
	// Down is the number of daemons that are listed but do not answer.
	Down    uint32 `json:"down"`
	Daemons uint32 `json:"daemons"`
	// Complete is set if exactly the members have reported, each once.
	Complete         bool   `json:"complete"`
	OldestGeneration uint64 `json:"oldest_generation"`
	AgeMS            uint64 `json:"age_ms"`
	Stale            bool   `json:"stale"`
	// Servers is the state of the hall's servers. Only a gateway sets it, not a daemon
	// that serves from a table.
	Servers *HallServers `json:"servers,omitempty"`
}

// HallServers is the state of a data hall's servers as one gateway knows it.
type HallServers struct {
	Servers int `json:"servers"`
	// Cold is the number of servers that have just started or returned and get few
	// requests at first.
	Cold int `json:"cold"`
	// InFlight is the number of requests of this daemon that the hall's servers process.
	InFlight int `json:"in_flight"`
	// Drained is set if the hall is drained, so that its servers get no requests.
	// EmptiedMS is how long the daemon has known of it.
	Drained   bool  `json:"emptied"`
	DrainedMS int64 `json:"emptied_ms"`
}

// Dump is the complete control state of a daemon.
type Dump struct {
	ID         string            `json:"id"`
	Hall       string            `json:"hall"`
	Generation table.Generation  `json:"generation"`
	Documents  []DocumentDump    `json:"documents"`
	Members    []MemberDump      `json:"members"`
	Rank       int               `json:"rank"`
	Halls      []HallDump        `json:"halls"`
	Servers    []ServerDump      `json:"servers"`
	Guarded    map[string]string `json:"guarded,omitempty"`
	// Evidence are the counts of all daemons, of answers by version and of server crashes by
	// request content.
	Evidence            []aggregation.Evidence `json:"seen"`
	Shares              map[string]Share       `json:"shares"`
	PendingBills        int                    `json:"pending_bills"`
	CopiesHeld          int                    `json:"copies_held"`
	BillsWritten        int64                  `json:"bills_written"`
	BillsFound          int64                  `json:"bills_found"`
	DroppedObservations int64                  `json:"dropped_facts"`
	BusyMS              float64                `json:"control_busy_ms"`
	PlatformCalls       int64                  `json:"platform_calls"`
	PlatformBytes       int64                  `json:"platform_bytes"`
}

// Dump returns the complete control state. It publishes pending changes first, so that
// requests use the state that it returns.
func (c *Control) Dump() (Dump, error) {
	var d Dump
	err := c.runOnLoop(func(l *loop) {
		now := time.Now()
		if l.dirty {
			l.publish(now)
		}
		d = l.dump(now)
	})
	return d, err
}

// PendingBills returns how many bills the platform has not acknowledged.
func (c *Control) PendingBills() (int, error) {
	n := 0
	err := c.runOnLoop(func(l *loop) { n = l.node.Pending.Len() })
	return n, err
}

// Halls returns the aggregated state of each data hall, with the oldest table generation
// in use there.
func (c *Control) Halls() ([]HallDump, error) {
	var halls []HallDump
	err := c.runOnLoop(func(l *loop) { halls = l.dumpHalls(time.Now()) })
	return halls, err
}

func (l *loop) dump(now time.Time) Dump {
	d := Dump{
		ID: l.Settings.ID, Hall: l.Settings.Hall, Generation: l.gen, Rank: l.node.Group.Rank(),
		Halls: l.dumpHalls(now), Shares: l.Snapshot().Shares,
		PendingBills: l.node.Pending.Len(), CopiesHeld: l.node.Copies.Held(),
		BillsWritten: l.node.Pending.Written, BillsFound: l.node.Pending.Found,
		DroppedObservations: l.DroppedObservations.Load(), BusyMS: float64(l.Busy.Load()) / float64(time.Millisecond),
		PlatformCalls: l.Platform.Calls.Load(), PlatformBytes: l.Platform.Bytes.Load(),
		Guarded: map[string]string{},
	}
	totals, _ := l.node.Tree.Totals(now)
	d.Evidence = totals.AllEvidence
	for topic := range replication.TopicCount {
		doc := l.node.Store.Get(topic)
		age := now.Sub(l.node.Store.ConfirmedAt(topic)).Milliseconds()
		d.Documents = append(d.Documents, DocumentDump{Topic: topic.String(), Number: doc.Number, Bytes: len(doc.Data), AgeMS: age})
	}
	for _, m := range l.node.Group.Members() {
		d.Members = append(d.Members, dumpMember(m))
	}
	for _, b := range l.servers.sorted {
		d.Servers = append(d.Servers, b.dump(now, l.node.Leaving))
	}
	for ref, reason := range l.guard.guarded() {
		d.Guarded[ref.String()] = reason
	}
	return d
}

func dumpMember(m member.Member) MemberDump {
	return MemberDump{ID: m.ID, Hall: m.Hall, State: m.State.String(), Incarnation: m.Incarnation, Leaving: m.Leaving}
}

func (b *backend) dump(now time.Time, announced func(id string) bool) ServerDump {
	d := ServerDump{
		ID: b.vm.ID, Hall: b.vm.Hall, Role: string(b.vm.Role), Leaving: b.leaving(announced),
		InFlight: b.state.InFlight.Load(), Reported: b.reportedLoad, Failures: b.failures,
		Ejected: now.Before(b.ejectedUntil), LastResponseMS: now.Sub(b.lastResponse).Milliseconds(),
	}
	for _, ref := range b.loaded {
		d.Loaded = append(d.Loaded, ref.String())
	}
	return d
}

// dumpHalls returns an entry for every data hall in the VM list, also for those that have
// not reported.
func (l *loop) dumpHalls(now time.Time) []HallDump {
	var out []HallDump
	seen := map[string]bool{}
	totals, _ := l.node.Tree.Totals(now)
	for _, h := range totals.Halls {
		seen[h.Name] = true
		out = append(out, HallDump{
			Name: h.Name, Members: h.Members, Down: h.Down, Daemons: h.Daemons, Complete: h.Complete,
			OldestGeneration: h.OldestGeneration, AgeMS: h.AgeMS, Stale: h.Stale(),
		})
	}
	for _, name := range append(l.otherHalls(), l.Settings.Hall) {
		if !seen[name] {
			out = append(out, HallDump{Name: name, Stale: true})
		}
	}
	return out
}
