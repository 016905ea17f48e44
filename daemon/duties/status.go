package duties

import "ladderridge.example/core/duty"

// Status is what is known of a duty here.
type Status struct {
	Duty   duty.Name `json:"duty"`
	Holder string    `json:"holder"`
	Token  uint64    `json:"token"`
	// Held tells that this daemon holds it, State what its row holds.
	Held  bool   `json:"held"`
	State string `json:"state"`
}

// publish makes what is known of the duties known to operators.
func (d *Leaseholder) publish() {
	var out []Status
	for _, h := range d.holdings {
		s := Status{Duty: h.name, Held: h.held != 0}
		if r, ok := h.claim.Record(); ok {
			s.Holder, s.Token, s.State = r.Holder, r.Token, r.State
		}
		out = append(out, s)
	}
	d.status.Store(&out)
}

// Status returns what is known of the duties here.
func (d *Leaseholder) Status() []Status { return *d.status.Load() }
