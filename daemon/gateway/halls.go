package gateway

import (
	"slices"
	"strings"
	"time"

	"ladderridge.example/daemon/control"
)

// Halls summarises the servers of each data hall as this daemon sees them, sorted by name.
func (g *Gateway) Halls() []control.HallDump {
	v := g.syncer.View()
	if v.Servers == nil {
		return nil
	}
	now := time.Now()
	halls := map[string]*control.HallServers{}
	for hall, since := range v.Drained {
		halls[hall] = &control.HallServers{Drained: true, DrainedMS: now.Sub(since).Milliseconds()}
	}
	for _, s := range v.Servers.All() {
		h := halls[s.Hall]
		if h == nil {
			h = &control.HallServers{}
			halls[s.Hall] = h
		}
		h.Servers++
		h.InFlight += s.State.InFlight()
		if now.Before(s.State.ColdLimit().Until) {
			h.Cold++
		}
	}
	var out []control.HallDump
	for name, h := range halls {
		out = append(out, control.HallDump{Name: name, Servers: h})
	}
	slices.SortFunc(out, func(a, b control.HallDump) int { return strings.Compare(a.Name, b.Name) })
	return out
}
