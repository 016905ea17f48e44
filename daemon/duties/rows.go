package duties

import (
	"context"
	"encoding/json"

	"ladderridge.example/core/duty"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/daemon/storesync"
)

// read reads the row of a duty.
func (d *Leaseholder) read(ctx context.Context, name duty.Name) duty.Event {
	page, err := d.Rows.Read(ctx, gossip.Duties)
	if err != nil {
		d.Log.Warn().Str("duty", string(name)).Err(err).Msg("duty: cannot read the row")
		return duty.ReadFailed{}
	}
	for _, r := range page.Rows {
		if r.Key != string(name) {
			continue
		}
		var in duty.Record
		if err := json.Unmarshal(r.Data, &in); err != nil {
			d.Log.Error().Str("duty", string(name)).Err(&Error{Op: "read duty", Kind: Malformed, Err: err}).Msg("duty: the row does not decode: no daemon can hold the duty until an operator removes the row")
			return duty.ReadFailed{}
		}
		return duty.Read{Record: in, Version: r.Version}
	}
	return duty.Read{Version: revision.New(page.Version.Era, 0)}
}

// write writes the row of a duty.
func (d *Leaseholder) write(ctx context.Context, name duty.Name, o duty.WriteRow) duty.Event {
	data, err := json.Marshal(o.Record)
	if err != nil {
		d.Log.Error().Str("duty", string(name)).Err(err).Msg("duty: cannot encode the row")
		return duty.ReadFailed{}
	}
	version, err := d.Rows.Swap(ctx, gossip.Duties, string(name), data, o.Expected)
	switch {
	case err == nil:
		return duty.Written{Version: version}
	case fault.Is(err, storesync.Conflict):
		return duty.Conflict{}
	default:
		d.Log.Warn().Str("duty", string(name)).Stringer("was", o.Expected).Err(err).Msg("duty: write of the row failed, its outcome is unknown")
		return duty.WriteOutcomeUnknown{}
	}
}
