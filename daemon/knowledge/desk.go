package knowledge

import (
	"strconv"
	"time"

	"ladderridge.example/core/relay"
	"ladderridge.example/core/usage"
)

// Desk has what daemons tell each other of usage. Each tells its own to its hall's reader with
// the questions that it asks anyway; the readers tell each other, and the one that reports, so
// that any of them can take over.
type Desk interface {
	// Tell returns what a reader is to be told along with the question of a number.
	Tell(reader string, nonce uint64, now time.Time) []usage.Record
	// Answered notes that the question was answered.
	Answered(nonce uint64)
	// Hear takes what another daemon tells.
	Hear(records []usage.Record)
	// News returns what other readers are to be told, and who reports, or "".
	News(now time.Time) (records []usage.Record, holder string)
}

// usageEvery is the time between two messages of a reader about usage.
const usageEvery = time.Second

// tellUsage is what the hall's reader is to be told of this daemon's usage. A reader that has
// begun anew knows nothing, and is told all.
func (k *Keeper) tellUsage(reader Member, nonce uint64, now time.Time) []usage.Record {
	if k.Desk == nil {
		return nil
	}
	return k.Desk.Tell(reader.ID+"@"+strconv.FormatUint(reader.Start, 10), nonce, now)
}

// heardUsage takes what another daemon tells of usage.
func (k *Keeper) heardUsage(records []usage.Record) {
	if k.Desk != nil {
		k.Desk.Hear(records)
	}
}

// shareUsage has a reader tell the other ones, and the daemon that reports, what it knows.
func (k *Keeper) shareUsage(now time.Time) {
	if k.Desk == nil || !k.reading.Load() || now.Sub(k.usageAt) < usageEvery {
		return
	}
	k.usageAt = now
	records, holder := k.Desk.News(now)
	if len(records) == 0 {
		return
	}
	k.tellAbroadAnd((*k.members.Load())[holder], relay.Tell{Usage: records})
}
