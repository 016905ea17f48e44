package storesync

import (
	"context"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/quarantine"
)

// Parts of requests that crash servers, as known to all daemons. Crashes and answers take the way of the
// crashes of whole requests: to the reader of the hall, from there to the hall and to other halls, three
// times. For daemons that start, and halls that were cut off, what is known of suspected parts is sent
// again while the last crash is recent. A part that is confined alone has a row in the store.

const (
	// partEvidenceInterval is the time between two messages with what is known of suspected parts,
	// recentEvidenceInterval that for evidenceRecent after a crash. Daemons send it to a reader only if
	// it differs from what the reader knows.
	partEvidenceInterval   = 5 * time.Second
	recentEvidenceInterval = time.Second
	evidenceRecent         = 10 * time.Second
	// partBacklog bounds the reports that wait to be sent, maxPartsPerMessage the parts in the reports of
	// one message, which then has some four kilobytes.
	partBacklog        = 256
	maxPartsPerMessage = 256
)

// partReport is a crash or an answer to be sent, and how many more times.
type partReport struct {
	crash  quarantine.PartCrash
	answer quarantine.PartAnswer
	// otherHalls is set if other halls do not know it yet.
	otherHalls bool
	left       int
}

// size is the number of parts in the report.
func (r partReport) size() int { return max(1, len(r.crash.Parts)) }

// partsCrashed is a crash of a server with parts of requests of this daemon in flight.
type partsCrashed struct{ crash quarantine.PartCrash }

func (partsCrashed) event() {}

// recordPartCrash counts the crash of a server for the parts of the requests that were in flight there.
func (sy *Syncer) recordPartCrash(server string, suspects []quarantine.Suspect, now time.Time) {
	c := quarantine.PartCrash{Parts: quarantine.Parts(suspects), Server: xxhash.Sum64String(server), At: now}
	if c.Parts = sy.parts.RecordCrash(c, now); len(c.Parts) > 0 {
		sy.enqueue(partsCrashed{c})
	}
}

// handlePartCrash queues a crash that this daemon has seen.
func (sy *Syncer) handlePartCrash(e partsCrashed) {
	sy.queuePartReport(partReport{crash: e.crash, otherHalls: true, left: crashSendCount})
	sy.ownPartCrashes = append(sy.ownPartCrashes, e.crash)
}

// queuePartReport queues a report for sending if the backlog is not full.
func (sy *Syncer) queuePartReport(r partReport) {
	if len(sy.pendingParts) < partBacklog {
		sy.pendingParts = append(sy.pendingParts, r)
	}
}

// mergeParts merges what another daemon has seen. A reader passes news on to its hall, and to other halls
// if they come from its own hall.
func (sy *Syncer) mergeParts(from string, update gossip.Update, now time.Time) {
	member, ok := (*sy.members.Load())[from]
	if !ok || len(update.Rows) == 0 {
		return
	}
	var report gossip.PartReport
	if err := cbor.Unmarshal(update.Rows[0].Data, &report); err != nil {
		sy.malformed(gossip.Parts, update.Rows[0], err)
		return
	}
	sy.observeReport(from, report, now)
	forward := partReport{otherHalls: member.Hall == sy.Self.Hall, left: crashSendCount}
	for _, received := range report.Crashes {
		c := quarantine.PartCrash{Server: received.Server, At: now.Add(-time.Duration(received.AgeMS) * time.Millisecond)}
		sy.reportExit(c.Server, c.At, now)
		for _, p := range received.Parts {
			c.Parts = append(c.Parts, quarantine.Part(p))
		}
		if c.Parts = sy.parts.RecordCrash(c, now); len(c.Parts) > 0 && sy.reading.Load() {
			forward.crash, forward.answer = c, quarantine.PartAnswer{}
			sy.queuePartReport(forward)
		}
	}
	for _, received := range report.Answers {
		a := quarantine.PartAnswer{Part: quarantine.Part(received.Part), At: now.Add(-time.Duration(received.AgeMS) * time.Millisecond)}
		if sy.parts.RecordAnswer(a, now) && sy.reading.Load() {
			forward.crash, forward.answer = quarantine.PartCrash{}, a
			sy.queuePartReport(forward)
		}
	}
	sy.trackConfinements(now)
}

