package prompts_test

import (
	"testing"
	"time"

	"ladderridge.example/core/prompts"
)

var (
	now    = time.Unix(1000, 0)
	policy = prompts.Part{ID: "policy", Tokens: 6000}
	form   = prompts.Part{ID: "form", Tokens: 500}
	own    = prompts.Part{ID: "own", Tokens: 100}
)

func missing(t *testing.T, m *prompts.Memory, want int, parts ...prompts.Part) {
	t.Helper()
	if n := m.Missing(prompts.For("small", parts), now); n != want {
		t.Errorf("%d tokens of %v are missing, want %d", n, parts, want)
	}
}

func TestWhatWasReadNeedNotBeReadAgain(t *testing.T) {
	m := prompts.NewMemory()
	missing(t, m, 6100, policy, own)
	m.Read(prompts.For("small", []prompts.Part{policy, own}), now)
	missing(t, m, 0, policy, own)
	missing(t, m, 500, policy, form)
	// A part counts only behind those that it was read behind.
	missing(t, m, 6500, form, policy)
	if n := m.Missing(prompts.For("large", []prompts.Part{policy, own}), now); n != 6100 {
		t.Errorf("another model has %d tokens missing", n)
	}
}

func TestWhatWasUsedLongestAgoGoesFirst(t *testing.T) {
	m := prompts.NewMemory()
	// What is left of the memory of 200,000 tokens is as long as policy, form and own.
	filler := prompts.Part{ID: "filler", Tokens: 200_000 - 6600}
	m.Read(prompts.For("small", []prompts.Part{policy}), now)
	m.Read(prompts.For("small", []prompts.Part{form}), now)
	m.Read(prompts.For("small", []prompts.Part{filler}), now)
	m.Read(prompts.For("small", []prompts.Part{policy}), now)
	m.Read(prompts.For("small", []prompts.Part{own, own}), now)
	missing(t, m, 0, policy)
	missing(t, m, 500, form)
}

func TestWhatIsNotUsedIsForgotten(t *testing.T) {
	m := prompts.NewMemory()
	m.Read(prompts.For("small", []prompts.Part{policy}), now.Add(-2*time.Minute))
	missing(t, m, 6000, policy)
}
