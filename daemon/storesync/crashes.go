package storesync

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/quarantine"
)

// Requests that make servers exit (crash), as known to all daemons. The attempts of a caller reach any
// daemon, and each daemon sees few of the exits. Crashes and answers are sent to the reader of the hall and
// from there to the hall and to other halls, three times because a message may be lost. For daemons that
// start, and halls that were cut off, what is known of suspected requests is sent again while the last crash
// is recent. In addition, a content or a part that is confined alone has a row in the store, so that daemons
// that start know of it, even if all start at once.

const (
	// partEvidenceInterval is the time between two messages with what is known of suspected parts,
	// recentEvidenceInterval that for evidenceRecent after a crash. Daemons send it to a reader only if
	// it differs from what the reader knows.
	partEvidenceInterval   = 5 * time.Second
	recentEvidenceInterval = time.Second
	evidenceRecent         = 10 * time.Second
	// crashSendCount is how many times a report is sent to the same daemons, one tick apart.
	crashSendCount = 3
	// crashResendWindow is how long a daemon sends a crash that it has seen itself again when its reader
	// changes: the previous reader may have failed before it passed the crash on.
	crashResendWindow = 5 * time.Second
	// partBacklog bounds the reports that wait to be sent, maxPartsPerMessage the parts in the reports of
	// one message, which then has some four kilobytes.
	partBacklog        = 256
	maxPartsPerMessage = 256
)

// confinementSync shares the crash counts of one registry with the other daemons. It belongs to the
// Syncer's goroutine, but for the registry.
type confinementSync struct {
	registry *quarantine.Registry
	topic    gossip.Topic
	// keys returns what the registry counts of a suspect, rowKey the key of a part's row.
	keys   func(quarantine.Suspect) []quarantine.Part
	rowKey func(quarantine.Part) string
	// started and ended are logged when requests begin and cease to be refused.
	started, ended string
	// pending are the reports to send, own the crashes that this daemon has seen recently, reader the daemon
	// that they were last sent to.
	pending []partReport
	own     []quarantine.Crash
	reader  string
	// evidenceSentAt is when what is known of suspects was last sent, readerReports when the reader last sent
	// a report, by its checksum.
	evidenceSentAt time.Time
	readerReports  map[uint64]time.Time
	// rows are the parts that are confined alone, confined the first parts of all confinements.
	rows     map[quarantine.Part]quarantineRow
	confined map[quarantine.Part]bool
}

// newContentSync shares the crash counts of whole contents.
func newContentSync() *confinementSync {
	return newConfinementSync(&confinementSync{
		registry: quarantine.NewContentRegistry(), topic: gossip.Contents, keys: quarantine.ContentKeys,
		rowKey:  func(p quarantine.Part) string { return quarantinePrefix + p.String() },
		started: "quarantine: request quarantined because servers exited under it",
		ended:   "quarantine: this request gets servers again",
	})
}

// newPartSync shares the crash counts of the parts that requests share.
func newPartSync() *confinementSync {
	return newConfinementSync(&confinementSync{
		registry: quarantine.NewPartRegistry(), topic: gossip.Parts, keys: quarantine.PartKeys, rowKey: partKey,
		started: "quarantine: requests with these parts get no server because servers exited under them",
		ended:   "quarantine: requests with this part get servers again",
	})
}

func newConfinementSync(cs *confinementSync) *confinementSync {
	cs.readerReports, cs.rows, cs.confined = map[uint64]time.Time{}, map[quarantine.Part]quarantineRow{}, map[quarantine.Part]bool{}
	return cs
}

// partReport is a crash or an answer to be sent, and how many more times.
type partReport struct {
	crash  quarantine.Crash
	answer quarantine.Answer
	// otherHalls is set if other halls do not know it yet.
	otherHalls bool
	left       int
}

// size is the number of parts in the report.
func (r partReport) size() int { return max(1, len(r.crash.Parts)) }

// crashObserved is a crash of a server with requests of this daemon in flight.
type crashObserved struct {
	sync  *confinementSync
	crash quarantine.Crash
}

func (crashObserved) event() {}

// handleCrash queues a crash that this daemon has seen.
func (sy *Syncer) handleCrash(e crashObserved, now time.Time) {
	sy.reportedExits[e.crash.Server] = e.crash.At
	e.sync.queue(partReport{crash: e.crash, otherHalls: true, left: crashSendCount})
	e.sync.own = append(e.sync.own, e.crash)
	sy.trackConfinements(e.sync, now)
}

