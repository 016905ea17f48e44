package verdict_test

import (
	"math/rand/v2"
	"net/http"
	"testing"

	"ladderridge.example/core/verdict"
)

// Guards against sound responses that are dropped, and against responses that pass for what they do not say that
// they are: a success without a signature, and a promise that a request that has run has not.
func TestResponseIsOnlyWhatItSays(t *testing.T) {
	this, signed := verdict.Head{Subject: verdict.ThisRequest}, verdict.Head{Subject: verdict.ThisRequest, Signed: true}
	with := func(h verdict.Head, status int) verdict.Head {
		h.Status = status
		return h
	}
	refusal := func(h verdict.Head, status int) verdict.Head {
		h.Status, h.NotRun = status, true
		return h
	}
	encoded, elsewhere := signed, this
	encoded.Encoded, elsewhere.OtherServer = true, true
	for _, c := range []struct {
		name   string
		head   verdict.Head
		unused bool
		want   string
	}{
		{"success", with(signed, 200), false, "answer"},
		{"success on a new connection", with(signed, 200), true, "answer"},
		{"success without a body", with(signed, 204), false, "answer"},
		{"redirection", with(signed, 302), false, "answer"},
		{"not found", with(signed, 404), false, "answer"},
		{"failure", with(signed, 500), false, "failure"},
		{"failure at the deadline", with(signed, 504), false, "failure"},
		{"unsigned failure", with(this, 500), false, "failure"},
		{"full", refusal(this, 503), false, "decline"},
		{"over a limit", refusal(this, 429), false, "decline"},
		{"not understood", refusal(this, 400), false, "decline"},
		{"not understood, no ID", refusal(verdict.Head{}, 400), true, "decline"},
		{"another server at the address", refusal(this, 421), false, "decline"},
		{"another server that names itself", with(elsewhere, 421), false, "decline"},
		{"answer to another request", with(verdict.Head{Subject: verdict.AnotherRequest, Signed: true}, 200), true, "surplus"},
		{"surplus without an ID", with(verdict.Head{Signed: true}, 200), false, "surplus"},
		{"surplus refusal without an ID", refusal(verdict.Head{}, 400), false, "surplus"},

		{"success without a signature", with(this, 200), false, "unsigned"},
		{"success without a body or signature", with(this, 204), true, "unsigned"},
		{"not found without a signature", with(this, 404), true, "unsigned"},
		{"redirection without a signature", with(this, 307), true, "unsigned"},
		{"signed success without an ID", with(verdict.Head{Signed: true}, 200), true, "unnamed"},
		{"failure without an ID", with(verdict.Head{}, 500), true, "unnamed"},
		{"refusal without an ID", with(verdict.Head{}, 503), true, "unnamed"},
		{"refusal that says it has not run, without an ID", refusal(verdict.Head{}, 503), true, "unnamed"},
		{"wrong server without an ID", with(verdict.Head{OtherServer: true}, 421), true, "unnamed"},
		{"encoded success", with(encoded, 200), false, "encoded"},
		{"time-out that does not say that it has not run", with(signed, 408), false, "unproven refusal"},
		{"wrong server that does not say so", with(this, 421), false, "unproven refusal"},
		{"too many that does not say so", with(this, 429), true, "unproven refusal"},
		{"signed refusal that does not say so", with(signed, 503), false, "unproven refusal"},
		{"success that has not run", refusal(signed, 200), false, "contradictory"},
		{"failure that has not run", refusal(this, 500), false, "contradictory"},
		{"status out of range", with(signed, 700), false, "bad status"},
	} {
		if got := name(verdict.Classify(c.head, c.unused)); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// name returns the kind of a response, with the reason if it is invalid.
func name(k verdict.Kind) string {
	switch k := k.(type) {
	case verdict.Answer:
		return "answer"
	case verdict.Failure:
		return "failure"
	case verdict.Decline:
		return "decline"
	case verdict.Surplus:
		return "surplus"
	case verdict.Invalid:
		return k.Reason.String()
	}
	return ""
}

// Guards against combinations that the table of heads lacks: 100,000 drawn ones.
func TestNoDrawnResponseIsForwardedOrDeclinedWithoutProof(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	flip := func() bool { return rng.IntN(2) == 0 }
	for range 100_000 {
		h := verdict.Head{Status: rng.IntN(1000), Subject: verdict.Subject(rng.IntN(3)), Signed: flip(), Encoded: flip(), NotRun: flip(), OtherServer: flip()}
		unused := flip()
		k := verdict.Classify(h, unused)
		if f, ok := k.(verdict.Forwardable); ok {
			promise := f.Status() == 408 || f.Status() == 421 || f.Status() == 429 || f.Status() == 503
			if f.Status() != h.Status || promise || h.NotRun || h.Encoded || h.Subject != verdict.ThisRequest || (h.Status < http.StatusInternalServerError && !h.Signed) || !k.MayHaveRun() {
				t.Fatalf("%+v, unused %v: forwarded as %#v", h, unused, k)
			}
		}
		if _, ok := k.(verdict.Decline); ok == k.MayHaveRun() || ok && !h.NotRun && (!h.OtherServer || h.Status != 421) {
			t.Fatalf("%+v, unused %v: %#v", h, unused, k)
		}
	}
}
