package control

import (
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/member"
	"ladderridge.example/core/replication"
	"ladderridge.example/core/table"
)

// MemberDump is one daemon as another one sees it.
type MemberDump struct {
	ID          string `json:"id"`
	Hall        string `json:"hall"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// ServerDump is one backend server as a daemon sees it.
type ServerDump struct {
	ID       string   `json:"id"`
	Hall     string   `json:"hall"`
	Role     string   `json:"role"`
	Leaving  bool     `json:"leaving"`
	Loaded   []string `json:"loaded,omitempty"`
	InFlight int64    `json:"in_flight"`
	Reported int      `json:"reported"`
	Failures int      `json:"failures,omitempty"`
	Ejected  bool     `json:"ejected,omitempty"`
	HeardMS  int64    `json:"heard_ms_ago"`
}

// DocumentDump is one document that a daemon holds.
type DocumentDump struct {
	Topic  string `json:"topic"`
	Number uint64 `json:"number"`
	Bytes  int    `json:"bytes"`
	AgeMS  int64  `json:"age_ms"`
}

// HallDump is a data hall's total.
type HallDump struct {
	Name    string `json:"name"`
	Members uint32 `json:"members"`
	// Down daemons are listed but not counted on.
	Down    uint32 `json:"down"`
	Daemons uint32 `json:"daemons"`
	// Complete tells that just the members have reported, each once.
	Complete bool   `json:"complete"`
	Oldest   uint64 `json:"oldest_generation"`
	AgeMS    uint64 `json:"age_ms"`
	Stale    bool   `json:"stale"`
	// Servers is what a gateway knows of the hall's servers; a daemon with a table does
	// not tell it.
	Servers *HallServers `json:"servers,omitempty"`
}

// HallServers is what one gateway knows of a data hall's servers.
type HallServers struct {
	Servers int `json:"servers"`
	// Cold servers have just started or returned and get little.
	Cold int `json:"cold"`
	// InFlight are this daemon's requests under way there.
	InFlight int `json:"in_flight"`
	// Emptied tells that the servers get nothing, EmptiedMS since when the daemon knows.
	Emptied   bool  `json:"emptied"`
	EmptiedMS int64 `json:"emptied_ms"`
}

// Dump is the whole control state of a daemon.
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
	// Seen is what all daemons together have counted, of versions and of requests under
	// which servers have ended.
	Seen         []aggregation.Evidence `json:"seen"`
	Shares       map[string]Share       `json:"shares"`
	PendingBills int                    `json:"pending_bills"`
	CopiesHeld   int                    `json:"copies_held"`
	BillsWritten int64                  `json:"bills_written"`
	BillsFound   int64                  `json:"bills_found"`
	DroppedFacts int64                  `json:"dropped_facts"`
	BusyMS       float64                `json:"control_busy_ms"`
	PlatformCall int64                  `json:"platform_calls"`
	PlatformByte int64                  `json:"platform_bytes"`
}

// Dump returns the whole control state. Changes that wait to be published are published
// first, so that requests see what it tells.
func (c *Control) Dump() (Dump, error) {
	var d Dump
	err := c.askLoop(func(l *loop) {
		now := time.Now()
		if l.dirty {
			l.publish(now)
		}
		d = l.dump(now)
	})
	return d, err
}

// Pending returns how many bills the platform has not acknowledged.
func (c *Control) Pending() (int, error) {
	n := 0
	err := c.askLoop(func(l *loop) { n = l.node.Pending.Len() })
	return n, err
}

// Halls returns how far each data hall is with the table.
func (c *Control) Halls() ([]HallDump, error) {
	var halls []HallDump
	err := c.askLoop(func(l *loop) { halls = l.dumpHalls(time.Now()) })
	return halls, err
}

func (l *loop) dump(now time.Time) Dump {
	d := Dump{
		ID: l.Settings.ID, Hall: l.Settings.Hall, Generation: l.gen, Rank: l.node.Group.Rank(),
		Halls: l.dumpHalls(now), Shares: l.Snapshot().Shares,
		PendingBills: l.node.Pending.Len(), CopiesHeld: l.node.Copies.Held(),
		BillsWritten: l.node.Pending.Written, BillsFound: l.node.Pending.Found,
		DroppedFacts: l.DroppedFacts.Load(), BusyMS: float64(l.Busy.Load()) / float64(time.Millisecond),
		PlatformCall: l.Platform.Calls.Load(), PlatformByte: l.Platform.Bytes.Load(),
		Guarded: map[string]string{},
	}
	totals, _ := l.node.Tree.Totals(now)
	d.Seen = totals.AllEvidence
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
	for ref, why := range l.guard.guarded() {
		d.Guarded[ref.String()] = why
	}
	return d
}

func dumpMember(m member.Member) MemberDump {
	return MemberDump{ID: m.ID, Hall: m.Hall, State: m.State.String(), Incarnation: m.Incarnation, Leaving: m.Leaving}
}

func (b *backend) dump(now time.Time, told func(id string) bool) ServerDump {
	d := ServerDump{
		ID: b.vm.ID, Hall: b.vm.Hall, Role: string(b.vm.Role), Leaving: b.goes(told),
		InFlight: b.load.InFlight.Load(), Reported: b.reported, Failures: b.failures,
		Ejected: now.Before(b.ejected), HeardMS: now.Sub(b.heard).Milliseconds(),
	}
	for _, ref := range b.loaded {
		d.Loaded = append(d.Loaded, ref.String())
	}
	return d
}

// dumpHalls names every data hall of the VM list, heard of or not.
func (l *loop) dumpHalls(now time.Time) []HallDump {
	var out []HallDump
	seen := map[string]bool{}
	totals, _ := l.node.Tree.Totals(now)
	for _, h := range totals.Halls {
		seen[h.Name] = true
		out = append(out, HallDump{
			Name: h.Name, Members: h.Members, Down: h.Down, Daemons: h.Daemons, Complete: h.Complete,
			Oldest: h.OldestGeneration, AgeMS: h.AgeMS, Stale: h.Stale(),
		})
	}
	for _, name := range append(l.otherHalls(), l.Settings.Hall) {
		if !seen[name] {
			out = append(out, HallDump{Name: name, Stale: true})
		}
	}
	return out
}
