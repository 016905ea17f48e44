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

// stage is a stage of a rollout, with the time and the counts at which this daemon
// first saw it.
type stage struct {
	number  int
	since   time.Time
	answers uint64
	bad     uint64
}

// rollouts follows the versions in rollout. Every daemon keeps this state, but only
// the daemons at the roots of the data halls' aggregation trees take steps.
type rollouts struct {
	stages map[table.Ref]stage
	// busy is set while a step is being stored.
	busy bool
}

func newRollouts() *rollouts { return &rollouts{stages: map[table.Ref]stage{}} }

// facts updates the stage of a version and returns the evidence since the stage was
// first seen. The stage restarts if the counts have dropped, as when a daemon restarts.
func (r *rollouts) facts(v table.Version, total aggregation.Evidence, alarm string, now time.Time) rollout.Facts {
	s, ok := r.stages[v.Ref]
	if !ok || s.number != v.Stage || total.Answers < s.answers || total.Bad < s.bad {
		s = stage{number: v.Stage, since: now, answers: total.Answers, bad: total.Bad}
		r.stages[v.Ref] = s
	}
	return rollout.Facts{Version: v, Since: s.since, Answers: total.Answers - s.answers, Bad: total.Bad - s.bad, Alarm: alarm}
}

// driveRollouts updates each version in rollout and, on the daemon at the root of
// the data hall's aggregation tree, takes the next step of one of them.
func (l *loop) driveRollouts(now time.Time) {
	pooled := l.pooledEvidence(now)
	for _, v := range l.table.Versions {
		if v.Status != table.RollingOut {
			delete(l.rollouts.stages, v.Ref)
			continue
		}
		l.guard.stateOf(v.Ref)
		facts := l.rollouts.facts(v, pooled(aggregation.KeyOfRef(v.Ref)), l.guard.alarmReason(v.Ref), now)
		changed, note, ok := rollout.Apply(v, rollout.Next(facts, now))
		if ok && l.node.Group.Rank() == 0 && !l.rollouts.busy {
			l.rollouts.busy = true
			l.storeStep(changed, note, now)
		}
	}
}

// storeStep stores a step as the next generation of the table, in a goroutine of its
// own. If another daemon stored a generation first, the step is dropped; the newer
// table arrives by replication.
func (l *loop) storeStep(v table.Version, note string, now time.Time) {
	edit := tablestore.Edit{
		From: l.gen.Number, Table: l.table.WithVersion(v), Author: "ladderridge on " + l.Settings.ID, Note: note, At: now.UTC(),
	}
	go func() {
		h, err := l.store.Apply(l.ctx, edit)
		switch {
		case err == nil:
			l.Log.Warn().Uint64("generation", h.Number).Str("step", note).Msg("control: rollout step stored")
		case fault.Is(err, tablestore.Stale):
			l.Log.Debug().Err(err).Msg("control: rollout step dropped, another table generation was stored first")
		default:
			l.Log.Warn().Err(errors.Unwrap(err)).Msg("control: cannot store rollout step")
		}
		l.post(stepEvent{})
	}()
}
