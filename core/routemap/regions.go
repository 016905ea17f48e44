package routemap

import (
	"fmt"
	"slices"
	"time"
)

// InRegions reports whether a server in a region may run a request of the route for an
// organisation, which may be nil. If both are restricted to regions, both must list
// the region. "" is an unknown region, which is allowed only without a restriction.
func (r *Route) InRegions(o *Organisation, region string) bool {
	if !regionAllowed(r.Regions, region) {
		return false
	}
	return o == nil || regionAllowed(o.Regions, region)
}

func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || region != "" && slices.Contains(regions, region)
}

// RestrictsRegions reports whether the route, or an organisation on it, is restricted to
// regions. The organisation may be nil.
func (r *Route) RestrictsRegions(o *Organisation) bool {
	return len(r.Regions) > 0 || o != nil && len(o.Regions) > 0
}

// indexRegions adds the regions of a route or an organisation to regionUsers.
func (m *Map) indexRegions(name string, regions []string) {
	for _, region := range regions {
		m.regionUsers[region] = append(m.regionUsers[region], name)
	}
}

// maxColdTime is the longest time after its start for which a server is treated as
// cold: model servers are warm within a minute.
const maxColdTime = 10 * time.Minute

// Problems returns one line for each setting that is out of range or names a region
// without a data hall, with the value that is used instead. regions lists those that
// have data halls. Everything else in the configuration is used as it is.
func (m *Map) Problems(regions []string) []string {
	var out []string
	for region, names := range m.regionUsers {
		if !slices.Contains(regions, region) {
			out = append(out, fmt.Sprintf("%s: no data hall is in the region %q: no server there can be used", names[0], region))
		}
	}
	for _, s := range m.services {
		if s.ColdRate < 0 {
			out = append(out, fmt.Sprintf("service %s: a cold server's rate of %v requests a second: it gets only the allowed overage", s.Name, s.ColdRate))
		}
		if s.ColdFor < 0 || s.ColdFor > maxColdTime {
			out = append(out, fmt.Sprintf("service %s: a server is cold for %v after its start: taken as %v", s.Name, s.ColdFor, ClampColdTime(s.ColdFor)))
		}
	}
	slices.Sort(out)
	return out
}

// ClampColdTime limits the configured or reported time for which a server is cold
// after its start to between 0 and maxColdTime.
func ClampColdTime(d time.Duration) time.Duration { return min(max(0, d), maxColdTime) }