// queue queues a report for sending if the backlog is not full.
func (cs *confinementSync) queue(r partReport) {
	if len(cs.pending) < partBacklog {
		cs.pending = append(cs.pending, r)
	}
}

// mergeReport merges what another daemon has seen. A reader passes news on to its hall, and to other halls
// if they come from its own hall.
func (sy *Syncer) mergeReport(cs *confinementSync, from string, update gossip.Update, now time.Time) {
	member, ok := (*sy.members.Load())[from]
	if !ok || len(update.Rows) == 0 {
		return
	}
	var report gossip.PartReport
	var groups gossip.ReportGroups
	err := cbor.Unmarshal(update.Rows[0].Data, &report)
	if err == nil && len(update.Rows) > 1 {
		err = cbor.Unmarshal(update.Rows[1].Data, &groups)
	}
	if err != nil {
		sy.malformed(cs.topic, update.Rows[0], err)
		return
	}
	cs.observeReport(sy, from, report, now)
	forward := partReport{otherHalls: member.Hall == sy.Self.Hall, left: crashSendCount}
	for i, received := range report.Crashes {
		c := quarantine.Crash{Group: groupAt(groups.Crashes, i), Server: received.Server, At: now.Add(-time.Duration(received.AgeMS) * time.Millisecond)}
		for _, p := range received.Parts {
			c.Parts = append(c.Parts, quarantine.Part(p))
		}
		sy.mergeCrash(cs, c, forward, now)
	}
	for i, received := range report.Answers {
		a := quarantine.Answer{Part: quarantine.Part(received.Part), Group: groupAt(groups.Answers, i), At: now.Add(-time.Duration(received.AgeMS) * time.Millisecond)}
		if cs.registry.RecordAnswer(a, now) && sy.reading.Load() {
			forward.crash, forward.answer = quarantine.Crash{}, a
			cs.queue(forward)
		}
	}
	sy.trackConfinements(cs, now)
}

// groupAt returns the group of an entry of a report. Older daemons send none.
func groupAt(groups []uint64, i int) quarantine.Group {
	if i >= len(groups) {
		return quarantine.AnyGroup
	}
	return quarantine.Group(groups[i])
}

// mergeCrash merges a crash seen by another daemon.
func (sy *Syncer) mergeCrash(cs *confinementSync, c quarantine.Crash, forward partReport, now time.Time) {
	sy.reportExit(c.Server, c.At, now)
	if c.Parts = cs.registry.RecordCrash(c, now); len(c.Parts) > 0 && sy.reading.Load() {
		forward.crash, forward.answer = c, quarantine.Answer{}
		cs.queue(forward)
	}
}

// mergeContentCrashes merges the crashes of contents in the message of an older daemon, which tells neither
// groups nor answers.
func (sy *Syncer) mergeContentCrashes(from string, crashes []gossip.Crash, now time.Time) {
	m, known := (*sy.members.Load())[from]
	forward := partReport{otherHalls: known && m.Hall == sy.Self.Hall, left: crashSendCount}
	for _, received := range crashes {
		c := quarantine.Crash{Parts: []quarantine.Part{quarantine.Part(received.Content)}, Server: received.Server, At: now.Add(-time.Duration(received.AgeMS) * time.Millisecond)}
		sy.mergeCrash(sy.contents, c, forward, now)
	}
	if len(crashes) > 0 {
		sy.trackConfinements(sy.contents, now)
	}
}

// sendReports sends the queued reports, and at times what is known of suspects: a reader to its hall and to
// other halls, another daemon to its reader.
func (sy *Syncer) sendReports(cs *confinementSync, now time.Time) {
	for _, a := range cs.registry.Announcements(now) {
		cs.queue(partReport{answer: a, otherHalls: true, left: crashSendCount})
	}
	sy.trackConfinements(cs, now)
	cs.own = slices.DeleteFunc(cs.own, func(c quarantine.Crash) bool { return now.Sub(c.At) > crashResendWindow })
	reader, ok := sy.readers.reader()
	if !sy.reading.Load() && !ok {
		return
	}
	if sy.reading.Load() {
		reader = sy.Self
	}
	if reader.ID != cs.reader {
		cs.reader = reader.ID
		for _, c := range cs.own {
			cs.queue(partReport{crash: c, otherHalls: true, left: crashSendCount})
		}
	}
	all, otherHalls := cs.takeReports(now)
	crashes, answers := cs.dueEvidence(sy.reading.Load(), now)
	for _, c := range crashes {
		all.add(partReport{crash: c}, now)
		otherHalls.add(partReport{crash: c}, now)
	}
	for _, a := range answers {
		all.add(partReport{answer: a}, now)
		otherHalls.add(partReport{answer: a}, now)
	}
	if !sy.reading.Load() {
		if m, ok := all.message(cs.topic); ok {
			sy.Peers.Send(reader.ID, reader.Addr, m)
		}
		return
	}
	if m, ok := all.message(cs.topic); ok {
		if to := sy.hallSubscribers(now); len(to) > 0 {
			sy.Peers.SendAll(to, m)
		}
	}
	if m, ok := otherHalls.message(cs.topic); ok {
		sy.broadcast(m)
	}
}

