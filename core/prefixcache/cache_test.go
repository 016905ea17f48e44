package prefixcache_test

import (
	"testing"
	"time"

	"ladderridge.example/core/prefixcache"
)

var (
	now    = time.Unix(1000, 0)
	policy = prefixcache.Part{ID: "policy", Tokens: 6000}
	form   = prefixcache.Part{ID: "form", Tokens: 500}
	own    = prefixcache.Part{ID: "own", Tokens: 100}
)

func missing(t *testing.T, m *prefixcache.Memory, want int, parts ...prefixcache.Part) {
	t.Helper()
	if n := m.Missing(prefixcache.For("small", parts), now); n != want {
		t.Errorf("%d tokens of %v are missing, want %d", n, parts, want)
	}
}

func TestWhatWasReadNeedNotBeReadAgain(t *testing.T) {
	m := prefixcache.NewMemory()
	missing(t, m, 6100, policy, own)
	m.Read(prefixcache.For("small", []prefixcache.Part{policy, own}), now)
	missing(t, m, 0, policy, own)
	missing(t, m, 500, policy, form)
	// A part counts only behind those that it was read behind.
	missing(t, m, 6500, form, policy)
	if n := m.Missing(prefixcache.For("large", []prefixcache.Part{policy, own}), now); n != 6100 {
		t.Errorf("another model has %d tokens missing", n)
	}
}

func TestWhatWasUsedLongestAgoGoesFirst(t *testing.T) {
	m := prefixcache.NewMemory()
	// What is left of the memory of 200,000 tokens is as long as policy, form and own.
	filler := prefixcache.Part{ID: "filler", Tokens: 200_000 - 6600}
	m.Read(prefixcache.For("small", []prefixcache.Part{policy}), now)
	m.Read(prefixcache.For("small", []prefixcache.Part{form}), now)
	m.Read(prefixcache.For("small", []prefixcache.Part{filler}), now)
	m.Read(prefixcache.For("small", []prefixcache.Part{policy}), now)
	m.Read(prefixcache.For("small", []prefixcache.Part{own, own}), now)
	missing(t, m, 0, policy)
	missing(t, m, 500, form)
}

func TestWhatIsNotUsedIsForgotten(t *testing.T) {
	m := prefixcache.NewMemory()
	m.Read(prefixcache.For("small", []prefixcache.Part{policy}), now.Add(-2*time.Minute))
	missing(t, m, 6000, policy)
}
