package permits

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"ladderridge.example/core/permits"
)

// figure is the demand for a service in a report.
type figure struct {
	_                       struct{} `cbor:",toarray"`
	Rate, InFlight, Waiting float32
	Daemons                 uint32
	Arrived, Declined       float32
}

// decoding bounds the sizes of reports.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxMapPairs: 256, MaxNestedLevels: 4, MaxArrayElements: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// report is a report or a total, by service.
type report struct {
	figures map[string]permits.Demand
	at      time.Time
}

// reports are the latest reports by daemon or hall.
type reports map[string]report

// sum adds the reports that have not expired, and drops the others.
func (r reports) sum(into map[string]permits.Demand, now time.Time) {
	for id, rep := range r {
		if now.Sub(rep.at) >= expiry {
			delete(r, id)
			continue
		}
		for name, d := range rep.figures {
			into[name] = into[name].Plus(d)
		}
	}
}

// ownDemand is a demand that this daemon has reported.
type ownDemand struct {
	permits.Demand
	at time.Time
}

// reported returns the least demand that was reported before a total arrived, as far back as any
// daemon uses it: reports expire at the reader, and then totals at the daemons. Daemons use totals
// of different ages. With a demand that is in none or only in some of them, the limits of all would
// add up to more than the pool.
func (s *service) reported(at time.Time) permits.Demand {
	var least *ownDemand
	for i, d := range s.own {
		if at.Sub(d.at) < 2*expiry && (least == nil || d.Load() < least.Load()) {
			least = &s.own[i]
		}
	}
	if least == nil {
		return permits.Demand{}
	}
	return least.Demand
}

// Report implements storesync.Figures.
func (p *Pool) Report(now time.Time) []byte {
	figures := map[string]permits.Demand{}
	for name, s := range *p.services.Load() {
		if d, ok := s.report(now); ok {
			figures[name] = d
		}
	}
	return encode(figures)
}

// report returns the demand for the service and records that it was reported. Demand for a service
// without slots to share is not reported.
func (s *service) report(now time.Time) (d permits.Demand, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.Slots <= 0 {
		return permits.Demand{}, false
	}
	d = s.gate.Demand(now)
	if len(s.own) == 0 || now.Sub(s.own[len(s.own)-1].at) >= expiry {
		s.reportsSince = now
	}
	for len(s.own) > 0 && now.Sub(s.own[0].at) >= 2*expiry {
		s.own = s.own[1:]
	}
	if now.Sub(s.reportsSince) < expiry {
		// Not all daemons have a total with this one: it counts as one without figures.
		d.Daemons = 0
	}
	s.own = append(s.own, ownDemand{Demand: d, at: now})
	return d, true
}

// SetDaemon implements storesync.Figures.
func (p *Pool) SetDaemon(id string, data []byte, now time.Time) { p.set(p.daemons, id, data, now) }

// SetHall implements storesync.Figures.
func (p *Pool) SetHall(hall string, data []byte, now time.Time) { p.set(p.halls, hall, data, now) }

func (p *Pool) set(r reports, id string, data []byte, now time.Time) {
	if figures, ok := p.decode(data); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		r[id] = report{figures: figures, at: now}
	}
}

// HallReport implements storesync.Figures.
func (p *Pool) HallReport(now time.Time) []byte { return p.sum(now, p.daemons) }

// Total implements storesync.Figures.
func (p *Pool) Total(now time.Time) []byte { return p.sum(now, p.daemons, p.halls) }

func (p *Pool) sum(now time.Time, sets ...reports) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	figures := map[string]permits.Demand{}
	for _, r := range sets {
		r.sum(figures, now)
	}
	return encode(figures)
}

// SetTotal implements storesync.Figures.
func (p *Pool) SetTotal(data []byte, now time.Time) {
	figures, ok := p.decode(data)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total = report{figures: figures, at: now}
	for name, s := range *p.services.Load() {
		s.mu.Lock()
		p.setShare(name, s, now)
		s.mu.Unlock()
	}
}

// encode returns the report, or nil if it is empty.
func encode(figures map[string]permits.Demand) []byte {
	if len(figures) == 0 {
		return nil
	}
	out := make(map[string]figure, len(figures))
	for name, d := range figures {
		out[name] = figure{
			Rate: float32(d.Rate), InFlight: float32(d.InFlight), Waiting: float32(d.Waiting), Daemons: uint32(d.Daemons),
			Arrived: float32(d.Arrived), Declined: float32(d.Declined),
		}
	}
	data, err := cbor.Marshal(out)
	if err != nil {
		return nil
	}
	return data
}

// decode returns the demands in a report. One that is not valid is dropped as a whole and counted.
func (p *Pool) decode(data []byte) (map[string]permits.Demand, bool) {
	var in map[string]figure
	if err := decoding.Unmarshal(data, &in); err != nil {
		p.malformed.Add(1)
		return nil, false
	}
	figures := make(map[string]permits.Demand, len(in))
	for name, f := range in {
		d := permits.Demand{
			Rate: float64(f.Rate), InFlight: float64(f.InFlight), Waiting: float64(f.Waiting), Daemons: int(f.Daemons),
			Arrived: float64(f.Arrived), Declined: float64(f.Declined),
		}
		if !d.Valid() {
			p.malformed.Add(1)
			return nil, false
		}
		figures[name] = d
	}
	return figures, true
}