// dueEvidence returns what is known of suspects if it is due.
func (cs *confinementSync) dueEvidence(reading bool, now time.Time) (crashes []quarantine.Crash, answers []quarantine.Answer) {
	since := now.Sub(cs.evidenceSentAt)
	if since < recentEvidenceInterval {
		return nil, nil
	}
	crashes, answers = cs.registry.Evidence(now)
	if at, ok := cs.readerReports[evidenceSum(crashes, answers, now)]; ok && !reading && now.Sub(at) < readerReportTTL {
		// The reader knows the same.
		return nil, nil
	}
	recent := slices.ContainsFunc(crashes, func(c quarantine.Crash) bool { return now.Sub(c.At) < evidenceRecent }) ||
		slices.ContainsFunc(answers, func(a quarantine.Answer) bool { return now.Sub(a.At) < evidenceRecent })
	if since < partEvidenceInterval && !recent {
		return nil, nil
	}
	cs.evidenceSentAt = now
	return crashes, answers
}

// readerReportTTL is how long a message about parts from the reader shows what it knows.
const readerReportTTL = 3 * time.Second

// observeReport records what a message about parts holds if it is from the reader.
func (cs *confinementSync) observeReport(sy *Syncer, from string, r gossip.PartReport, now time.Time) {
	maps.DeleteFunc(cs.readerReports, func(_ uint64, at time.Time) bool { return now.Sub(at) >= readerReportTTL })
	if reader, ok := sy.readers.reader(); ok && reader.ID == from {
		cs.readerReports[reportSum(r)] = now
	}
}

// reportSum returns a checksum of the crashes and the answered parts of a report. Times are not part of
// it, since daemons derive them from ages.
func reportSum(r gossip.PartReport) uint64 {
	var sum uint64
	add := func(server, part uint64) {
		var b [16]byte
		binary.LittleEndian.PutUint64(b[:], server)
		binary.LittleEndian.PutUint64(b[8:], part)
		sum += xxhash.Sum64(b[:])
	}
	for _, c := range r.Crashes {
		for _, p := range c.Parts {
			add(c.Server, p)
		}
	}
	for _, a := range r.Answers {
		add(0, a.Part)
	}
	return sum
}

// evidenceSum returns the checksum of a report of crashes and answers.
func evidenceSum(crashes []quarantine.Crash, answers []quarantine.Answer, now time.Time) uint64 {
	var m partMessage
	for _, c := range crashes {
		m.add(partReport{crash: c}, now)
	}
	for _, a := range answers {
		m.add(partReport{answer: a}, now)
	}
	return reportSum(m.report)
}

// takeReports returns the queued reports as they fit into a message: all, and those for other halls.
func (cs *confinementSync) takeReports(now time.Time) (all, otherHalls partMessage) {
	var waiting []partReport
	size := 0
	for _, r := range cs.pending {
		if size += r.size(); size > maxPartsPerMessage && size > r.size() {
			waiting = append(waiting, r)
			continue
		}
		all.add(r, now)
		if r.otherHalls {
			otherHalls.add(r, now)
		}
		if r.left--; r.left > 0 {
			waiting = append(waiting, r)
		}
	}
	cs.pending = waiting
	return all, otherHalls
}

// partMessage collects reports for a message.
type partMessage struct {
	report gossip.PartReport
	groups gossip.ReportGroups
}

func (m *partMessage) add(r partReport, now time.Time) {
	if r.crash.Parts == nil {
		m.report.Answers = append(m.report.Answers, gossip.PartAnswer{Part: uint64(r.answer.Part), AgeMS: ageMS(now, r.answer.At)})
		m.groups.Answers = append(m.groups.Answers, uint64(r.answer.Group))
		return
	}
	c := gossip.PartCrash{Server: r.crash.Server, AgeMS: ageMS(now, r.crash.At)}
	for _, p := range r.crash.Parts {
		c.Parts = append(c.Parts, uint64(p))
	}
	m.report.Crashes = append(m.report.Crashes, c)
	m.groups.Crashes = append(m.groups.Crashes, uint64(r.crash.Group))
}

