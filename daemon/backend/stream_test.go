package backend_test

import (
	"strings"
	"testing"

	"ladderridge.example/daemon/backend"
)

// complete reports whether a stream ends with its terminator.
func complete(body string) bool {
	s := backend.NewStream(strings.NewReader(body))
	for {
		_, last, err := s.Next()
		if err != nil || last {
			return last
		}
	}
}

func TestOnlyTheTerminatorEndsAStream(t *testing.T) {
	for body, want := range map[string]bool{
		"data: a\n\ndata: [DONE]\n\n":         true,
		"data:a\r\n\r\ndata:[DONE]\r\n\r\n":   true,
		": comment\nevent: x\ndata: [DONE]\n": true,
		"data: a\n\n":                         false,
		"":                                    false,
		"data: [DONE":                         false,
		"data: [DONE] x\n":                    false,
	} {
		if got := complete(body); got != want {
			t.Errorf("%q: complete is %v", body, got)
		}
	}
}

// FuzzStream checks that no stream without a terminator is complete.
func FuzzStream(f *testing.F) {
	f.Add("data: a\n\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		if complete(body) && !strings.Contains(body, "[DONE]") {
			t.Fatal("stream is complete without a terminator")
		}
	})
}
