package control

import (
	"errors"
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/rollout"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/tablestore"
)

// stage is a roll-out's stage as this daemon first saw it.
type stage struct {
	number  int
	since   time.Time
	answers uint64
	bad     uint64
}

// rollouts drives the versions that are being rolled out. Every daemon keeps
// it; the roots of the data halls' trees act on it.
type rollouts struct {
	stages map[table.Ref]stage
	// busy tells that an edit is being stored.
	busy bool
}

func newRollouts() *rollouts { return &rollouts{stages: map[table.Ref]stage{}} }

// facts brings a version's stage up to date and returns what is known of it.
func (r *rollouts) facts(v table.Version, total aggregation.Evidence, alarm string, now time.Time) rollout.Facts {
	s, ok := r.stages[v.Ref]
	if !ok || s.number != v.Stage || total.Answers < s.answers || total.Bad < s.bad {
		s = stage{number: v.Stage, since: now, answers: total.Answers, bad: total.Bad}
		r.stages[v.Ref] = s
	}
	return rollout.Facts{Version: v, Since: s.since, Answers: total.Answers - s.answers, Bad: total.Bad - s.bad, Alarm: alarm}
}

// driveRollouts looks at each version in roll-out, and, on the root of the
// data hall's tree, takes the next step of one of them.
func (l *loop) driveRollouts(now time.Time) {
	pooled := l.pooled(now)
	for _, v := range l.table.Versions {
		if v.Status != table.RollingOut {
			delete(l.rollouts.stages, v.Ref)
			continue
		}
		l.guard.of(v.Ref)
		facts := l.rollouts.facts(v, pooled(aggregation.KeyOfRef(v.Ref)), l.guard.alarm(v.Ref), now)
		changed, note, ok := rollout.Apply(v, rollout.Next(facts, now))
		if ok && l.node.Group.Rank() == 0 && !l.rollouts.busy {
			l.rollouts.busy = true
			l.storeStep(changed, note, now)
		}
	}
}

// storeStep stores a step as the next generation, off the control goroutine.
// If another driver was first, its table is on its way here.
func (l *loop) storeStep(v table.Version, note string, now time.Time) {
	edit := tablestore.Edit{
		From: l.gen.Number, Table: l.table.WithVersion(v), Author: "ladderridge on " + l.Settings.ID, Note: note, At: now.UTC(),
	}
	go func() {
		h, err := l.store.Apply(l.ctx, edit)
		switch {
		case err == nil:
			l.Log.Warn().Uint64("generation", h.Number).Str("step", note).Msg("control: a roll-out was stepped")
		case fault.Is(err, tablestore.Stale):
			l.Log.Debug().Err(err).Msg("control: another driver stepped the roll-out")
		default:
			l.Log.Warn().Err(errors.Unwrap(err)).Msg("control: a roll-out could not be stepped")
		}
		l.post(stepEvent{})
	}()
}
