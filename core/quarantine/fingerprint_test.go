package quarantine_test

import (
	"testing"

	"ladderridge.example/core/quarantine"
)

func TestFingerprintTellsContentsApart(t *testing.T) {
	same := quarantine.Content{Method: "POST", Host: "a.example", Target: "/chat/?q=1", Organisation: "org", Body: []byte("hello")}
	seen := map[quarantine.Fingerprint]quarantine.Content{same.Fingerprint(): same}
	again := same
	again.Body = []byte("hello")
	if again.Fingerprint() != same.Fingerprint() {
		t.Error("equal contents have different fingerprints")
	}
	for _, other := range []quarantine.Content{
		{Method: "PUT", Host: "a.example", Target: "/chat/?q=1", Organisation: "org", Body: []byte("hello")},
		{Method: "POST", Host: "a.example", Target: "/chat/?q=2", Organisation: "org", Body: []byte("hello")},
		{Method: "POST", Host: "a.exampl", Target: "e/chat/?q=1", Organisation: "org", Body: []byte("hello")},
		{Method: "POST", Host: "a.example", Target: "/chat/?q=1", Organisation: "orgh", Body: []byte("ello")},
		{Method: "POST", Host: "a.example", Target: "/chat/?q=1", Organisation: "org"},
	} {
		f := other.Fingerprint()
		if was, ok := seen[f]; ok {
			t.Errorf("%v and %v have the same fingerprint", was, other)
		}
		seen[f] = other
	}
}
