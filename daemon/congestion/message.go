package congestion

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/price"
)

const (
	// maxServices and maxUses bound the services and organisations in a message: those with the
	// most answers and the most work are sent.
	maxServices = 10
	maxUses     = 32
	// maxAnswers bounds the answers of a service in a message, and maxDaemonAnswers those in the
	// report of one daemon. A daemon on a small VM handles fewer than a thousand requests a
	// second, and half a second of them counts.
	maxAnswers       = 1 << 15
	maxDaemonAnswers = 500
	// shareSteps is the number of steps of a mean share of 1 in a message, so that a byte holds
	// price.MaxShare.
	shareSteps = 63
	// workUnit is the unit of work in a message, so that a byte holds 16 million tokens.
	workUnit = 256
	// The sizes of a service's waits, of the header of uses and of one use, in bytes.
	waitSize, useHeader, useSize = 6, 6, 5
)

// message is the encoding of a report. Numbers are packed: as CBOR integers and floating-point
// numbers, the figures of ten services would exceed their traffic.
type message struct {
	_ struct{} `cbor:",toarray"`
	// Waits has for each service its hash, the number of answers and their mean share.
	Waits []byte
	// Uses has the hash of a service, the number of organisations that are not listed and their
	// work, and for each listed one its hash and work. It is empty in most messages.
	Uses []byte
}

// report is the figures of a daemon, a hall or all halls, by hash of the service.
type report struct {
	at    time.Time
	waits map[uint32]price.Wait
	uses  map[uint32]usage
}

// withUsesOf returns the report with the uses of a previous one where it has none and they have
// not expired: a message has the uses of one service at most.
func (r report) withUsesOf(previous report, now time.Time) report {
	for id, g := range previous.uses {
		if _, ok := r.uses[id]; !ok && now.Sub(g.at) < totalUsesLifetime {
			r.uses[id] = g
		}
	}
	return r
}

// encode returns the report as a message, or nil if it is empty. It contains uses in that slot.
func (r report) encode(now time.Time, useSlot int64) []byte {
	var m message
	ids := slices.SortedFunc(maps.Keys(r.waits), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(r.waits[b].Count, r.waits[a].Count), cmp.Compare(a, b))
	})
	for _, id := range ids[:min(len(ids), maxServices)] {
		w := r.waits[id]
		m.Waits = binary.BigEndian.AppendUint32(m.Waits, id)
		m.Waits = append(m.Waits, gossip.PackLoad(min(w.Count, maxAnswers)), byte(math.Round(shareSteps*min(price.MaxShare, w.Mean()))))
	}
	if ids := slices.Sorted(maps.Keys(r.uses)); len(ids) > 0 && slot(now)%useSlots == useSlot {
		id := ids[int(slot(now)/useSlots)%len(ids)]
		m.Uses = r.uses[id].pack(id)
	}
	if len(m.Waits)+len(m.Uses) == 0 {
		return nil
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil
	}
	return data
}

// pack encodes a usage of a service.
func (g usage) pack(service uint32) []byte {
	ids := slices.SortedFunc(maps.Keys(g.work), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(g.work[b], g.work[a]), cmp.Compare(a, b))
	})
	listed := ids[:min(len(ids), maxUses)]
	rest := g.rest
	for _, id := range ids[len(listed):] {
		rest += g.work[id]
	}
	data := binary.BigEndian.AppendUint32(nil, service)
	data = append(data, byte(min(math.MaxUint8, max(g.restCount, len(ids)-len(listed)))), gossip.PackLoad(rest/workUnit))
	for _, id := range listed {
		data = append(binary.BigEndian.AppendUint32(data, id), gossip.PackLoad(g.work[id]/workUnit))
	}
	return data
}

// decode returns the report in a message. It returns false if the message is not valid or has more
// answers of a service than most.
func decode(data []byte, most float64, now time.Time) (report, bool) {
	r := report{at: now, waits: map[uint32]price.Wait{}, uses: map[uint32]usage{}}
	var m message
	if cbor.Unmarshal(data, &m) != nil || len(m.Waits)%waitSize != 0 || len(m.Waits) > waitSize*maxServices {
		return r, false
	}
	for w := range slices.Chunk(m.Waits, waitSize) {
		count, share := gossip.UnpackLoad(w[4]), float64(w[5])/shareSteps
		if count > most || share > price.MaxShare {
			return r, false
		}
		r.waits[binary.BigEndian.Uint32(w)] = price.Wait{Count: count, Share: count * share}
	}
	if len(m.Uses) == 0 {
		return r, true
	}
	if len(m.Uses) < useHeader || (len(m.Uses)-useHeader)%useSize != 0 || len(m.Uses) > useHeader+useSize*maxUses {
		return r, false
	}
	g := usage{at: now, work: map[uint32]float64{}, restCount: int(m.Uses[4]), rest: workUnit * gossip.UnpackLoad(m.Uses[5])}
	for u := range slices.Chunk(m.Uses[useHeader:], useSize) {
		g.work[binary.BigEndian.Uint32(u)] = workUnit * gossip.UnpackLoad(u[4])
	}
	r.uses[binary.BigEndian.Uint32(m.Uses)] = g
	return r, true
}
