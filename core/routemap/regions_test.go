package routemap_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"
	"ladderridge.example/core/routemap"
)

// Over random configurations, a server may run a request only in a region that both the
// route and the organisation list, if they list any.
func TestRegionsOfRouteAndOrganisationBothRestrict(t *testing.T) {
	regions := []string{"", "north", "south", "east"}
	subset := rapid.SliceOfNDistinct(rapid.SampledFrom(regions[1:]), 0, 3, rapid.ID[string])
	rapid.Check(t, func(t *rapid.T) {
		r := &routemap.Route{Regions: subset.Draw(t, "route")}
		var o *routemap.Organisation
		if rapid.Bool().Draw(t, "keyed") {
			o = &routemap.Organisation{Regions: subset.Draw(t, "organisation")}
		}
		bound := false
		for _, region := range regions {
			want := len(r.Regions) == 0 || slices.Contains(r.Regions, region)
			if o != nil && len(o.Regions) > 0 {
				want = want && slices.Contains(o.Regions, region)
			}
			if got := r.InRegions(o, region); got != want {
				t.Errorf("%q: %v", region, got)
			}
			bound = bound || !want
		}
		if r.RestrictsRegions(o) != bound {
			t.Errorf("restricted to regions: %v", r.RestrictsRegions(o))
		}
	})
}

func TestProblemsAreReportedOncePerCause(t *testing.T) {
	m := routemap.New(routemap.Parts{
		Routes:        []routemap.Route{{Name: "r", Regions: []string{"north", "nowhere"}}, {Name: "q", Regions: []string{"nowhere"}}},
		Services:      []routemap.Service{{Name: "s", ColdFor: 24 * time.Hour, ColdRate: -3}, {Name: "fine", ColdFor: time.Second, ColdRate: 13}},
		Organisations: []routemap.Organisation{{Name: "o", Regions: []string{"north"}}},
	})
	problems := m.Problems([]string{"north", "south"})
	if len(problems) != 3 {
		t.Fatalf("%d problems: %s", len(problems), strings.Join(problems, "\n"))
	}
	for i, want := range []string{`route r: no data hall is in the region "nowhere"`, "service s: a cold server's rate of -3", "cold for 24h0m0s after its start: taken as 10m0s"} {
		if !strings.Contains(problems[i], want) {
			t.Errorf("%q does not contain %q", problems[i], want)
		}
	}
}
