package notice_test

import (
	"testing"
	"time"

	"ladderridge.example/core/notice"
)

func TestBackoffIsParsed(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "1e3": 1000 * time.Second, "1e300": notice.MaxBackoff, "+Inf": notice.MaxBackoff,
		"": 0, "0": 0, "-1": 0, "NaN": 0, "soon": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		if got := notice.ParseSeconds(value); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

func TestNoticeAsText(t *testing.T) {
	for n, want := range map[notice.Notice]string{
		{}:                                    "",
		{Leaving: true}:                       "leaving",
		{Backoff: 1500 * time.Millisecond}:    "wants rest 1.5s",
		{Leaving: true, Backoff: time.Second}: "leaving, wants rest 1s",
	} {
		if n.String() != want || n.Any() != (want != "") {
			t.Errorf("%+v: %q, says %v", n, n, n.Any())
		}
	}
}
