package quarantine_test

import (
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

// crashWith records crashes of new servers with some parts in flight, a second apart.
func crashWith(reg *quarantine.Registry, now time.Time, n int, parts ...quarantine.Part) time.Time {
	for range n {
		now = now.Add(time.Second)
		reg.RecordCrash(quarantine.Crash{Parts: parts, Server: uint64(now.UnixNano()), At: now}, now) //nolint:gosec // An id.
	}
	return now
}

func confined(reg *quarantine.Registry, now time.Time, parts ...quarantine.Part) bool {
	_, ok := reg.Confined(parts, now)
	return ok
}

// Guards against sound requests that are refused since their part was in flight at each crash, too.
func TestPartsOfTheSameCrashesAreConfinedTogether(t *testing.T) {
	reg := quarantine.NewPartRegistry()
	now := crashWith(reg, start, 4, 1, 2)
	if confined(reg, now, 1, 2) {
		t.Error("confined after four crashes")
	}
	now = crashWith(reg, now, 1, 1, 2)
	if !confined(reg, now, 1, 2, 3) || confined(reg, now, 1, 3) || confined(reg, now, 2, 3) {
		t.Error("after five crashes: not confined, or requests with one of the parts are")
	}
	reg.Answered([]quarantine.Part{1, 3}, quarantine.AnyGroup, 0, now)
	if !confined(reg, now, 2) || confined(reg, now, 1) {
		t.Error("after an answer with the other part: not confined alone")
	}
}

// Guards against a part that is taken for sound for ever since it was answered before it crashed servers.
func TestAnsweredPartIsConfinedWhenItCrashesServersLater(t *testing.T) {
	reg := quarantine.NewPartRegistry()
	reg.Answered([]quarantine.Part{1}, quarantine.AnyGroup, 0, start)
	now := crashWith(reg, start, 5, 1)
	if !confined(reg, now, 1) {
		t.Error("not confined")
	}
}

// Guards against crashes that count at daemons which have not answered the part themselves.
func TestAnswersOfOtherDaemonsEndTheCount(t *testing.T) {
	here, there := quarantine.NewPartRegistry(), quarantine.NewPartRegistry()
	now := crashWith(here, start, 4, 1)
	crashWith(there, start, 4, 1)
	there.Answered([]quarantine.Part{1}, quarantine.AnyGroup, 0, now)
	news := there.Announcements(now)
	if len(news) != 1 || !here.RecordAnswer(news[0], now) || here.RecordAnswer(news[0], now) {
		t.Fatalf("announced %v, or not news once", news)
	}
	if again := there.Announcements(now); len(again) > 0 {
		t.Errorf("announced twice: %v", again)
	}
	if now = crashWith(here, now, 4, 1); confined(here, now, 1) {
		t.Error("crashes before the answer still count")
	}
}

// Guards against callers that are refused for long after the servers were fixed, and against a trial at
// each daemon while they are not.
func TestFixedPartIsServedAgainAfterATrial(t *testing.T) {
	reg := quarantine.NewPartRegistry()
	now := crashWith(reg, start, 5, 1)
	if retryAt, ok := reg.Confined([]quarantine.Part{1}, now); !ok || retryAt.Sub(now) != 30*time.Second {
		t.Errorf("the next trial is in %v", retryAt.Sub(now))
	}
	if reg.TakeTrial([]quarantine.Part{1}, now.Add(29*time.Second)) {
		t.Error("trial too early")
	}
	now = now.Add(31 * time.Second)
	if !reg.TakeTrial([]quarantine.Part{1}, now) || reg.TakeTrial([]quarantine.Part{1}, now) {
		t.Error("not one trial")
	}
	failed := crashWith(reg, now, 1, 1)
	if retryAt, ok := reg.Confined([]quarantine.Part{1}, failed); !ok || retryAt.Sub(failed) != 90*time.Second {
		t.Errorf("after a trial that crashed a server the next one is in %v", retryAt.Sub(failed))
	}
	reg.Answered([]quarantine.Part{1}, quarantine.AnyGroup, 0, failed.Add(time.Second))
	if confined(reg, failed.Add(time.Second), 1) {
		t.Error("confined after its answer")
	}
	now = crashWith(reg, failed.Add(time.Minute), 5, 1)
	if confined(reg, now.Add(11*time.Minute), 1) {
		t.Error("the confinement does not expire")
	}
}

// Guards against daemons that start without the confinements that are in force.
func TestStoredConfinementAppliesUntilAnAnswer(t *testing.T) {
	reg := quarantine.NewPartRegistry()
	now := start.Add(time.Minute)
	if !reg.Confine(1, now.Add(9*time.Minute), now) || reg.Confine(1, now.Add(9*time.Minute), now) || !confined(reg, now, 1, 2) {
		t.Error("not confined, or news twice")
	}
	reg.Answered([]quarantine.Part{1}, quarantine.AnyGroup, 0, now)
	if confined(reg, now, 1) || reg.Confine(1, now.Add(9*time.Minute), now) {
		t.Error("confined after an answer")
	}
	reg.Confine(2, now.Add(time.Minute), now)
	reg.Confine(2, now, now)
	if confined(reg, now, 2) {
		t.Error("confined after its end was read")
	}
}

func TestPartRegistryIsBounded(t *testing.T) {
	reg := quarantine.NewPartRegistry()
	now := crashWith(reg, start, 5, 1)
	for p := quarantine.Part(10); p < 20_000; p += 20 {
		var parts []quarantine.Part
		for i := range quarantine.Part(20) {
			parts = append(parts, p+i)
		}
		reg.Answered(parts, quarantine.AnyGroup, 0, now)
		now = crashWith(reg, now, 1, parts...)
		now = now.Add(-time.Second)
	}
	if n := reg.Len(); n > 4096 || !confined(reg, now, 1) {
		t.Errorf("%d parts in the registry, or a confinement was evicted", n)
	}
}

// Guards against requests that become slow while something is confined.
func TestConfinementAllocatesNothing(t *testing.T) {
	reg := quarantine.NewPartRegistry()
	now := crashWith(reg, start, 5, 1)
	parts := []quarantine.Part{2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21}
	if n := testing.AllocsPerRun(100, func() { reg.Confined(parts, now) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkConfined(b *testing.B) {
	reg := quarantine.NewPartRegistry()
	now := crashWith(reg, start, 5, 1)
	parts := make([]quarantine.Part, 20)
	for i := range parts {
		parts[i] = quarantine.Part(i + 2)
	}
	for b.Loop() {
		reg.Confined(parts, now)
	}
}
