package claim_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ladderridge.example/core/claim"
)

var now = time.UnixMilli(1_800_000_000_000)

func TestDecisions(t *testing.T) {
	open := claim.Record{Claimer: "a", Fingerprint: "p", State: claim.Open, UntilUnixMS: now.Add(8 * time.Second).UnixMilli()}
	done := open.WithAnswer(200, "text/plain", []byte("x"))
	late := open
	late.UntilUnixMS = now.UnixMilli()
	for name, c := range map[string]struct {
		found claim.Record
		id    string
		print string
		want  claim.Decision
	}{
		"own":                    {open, "a", "p", claim.Own{}},
		"in progress":            {open, "b", "p", claim.InProgress{RetryAfter: 2 * time.Second}},
		"deadline passed":        {late, "b", "p", claim.OutcomeUnknown{}},
		"has run":                {done, "b", "p", claim.Replay{Record: done}},
		"outcome unknown":        {open.WithUnknown(), "b", "p", claim.OutcomeUnknown{}},
		"key of another request": {done, "b", "q", claim.KeyReused{}},
		"key reused now":         {open, "b", "q", claim.KeyReused{}},
	} {
		if diff := cmp.Diff(c.want, claim.Decide(c.found, c.id, c.print, now)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func TestLargeAnswerIsNotRecorded(t *testing.T) {
	r := claim.Record{}.WithAnswer(200, "text/plain", make([]byte, claim.MaxBody+1))
	if !r.Truncated || r.Body != nil || r.State != claim.Done {
		t.Errorf("got %+v", r)
	}
}
