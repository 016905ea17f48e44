package notice_test

import (
	"testing"
	"time"

	"ladderridge.example/core/notice"
)

func TestRatesAreParsed(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   notice.Limit
	}{
		"a decimal number":         {[]string{"1.6"}, notice.Limit{Rate: 1.6}},
		"blanks":                   {[]string{" 20 "}, notice.Limit{Rate: 20}},
		"none":                     {nil, notice.Limit{}},
		"zero is the least":        {[]string{"0"}, notice.Limit{Rate: notice.MinRate}},
		"next to nothing":          {[]string{"0.001"}, notice.Limit{Rate: notice.MinRate}},
		"twice, the lower counts":  {[]string{"3", "2"}, notice.Limit{Rate: 2}},
		"twice in one line":        {[]string{"2, 3"}, notice.Limit{Rate: 2}},
		"no number":                {[]string{"few"}, notice.Limit{Malformed: "few"}},
		"empty":                    {[]string{""}, notice.Limit{Malformed: "nothing"}},
		"negative":                 {[]string{"-1"}, notice.Limit{Malformed: "-1"}},
		"not finite":               {[]string{"+Inf"}, notice.Limit{Malformed: "+Inf"}},
		"no number either":         {[]string{"NaN"}, notice.Limit{Malformed: "NaN"}},
		"too large for a number":   {[]string{"1e999"}, notice.Limit{Malformed: "1e999"}},
		"one of two is no number":  {[]string{"x", "5"}, notice.Limit{Rate: 5, Malformed: "x"}},
		"a unit is not a number":   {[]string{"5/s"}, notice.Limit{Malformed: "5/s"}},
		"a list with an empty end": {[]string{"5,"}, notice.Limit{Rate: 5, Malformed: "5,"}},
	} {
		if got := notice.ParseRates(c.values); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// A delayed answer must not lift a limit that the server announced in the meantime.
func TestOlderAnswerDoesNotLiftLimit(t *testing.T) {
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var s notice.LimitState
	s = s.With(notice.Limit{Rate: 2}, at(100), at(200), "")
	if s = s.With(notice.Limit{Lifted: true}, at(150), at(300), ""); s.Rate != 2 {
		t.Fatalf("lifted by an answer to a request that was sent before: %+v", s)
	}
	if s = s.With(notice.Limit{Rate: 5}, at(150), at(300), ""); s.Rate != 2 {
		t.Errorf("raised by an answer to a request that was sent before: %+v", s)
	}
	if s = s.With(notice.Limit{Rate: 1}, at(150), at(300), ""); s.Rate != 1 {
		t.Errorf("not lowered: %+v", s)
	}
	if s = s.With(notice.Limit{Rate: 1}, at(400), at(500), ""); s.Since != at(300) {
		t.Errorf("since %v", s.Since)
	}
	if s = s.With(notice.Limit{}, at(600), at(700), ""); s.Rate != 1 {
		t.Errorf("changed by an answer that says nothing: %+v", s)
	}
	if s = s.With(notice.Limit{Lifted: true}, at(600), at(700), ""); s.Rate != 0 {
		t.Errorf("not lifted: %+v", s)
	}
	if s = s.With(notice.Limit{Rate: 3}, at(100), at(550), ""); s.Rate != 0 {
		t.Errorf("named by an answer that is older than the end of the limit: %+v", s)
	}
}

func TestMalformedLimitChangesNothing(t *testing.T) {
	s := notice.LimitState{}.With(notice.Limit{Rate: 2}, now, now, "")
	next := s.With(notice.Limit{Malformed: "few"}, now.Add(time.Second), now.Add(2*time.Second), "")
	if next.Rate != 2 || !next.Differs(s) {
		t.Errorf("%+v after %+v", next, s)
	}
}
