// Package prefixcache remembers which prompts a model server has probably in its
// memory, by what was sent there. Servers keep what they have read of a prompt
// by its parts, each of which counts only behind those before it, and let go of
// what was used longest ago.
package prefixcache

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
	// limit is the prompt memory that a server is taken to have, in tokens: the least
	// that model servers with one accelerator have.
	limit = 200_000
	// forgetAfter is how long a part that was not used again is taken to be there:
	// other daemons send prompts to the same servers, unseen from here.
	forgetAfter = time.Minute
)

// Memory is what one server has probably read. It is safe for concurrent use.
type Memory struct {
	mu sync.Mutex
	// used is in tokens.
	used    int
	entries map[uint64]*list.Element
	// order has the entries, the latest used first.
	order *list.List
}

// entry is a part that the server has read and when it was last used.
type entry struct {
	key key
	at  time.Time
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{entries: map[uint64]*list.Element{}, order: list.New()}
}

// Prompt is what a model is to read: its parts, each named by what stands before it
// as well. It is made once for a request and asked of many servers. It is never
// changed.
type Prompt struct {
	keys []key
}

// key names a part behind those before it, for one model.
type key struct {
	hash   uint64
	tokens int
}

// For returns the prompt that a model is to read.
func For(model string, parts []Part) Prompt {
	p := Prompt{keys: make([]key, 0, len(parts))}
	hash := xxhash.Sum64String(model)
	for _, part := range parts {
		var d xxhash.Digest
		d.ResetWithSeed(hash)
		_, _ = d.WriteString(part.ID)
		hash = d.Sum64()
		p.keys = append(p.keys, key{hash: hash, tokens: part.Tokens})
	}
	return p
}

// Own is the length of the last part, which no other request shares, in tokens.
func (p Prompt) Own() int {
	if len(p.keys) == 0 {
		return 0
	}
	return p.keys[len(p.keys)-1].tokens
}

// Missing is how many tokens of a prompt the server would have to read.
func (m *Memory) Missing(p Prompt, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	missing, known := 0, true
	for _, k := range p.keys {
		known = known && m.has(k.hash, now)
		if !known {
			missing += k.tokens
		}
	}
	return missing
}

func (m *Memory) has(hash uint64, now time.Time) bool {
	e, ok := m.entries[hash]
	return ok && now.Sub(e.Value.(*entry).at) <= forgetAfter
}

// Read notes that the server reads a prompt.
func (m *Memory) Read(p Prompt, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range p.keys {
		if e, ok := m.entries[k.hash]; ok {
			e.Value.(*entry).at = now
			m.order.MoveToFront(e)
			continue
		}
		m.entries[k.hash] = m.order.PushFront(&entry{key: k, at: now})
		m.used += k.tokens
	}
	for m.used > limit && m.order.Len() > 0 {
		m.drop(m.order.Back())
	}
}

// drop forgets an entry.
func (m *Memory) drop(e *list.Element) {
	old := m.order.Remove(e).(*entry)
	delete(m.entries, old.key.hash)
	m.used -= old.key.tokens
}
