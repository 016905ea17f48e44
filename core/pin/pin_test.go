package pin_test

import (
	"testing"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/pin"
	"ladderridge.example/core/table"
)

var (
	oldKey = []byte("an old key of 16+ bytes")
	newKey = []byte("a new key of 16+ bytes.")
)

func TestTokenRoundTrip(t *testing.T) {
	want := pin.Pin{Organisation: "o", Session: "s", Ref: table.Ref{Model: "m", Version: "v"}, Generation: 7}
	token := pin.Keys{oldKey}.Seal(want)
	got, err := pin.Keys{newKey, oldKey}.Open(token)
	if err != nil || got != want {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := (pin.Keys{newKey}).Open(token); !fault.Is(err, pin.Forged) {
		t.Errorf("without the key that sealed it: %v", err)
	}
}

// TestChangedTokenIsRefused changes a random byte of a token.
func TestChangedTokenIsRefused(t *testing.T) {
	keys := pin.Keys{newKey}
	token := []byte(keys.Seal(pin.Pin{Organisation: "o", Session: "s", Ref: table.Ref{Model: "m", Version: "v1"}}))
	rapid.Check(t, func(t *rapid.T) {
		changed := append([]byte(nil), token...)
		// Not the last character: the encoding ignores some of its bits.
		at := rapid.IntRange(0, len(changed)-2).Draw(t, "at")
		changed[at] = rapid.SampledFrom([]byte("ABCxyz019-_")).Filter(func(b byte) bool { return b != token[at] }).Draw(t, "byte")
		if _, err := keys.Open(string(changed)); err == nil {
			t.Fatal("a changed token was accepted")
		}
	})
}
