package settings

import (
	"fmt"
	"strings"
)

// Regions lists the region of each data hall, as HALL:REGION separated by commas.
// It is kept as text so that settings stay comparable.
type Regions string

// ByHall returns a map from data hall to region.
func (r Regions) ByHall() map[string]string {
	out := map[string]string{}
	for field := range strings.SplitSeq(string(r), ",") {
		if hall, region, ok := strings.Cut(strings.TrimSpace(field), ":"); ok {
			out[hall] = region
		}
	}
	return out
}

func setRegions(to *Regions, v string) error {
	if v == "" {
		return nil
	}
	seen := map[string]bool{}
	for field := range strings.SplitSeq(v, ",") {
		hall, region, ok := strings.Cut(strings.TrimSpace(field), ":")
		if !ok || hall == "" || region == "" {
			return fmt.Errorf("%q is not a data hall's region: write HALL:REGION, separated by commas, such as vad-a:west,vad-b:west", field)
		}
		if seen[hall] {
			return fmt.Errorf("the data hall %q is listed twice: keep one", hall)
		}
		seen[hall] = true
	}
	*to = Regions(v)
	return nil
}
