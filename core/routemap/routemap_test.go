package routemap_test

import (
	"testing"

	"ladderridge.example/core/routemap"
)

func sample() *routemap.Map {
	low := 3
	one := []routemap.Share{{Service: "s", Weight: 1}}
	return routemap.New(routemap.Parts{
		Number: 1,
		Routes: []routemap.Route{
			{Name: "root", Host: "a.example", Prefix: "/", Shares: one},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Shares: one},
			{Name: "mid", Host: "A.example", Prefix: "/x/", Shares: one},
			{Name: "other", Host: "b.example", Prefix: "/x/", Shares: []routemap.Share{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}, {Service: "u", Weight: 0}}},
		},
		Organisations: []routemap.Organisation{{Name: "o", Keys: []string{"k1", "k2"}, Rank: &low}, {Name: "p", Keys: []string{"k3"}}},
	})
}

func TestLongestPrefixOfHostMatches(t *testing.T) {
	m := sample()
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/z", "mid"},
		{"a.example:8080", "/q", "root"},
		{"A.EXAMPLE", "/x/y", "mid"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/q", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r, ok := m.Match(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: %q instead of %q", c.host, c.path, got, c.want)
		}
	}
}

func TestSharesFollowTheirWeights(t *testing.T) {
	r, _ := sample().Match("b.example", "/x/")
	counts := map[string]int{}
	for i := range uint64(4000) {
		counts[r.Pick(i)]++
	}
	if counts["s"] != 3000 || counts["t"] != 1000 || counts["u"] != 0 {
		t.Errorf("%v", counts)
	}
	if !r.Serves("t") || r.Serves("u") || r.Serves("v") {
		t.Error("Serves disagrees with the shares")
	}
}

func TestKeysBelongToTheirOrganisation(t *testing.T) {
	m := sample()
	o, ok := m.Organisation("k2")
	if !ok || o.Name != "o" {
		t.Fatalf("%v, %v", o, ok)
	}
	if _, ok := m.Organisation("k4"); ok {
		t.Error("an unknown key belongs to an organisation")
	}
	r, _ := m.Match("a.example", "/")
	p, _ := m.Organisation("k3")
	if r.RankFor(o) != 3 || r.RankFor(p) != 0 || r.RankFor(nil) != 0 {
		t.Error("an organisation's rank does not override the route's")
	}
}
