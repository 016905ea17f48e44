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

func missing(t *testing.T, c *prefixcache.Cache, want int, parts ...prefixcache.Part) {
	t.Helper()
	if n := c.MissingTokens(prefixcache.NewPrompt("small", parts), now); n != want {
		t.Errorf("%d tokens of %v are not cached, want %d", n, parts, want)
	}
}

func TestPrefixIsCachedOnceProcessed(t *testing.T) {
	c := prefixcache.NewCache()
	missing(t, c, 6100, policy, own)
	c.Add(prefixcache.NewPrompt("small", []prefixcache.Part{policy, own}), now)
	missing(t, c, 0, policy, own)
	missing(t, c, 500, policy, form)
	// A part is cached only behind the parts that preceded it.
	missing(t, c, 6500, form, policy)
	if n := c.MissingTokens(prefixcache.NewPrompt("large", []prefixcache.Part{policy, own}), now); n != 6100 {
		t.Errorf("%d tokens are not cached for another model, want 6100", n)
	}
}

func TestLeastRecentlyUsedPartIsEvicted(t *testing.T) {
	c := prefixcache.NewCache()
	// The rest of the cache of 200,000 tokens is as long as policy, form and own.
	filler := prefixcache.Part{ID: "filler", Tokens: 200_000 - 6600}
	c.Add(prefixcache.NewPrompt("small", []prefixcache.Part{policy}), now)
	c.Add(prefixcache.NewPrompt("small", []prefixcache.Part{form}), now)
	c.Add(prefixcache.NewPrompt("small", []prefixcache.Part{filler}), now)
	c.Add(prefixcache.NewPrompt("small", []prefixcache.Part{policy}), now)
	c.Add(prefixcache.NewPrompt("small", []prefixcache.Part{own, own}), now)
	missing(t, c, 0, policy)
	missing(t, c, 500, form)
}

func TestUnusedPartExpires(t *testing.T) {
	c := prefixcache.NewCache()
	c.Add(prefixcache.NewPrompt("small", []prefixcache.Part{policy}), now.Add(-2*time.Minute))
	missing(t, c, 6000, policy)
}
