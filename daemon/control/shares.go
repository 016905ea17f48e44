package control

import (
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/limit"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
)

// shares computes the part of each organisation's limits that this daemon may use.
func (l *loop) shares(now time.Time) map[string]Share {
	totals, fresh := l.node.Tree.Totals(now)
	out := make(map[string]Share, len(l.table.Organisations))
	for _, org := range l.table.Organisations {
		out[org.Name] = l.share(org, totals, fresh)
	}
	return out
}

// demandField selects one value of a demand.
type demandField func(aggregation.Demand) float64

func requestsOf(d aggregation.Demand) float64 { return float64(d.Requests) / aggregation.RequestsUnit }
func tokensOf(d aggregation.Demand) float64   { return float64(d.Tokens) }
func inFlightOf(d aggregation.Demand) float64 { return float64(d.InFlight) }

func (l *loop) share(org table.Organisation, totals aggregation.Totals, fresh bool) Share {
	key := aggregation.KeyOf(org.Name)
	own := l.node.OwnSums().Demand(key)
	hall, others := totals.Own.Demand(key), totals.Others.Demand(key)
	shareOf := func(total float64, pick demandField) float64 {
		if total <= 0 {
			return 0
		}
		in := limit.ShareInput{
			Limit: total, Halls: l.node.Halls(), Own: pick(own), Fresh: fresh,
			Hall:        limit.HallDemand{Demand: pick(hall), Daemons: int(totals.Own.Daemons)},
			Others:      limit.HallDemand{Demand: pick(others), Daemons: int(totals.Others.Daemons)},
			FreshOthers: int(totals.FreshOthers),
		}
		if !fresh {
			in.Hall.Daemons = l.node.Group.Size()
		}
		return limit.Share(in)
	}
	return Share{
		Requests:    shareOf(org.Limits.RequestsPerSecond, requestsOf),
		Tokens:      shareOf(org.Limits.TokensPerSecond, tokensOf),
		Concurrency: atLeastOne(shareOf(float64(org.Limits.Concurrency), inFlightOf)),
	}
}

// atLeastOne rounds a share of a concurrency limit to the nearest integer, but not
// below 1, so that a daemon with a small share can serve requests at all. 0 remains
// 0, which means no limit.
func atLeastOne(x float64) int {
	if x <= 0 {
		return 0
	}
	return max(1, int(x+0.5))
}

// otherHalls returns the data halls in the VM list other than the own one.
func (l *loop) otherHalls() []string {
	var out []string
	seen := map[string]bool{l.Settings.Hall: true}
	for _, vm := range l.vms.VMs {
		if vm.Role == platform.RoleEntry && !seen[vm.Hall] {
			seen[vm.Hall] = true
			out = append(out, vm.Hall)
		}
	}
	return out
}
