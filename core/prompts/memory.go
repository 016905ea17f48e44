// Package prompts remembers which prompts a model server has probably in its
// memory, by what was sent there. Servers keep what they have read of a prompt
// by its parts, each of which counts only behind those before it, and let go of
// what was used longest ago.
package prompts

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt, which other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Tokens is the length of some parts of a prompt.
func Tokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

const (
	// standardLimit is the prompt memory of a server that states none, in tokens:
	// the least that model servers with one accelerator have.
	standardLimit = 200_000
	// forgetAfter is how long a part that was not used again is taken to be there:
	// other daemons send prompts to the same servers, unseen from here.
	forgetAfter = time.Minute
)

// Memory is what one server has probably read. It is safe for concurrent use.
type Memory struct {
	mu sync.Mutex
	// limit and used are in tokens.
	limit   int
	used    int
	entries map[uint64]*list.Element
	// order has the entries, the latest used first.
	order *list.List
}

// entry is one part behind those before it, for one model.
type entry struct {
	key    uint64
	tokens int
	at     time.Time
}

// NewMemory returns an empty memory of a standard size.
func NewMemory() *Memory {
	return &Memory{limit: standardLimit, entries: map[uint64]*list.Element{}, order: list.New()}
}

// SetLimit sets the size of the server's memory in tokens, if it is known.
func (m *Memory) SetLimit(tokens int) {
	if tokens <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = tokens
}

// first is the key that a model's prompts begin with.
func first(model string) uint64 { return xxhash.Sum64String(model) }

// next is the key of a part behind what another key stands for.
func next(key uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Missing is how many tokens of a prompt a model of the server would have to
// read.
func (m *Memory) Missing(model string, parts []Part, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := first(model)
	for i, p := range parts {
		key = next(key, p.ID)
		e, ok := m.entries[key]
		if !ok || now.Sub(e.Value.(*entry).at) > forgetAfter {
			return Tokens(parts[i:])
		}
	}
	return 0
}

// Read notes that a model of the server reads a prompt.
func (m *Memory) Read(model string, parts []Part, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := first(model)
	for _, p := range parts {
		key = next(key, p.ID)
		if e, ok := m.entries[key]; ok {
			e.Value.(*entry).at = now
			m.order.MoveToFront(e)
			continue
		}
		m.entries[key] = m.order.PushFront(&entry{key: key, tokens: p.Tokens, at: now})
		m.used += p.Tokens
	}
	for m.used > m.limit && m.order.Len() > 0 {
		m.drop(m.order.Back())
	}
}

// drop forgets an entry.
func (m *Memory) drop(e *list.Element) {
	old := m.order.Remove(e).(*entry)
	delete(m.entries, old.key)
	m.used -= old.tokens
}