// sendParts sends the queued reports, and at times what is known of suspected parts: a reader to its hall
// and to other halls, another daemon to its reader.
func (sy *Syncer) sendParts(now time.Time) {
	for _, a := range sy.parts.Announcements(now) {
		sy.queuePartReport(partReport{answer: a, otherHalls: true, left: crashSendCount})
	}
	sy.trackConfinements(now)
	sy.ownPartCrashes = slices.DeleteFunc(sy.ownPartCrashes, func(c quarantine.PartCrash) bool { return now.Sub(c.At) > crashResendWindow })
	reader, ok := sy.readers.reader()
	if !sy.reading.Load() && !ok {
		return
	}
	if sy.reading.Load() {
		reader = sy.Self
	}
	if reader.ID != sy.partReader {
		sy.partReader = reader.ID
		for _, c := range sy.ownPartCrashes {
			sy.queuePartReport(partReport{crash: c, otherHalls: true, left: crashSendCount})
		}
	}
	all, otherHalls := sy.takePartReports(now)
	if crashes, answers := sy.dueEvidence(now); len(crashes)+len(answers) > 0 {
		for _, c := range crashes {
			all.add(partReport{crash: c}, now)
			otherHalls.add(partReport{crash: c}, now)
		}
		for _, a := range answers {
			all.add(partReport{answer: a}, now)
			otherHalls.add(partReport{answer: a}, now)
		}
	}
	if !sy.reading.Load() {
		if m, ok := all.message(); ok {
			sy.Peers.Send(reader.ID, reader.Addr, m)
		}
		return
	}
	if m, ok := all.message(); ok {
		if to := sy.hallSubscribers(now); len(to) > 0 {
			sy.Peers.SendAll(to, m)
		}
	}
	if m, ok := otherHalls.message(); ok {
		sy.broadcast(m)
	}
}

// dueEvidence returns what is known of suspected parts if it is due.
func (sy *Syncer) dueEvidence(now time.Time) (crashes []quarantine.PartCrash, answers []quarantine.PartAnswer) {
	since := now.Sub(sy.evidenceSentAt)
	if since < recentEvidenceInterval {
		return nil, nil
	}
	crashes, answers = sy.parts.Evidence(now)
	if at, ok := sy.readerReports[evidenceSum(crashes, answers, now)]; ok && !sy.reading.Load() && now.Sub(at) < readerReportTTL {
		// The reader knows the same.
		return nil, nil
	}
	recent := slices.ContainsFunc(crashes, func(c quarantine.PartCrash) bool { return now.Sub(c.At) < evidenceRecent }) ||
		slices.ContainsFunc(answers, func(a quarantine.PartAnswer) bool { return now.Sub(a.At) < evidenceRecent })
	if since < partEvidenceInterval && !recent {
		return nil, nil
	}
	sy.evidenceSentAt = now
	return crashes, answers
}

// readerReportTTL is how long a message about parts from the reader shows what it knows.
const readerReportTTL = 3 * time.Second

