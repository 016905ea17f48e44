package platform_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ladderridge.example/daemon/platform"
)

// One VM, or one rating, that could not be decoded hid all others, and the ratings behind it for good.
func TestMalformedElementHidesNoOther(t *testing.T) {
	for _, odd := range []string{
		`{"id":7,"seq":"x"}`, `{"id":"o","seq":1e30,"hall":1}`, `{"seq":"x","checks_fence":1}`, `[]`, `1e400`, `nonsense`, `{"seq":-1,"leaving":"no"}`, strings.Repeat("[", 11_000) + strings.Repeat("]", 11_000),
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text := `{"version":3,"vms":[{"id":"a"},` + odd + `,{"id":"b"}]}`
			if strings.HasPrefix(r.URL.Path, platform.PathRatings) {
				text = `{"ratings":[{"seq":1},` + odd + `,{"seq":3}]}`
			}
			_, _ = io.WriteString(w, text)
		}))
		c := &platform.Client{URL: s.URL}
		vms, err := c.VMs(t.Context(), 0)
		if err != nil || vms == nil || len(vms.VMs) != 2 || vms.VMs[0].ID != "a" || vms.VMs[1].ID != "b" {
			t.Errorf("%.40s: %+v, %v", odd, vms, err)
		}
		ratings, err := c.Ratings(t.Context(), 0, 10)
		if err != nil || len(ratings) != 2 || ratings[0].Seq != 1 || ratings[1].Seq != 3 {
			t.Errorf("%.40s: %+v, %v", odd, ratings, err)
		}
		if n := c.Malformed.Load(); n != 2 {
			t.Errorf("%.40s: %d malformed elements", odd, n)
		}
		s.Close()
	}
}

// A pause that no duration holds was the smallest duration, or the largest, depending on the processor.
func TestPauseOutOfRangeIsBounded(t *testing.T) {
	for _, value := range []string{"1e30", "NaN", "Inf", "-1", "soon"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", value)
			w.WriteHeader(http.StatusTooManyRequests)
		}))
		_, err := (&platform.Client{URL: s.URL}).Get(t.Context(), "k")
		var retry *platform.RetryError
		if !errors.As(err, &retry) || retry.After <= 0 || retry.After > time.Hour {
			t.Errorf("%s: %+v, %v", value, retry, err)
		}
		s.Close()
	}
}
