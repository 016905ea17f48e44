// Package rollout decides the next step of a version in roll-out from the evidence of all daemons.
// Any daemon may be the driver that carries out a step. A step is a conditional write against the
// table generation that the driver has read, so that two drivers, or one that was paused, do no
// harm; if a driver fails, another daemon takes over.
package rollout

import (
	"fmt"
	"time"

	"ladderridge.example/core/table"
)

// Facts holds what a driver knows of a version in roll-out.
type Facts struct {
	Version table.Version
	// Since is when the driver first saw the present stage. It restarts when another driver takes
	// over, so that a stage is never shortened.
	Since time.Time
	// Answers and Bad count the answers of all daemons since then.
	Answers uint64
	Bad     uint64
	// Alarm is the reason why the pooled test rejects the version, or "".
	Alarm string
}

// Action is the next step: Wait, Advance or Withdraw.
type Action interface{ action() }

// Wait leaves the version as it is.
type Wait struct{ Reason string }

// Advance moves the version to the next stage.
type Advance struct {
	Stage int
	Note  string
}

// Withdraw takes the version out of service.
type Withdraw struct{ Note string }

func (Wait) action()     {}
func (Advance) action()  {}
func (Withdraw) action() {}

// Next decides the next step.
func Next(f Facts, now time.Time) Action {
	v := f.Version
	switch {
	case v.Status != table.RollingOut:
		return Wait{Reason: "not rolling out"}
	case f.Alarm != "":
		return Withdraw{Note: fmt.Sprintf("withdrawn at stage %d: %s (%d of %d answers bad in this stage)", v.Stage, f.Alarm, f.Bad, f.Answers)}
	case v.StepAfter == 0:
		return Wait{Reason: "steps are taken by hand"}
	case v.Stage+1 >= len(v.Stages):
		return Wait{Reason: "at the last stage: make the version steady"}
	case now.Sub(f.Since) < v.StepAfter:
		return Wait{Reason: fmt.Sprintf("the stage lasts %v", v.StepAfter)}
	case f.Answers < uint64(v.StepAnswers):
		return Wait{Reason: fmt.Sprintf("%d of %d answers so far", f.Answers, v.StepAnswers)}
	}
	return Advance{Stage: v.Stage + 1, Note: fmt.Sprintf("stage %d to %d after %d answers, %d bad", v.Stage, v.Stage+1, f.Answers, f.Bad)}
}

// Apply returns the version after an action and a note for its history. ok is false if the action
// changes nothing.
func Apply(v table.Version, a Action) (changed table.Version, note string, ok bool) {
	switch a := a.(type) {
	case Advance:
		v.Stage = a.Stage
		return v, v.Ref.String() + ": " + a.Note, true
	case Withdraw:
		v.Status = table.Withdrawn
		return v, v.Ref.String() + ": " + a.Note, true
	}
	return v, "", false
}