// observeReport records what a message about parts holds if it is from the reader.
func (sy *Syncer) observeReport(from string, r gossip.PartReport, now time.Time) {
	maps.DeleteFunc(sy.readerReports, func(_ uint64, at time.Time) bool { return now.Sub(at) >= readerReportTTL })
	if reader, ok := sy.readers.reader(); ok && reader.ID == from {
		sy.readerReports[reportSum(r)] = now
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
func evidenceSum(crashes []quarantine.PartCrash, answers []quarantine.PartAnswer, now time.Time) uint64 {
	var m partMessage
	for _, c := range crashes {
		m.add(partReport{crash: c}, now)
	}
	for _, a := range answers {
		m.add(partReport{answer: a}, now)
	}
	return reportSum(m.report)
}

// takePartReports returns the queued reports as they fit into a message: all, and those for other halls.
func (sy *Syncer) takePartReports(now time.Time) (all, otherHalls partMessage) {
	var waiting []partReport
	size := 0
	for _, r := range sy.pendingParts {
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
	sy.pendingParts = waiting
	return all, otherHalls
}

// partMessage collects reports for a message.
type partMessage struct{ report gossip.PartReport }

func (m *partMessage) add(r partReport, now time.Time) {
	if r.crash.Parts == nil {
		m.report.Answers = append(m.report.Answers, gossip.PartAnswer{Part: uint64(r.answer.Part), AgeMS: ageMS(now, r.answer.At)})
		return
	}
	c := gossip.PartCrash{Server: r.crash.Server, AgeMS: ageMS(now, r.crash.At)}
	for _, p := range r.crash.Parts {
		c.Parts = append(c.Parts, uint64(p))
	}
	m.report.Crashes = append(m.report.Crashes, c)
}

// message returns the message, if there is anything to report.
func (m *partMessage) message() (gossip.Response, bool) {
	if len(m.report.Crashes)+len(m.report.Answers) == 0 {
		return gossip.Response{}, false
	}
	data, err := cbor.Marshal(m.report)
	if err != nil {
		return gossip.Response{}, false
	}
	return gossip.Response{Updates: []gossip.Update{{Topic: gossip.Parts, Rows: []gossip.Row{{Data: data}}}}}, true
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
func (sy *Syncer) trackConfinements(now time.Time) {
	current := map[quarantine.Part]bool{}
	for _, c := range sy.parts.Confinements(now) {
		first := c.Parts[0]
		current[first] = true
		if !sy.confined[first] {
			sy.confined[first] = true
			sy.Log.Warn().Strs("parts", quarantine.PartNames(c.Parts)).Int("crashes", c.Crashes).Dur("for", c.Until.Sub(now)).Dur("trial_in", c.TrialFrom.Sub(now)).Msg("quarantine: requests with these parts get no server because servers exited under them")
		}
		if len(c.Parts) == 1 {
			sy.trackPartRow(first, now)
		}
	}
	for p := range sy.confined {
		if !current[p] {
			delete(sy.confined, p)
			sy.Log.Info().Stringer("part", p).Msg("quarantine: requests with this part get servers again")
		}
	}
}

// partKeyDigits is the length in digits of a part in the key of its row. Daemons that know no parts take
// the row for that of a content that no request has.
const partKeyDigits = 20

func partKey(p quarantine.Part) string {
	return fmt.Sprintf("%s%0*x", quarantinePrefix, partKeyDigits, uint64(p))
}

// trackPartRow schedules the write of the row of a part that is confined alone: at once if this daemon
// has just seen a crash with it, otherwise in turn.
func (sy *Syncer) trackPartRow(p quarantine.Part, now time.Time) {
	if _, tracked := sy.partRows[p]; tracked {
		return
	}
	own := slices.ContainsFunc(sy.ownPartCrashes, func(c quarantine.PartCrash) bool { return slices.Contains(c.Parts, p) })
	c := quarantineRow{due: now, own: own}
	if !own {
		c.due = now.Add(sy.writeDelay(canary.RolledBack))
	}
	sy.partRows[p] = c
}

// writePartRows writes the rows of parts that are confined alone and that the store does not have, and
// the end of those that are confined no more.
func (sy *Syncer) writePartRows(ctx context.Context, now time.Time) {
	for p, c := range sy.partRows {
		key := partKey(p)
		until, in := sy.parts.ConfinedAlone(p, now)
		active := sy.rowActive(key, now)
		if !in && !active {
			delete(sy.partRows, p)
			continue
		}
		if in == active || now.Before(c.due) || !c.own && !sy.reading.Load() {
			continue
		}
		if !in {
			until = now
		}
		sy.partRows[p] = quarantineRow{due: now.Add(nonReaderWriteDelay), own: c.own}
		sy.writeConfinement(ctx, key, until)
	}
}

// readPart reads the row of a part that is confined alone.
func (sy *Syncer) readPart(digits string, until, now time.Time) error {
	p, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return err
	}
	if sy.parts.Confine(quarantine.Part(p), until, now) {
		sy.trackConfinements(now)
	}
	return nil
}
