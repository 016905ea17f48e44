// Package prefixcache predicts which prompt prefixes a model server has cached, by the
// requests that were sent to it. Servers cache a prompt by its parts, each of which is
// usable only behind the same preceding parts, and evict the least recently used ones.
package prefixcache

import (
	"container/list"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Tokens returns the length of some parts of a prompt.
func Tokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

const (
	// capacity is the assumed cache size of a server in tokens: the least that model
	// servers with one accelerator have.
	capacity = 200_000
	// maxAge is how long a part is assumed to stay cached without being used again:
	// other daemons send prompts to the same servers, which this daemon does not see.
	maxAge = time.Minute
)

// Cache is the predicted prefix cache of one server. It is safe for concurrent use.
type Cache struct {
	mu sync.Mutex
	// used is in tokens.
	used    int
	entries map[uint64]*list.Element
	// order holds the entries, the most recently used first.
	order *list.List
}

// entry is a cached part and when it was last used.
type entry struct {
	key key
	at  time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{entries: map[uint64]*list.Element{}, order: list.New()}
}

// Prompt is a prompt for a model: its parts, each identified together with the parts
// before it. It is created once for a request and looked up for many servers. It is
// immutable.
type Prompt struct {
	keys []key
}

// key identifies a part together with the parts before it, for one model.
type key struct {
	hash   uint64
	tokens int
}

// NewPrompt returns the prompt for a model.
func NewPrompt(model string, parts []Part) Prompt {
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

// UniqueTokens returns the length of the last part, which no other request shares, in
// tokens.
func (p Prompt) UniqueTokens() int {
	if len(p.keys) == 0 {
		return 0
	}
	return p.keys[len(p.keys)-1].tokens
}

// MissingTokens returns how many tokens of a prompt the server has to process.
func (c *Cache) MissingTokens(p Prompt, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing, cached := 0, true
	for _, k := range p.keys {
		cached = cached && c.contains(k.hash, now)
		if !cached {
			missing += k.tokens
		}
	}
	return missing
}

func (c *Cache) contains(hash uint64, now time.Time) bool {
	e, ok := c.entries[hash]
	return ok && now.Sub(e.Value.(*entry).at) <= maxAge
}

// Add records that the server processes a prompt.
func (c *Cache) Add(p Prompt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range p.keys {
		if e, ok := c.entries[k.hash]; ok {
			e.Value.(*entry).at = now
			c.order.MoveToFront(e)
			continue
		}
		c.entries[k.hash] = c.order.PushFront(&entry{key: k, at: now})
		c.used += k.tokens
	}
	for c.used > capacity && c.order.Len() > 0 {
		c.evict(c.order.Back())
	}
}

// evict removes an entry.
func (c *Cache) evict(e *list.Element) {
	old := c.order.Remove(e).(*entry)
	delete(c.entries, old.key.hash)
	c.used -= old.key.tokens
}