// message returns the message, if there is anything to report. Older daemons ignore the groups, and know
// crashes of contents in a form of their own.
func (m *partMessage) message(topic gossip.Topic) (gossip.Response, bool) {
	if len(m.report.Crashes)+len(m.report.Answers) == 0 {
		return gossip.Response{}, false
	}
	data, err := cbor.Marshal(m.report)
	if err != nil {
		return gossip.Response{}, false
	}
	groups, err := cbor.Marshal(m.groups)
	if err != nil {
		return gossip.Response{}, false
	}
	out := gossip.Response{Updates: []gossip.Update{{Topic: topic, Rows: []gossip.Row{{Data: data}, {Data: groups}}}}}
	if topic == gossip.Contents {
		for _, c := range m.report.Crashes {
			for _, p := range c.Parts {
				out.Crashes = append(out.Crashes, gossip.Crash{Content: p, Server: c.Server, AgeMS: c.AgeMS})
			}
		}
	}
	return out, true
}

// trialDelay returns how much later than other daemons this one lets a request with a part pass as a
// trial: the daemons take turns in an order that differs from part to part.
func (sy *Syncer) trialDelay(p quarantine.Part) time.Duration {
	own, before := trialRank(sy.Self.ID, p), 0
	for id := range *sy.members.Load() {
		if id != sy.Self.ID && trialRank(id, p) < own {
			before++
		}
	}
	return time.Duration(before) * quarantine.TrialSpacing
}

func trialRank(id string, p quarantine.Part) uint64 { return xxhash.Sum64String(id + p.String()) }

// trackConfinements logs the confinements that begin and end, and schedules the writes of the rows of
// parts that are confined alone.
func (sy *Syncer) trackConfinements(cs *confinementSync, now time.Time) {
	current := map[quarantine.Part]bool{}
	for _, c := range cs.registry.Confinements(now) {
		first := c.Parts[0]
		current[first] = true
		if !cs.confined[first] {
			cs.confined[first] = true
			cs.named(sy.Log.Warn(), c.Parts).Int("crashes", c.Crashes).Dur("for", c.Until.Sub(now)).Dur("trial_in", c.TrialFrom.Sub(now)).Msg(cs.started)
		}
		if len(c.Parts) == 1 {
			sy.trackRow(cs, first, now)
		}
	}
	for p := range cs.confined {
		if !current[p] {
			delete(cs.confined, p)
			cs.named(sy.Log.Info(), []quarantine.Part{p}).Msg(cs.ended)
		}
	}
}

// partKeyDigits is the length in digits of a part in the key of its row. Daemons that know no parts take
// the row for that of a content that no request has.
const partKeyDigits = 20

func partKey(p quarantine.Part) string {
	return fmt.Sprintf("%s%0*x", quarantinePrefix, partKeyDigits, uint64(p))
}

// named adds a content, or parts, to a log line.
func (cs *confinementSync) named(e *log.Entry, parts []quarantine.Part) *log.Entry {
	switch {
	case cs.topic == gossip.Contents:
		return e.Stringer("content", parts[0])
	case len(parts) == 1:
		e = e.Stringer("part", parts[0])
	}
	return e.Strs("parts", quarantine.PartNames(parts))
}

// trackRow schedules the write of the row of a part that is confined alone: at once if this daemon
// has just seen a crash with it, otherwise in turn.
func (sy *Syncer) trackRow(cs *confinementSync, p quarantine.Part, now time.Time) {
	if _, tracked := cs.rows[p]; tracked {
		return
	}
	own := slices.ContainsFunc(cs.own, func(c quarantine.Crash) bool { return slices.Contains(c.Parts, p) })
	c := quarantineRow{due: now, own: own}
	if !own {
		c.due = now.Add(sy.writeDelay(canary.RolledBack))
	}
	cs.rows[p] = c
}

// writeRows writes the rows of parts that are confined alone and that the store does not have, and
// the end of those that are confined no more.
func (sy *Syncer) writeRows(ctx context.Context, cs *confinementSync, now time.Time) {
	for p, c := range cs.rows {
		key := cs.rowKey(p)
		until, in := cs.registry.ConfinedAlone(p, now)
		active := sy.rowActive(key, now)
		if !in && !active {
			delete(cs.rows, p)
			continue
		}
		if in == active || now.Before(c.due) || !c.own && !sy.reading.Load() {
			continue
		}
		if !in {
			until = now
		}
		cs.rows[p] = quarantineRow{due: now.Add(nonReaderWriteDelay), own: c.own}
		sy.writeConfinement(ctx, key, until)
	}
}
