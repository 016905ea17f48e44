package duties

import "ladderridge.example/core/duty"

// Status is the state of a duty as this daemon knows it.
type Status struct {
	Duty   duty.Name `json:"duty"`
	Holder string    `json:"holder"`
	Token  uint64    `json:"token"`
	// Held reports whether this daemon holds the duty. State is the state stored in its row.
	Held  bool   `json:"held"`
	State string `json:"state"`
}

// publish updates the status that operators can read.
func (d *Leaseholder) publish() {
	var out []Status
	for _, ds := range d.states {
		s := Status{Duty: ds.name, Held: ds.heldToken != 0}
		if r, ok := ds.elector.Record(); ok {
			s.Holder, s.Token, s.State = r.Holder, r.Token, r.State
		}
		out = append(out, s)
	}
	d.status.Store(&out)
}

// Status returns the state of each duty as this daemon knows it.
func (d *Leaseholder) Status() []Status { return *d.status.Load() }
