package route

import (
	"fmt"

	"ladderridge.example/core/table"
)

// StepKind is the kind of one step of a decision.
type StepKind string

// The steps of a decision.
const (
	StepTenant   StepKind = "organisation"
	StepPinned   StepKind = "session_pinned"
	StepExcluded StepKind = "excluded"
	StepEligible StepKind = "eligible"
	StepSplit    StepKind = "split"
	StepCheapest StepKind = "cheapest_at_target"
	StepBest     StepKind = "best_below_target"
	StepExplore  StepKind = "explore"
	StepServer   StepKind = "server"
	StepSpill    StepKind = "spill"
	StepWait     StepKind = "wait"
	// StepLastResort uses guarded versions because there is no other.
	StepLastResort StepKind = "last_resort"
	StepAffinity   StepKind = "prefix_affinity"
	StepGate       StepKind = "gate"
	StepClaim      StepKind = "claim"
	StepAttempt    StepKind = "attempt"
	StepRetry      StepKind = "retry"
	StepResume     StepKind = "resume"
	StepEscalate   StepKind = "escalate"
	StepLimit      StepKind = "limit"
	StepBill       StepKind = "bill"
	StepRefused    StepKind = "refused"
	StepAnswered   StepKind = "answered"
)

// Step is one line of the explanation of a request.
type Step struct {
	Kind    StepKind `json:"kind"`
	Model   string   `json:"model,omitempty"`
	Version string   `json:"version,omitempty"`
	Server  string   `json:"server,omitempty"`
	// Reason is a typed code where the step has one.
	Reason Code `json:"reason,omitempty"`
	// Value is the number that decided the step: a share, an estimate or a price.
	Value float64 `json:"value,omitempty"`
	// Text is an explanation for people.
	Text string `json:"text,omitempty"`
}

// String formats the step on one line.
func (s Step) String() string {
	out := fmt.Sprintf("%-18s", s.Kind)
	if s.Model != "" {
		out += " " + table.Ref{Model: s.Model, Version: s.Version}.String()
	}
	if s.Server != "" {
		out += " on " + s.Server
	}
	if s.Reason != "" {
		out += " because " + string(s.Reason)
	}
	if s.Value != 0 {
		out += fmt.Sprintf(" (%.4g)", s.Value)
	}
	if s.Text != "" {
		out += ": " + s.Text
	}
	return out
}

func step(kind StepKind, ref table.Ref) Step {
	return Step{Kind: kind, Model: ref.Model, Version: ref.Version}
}
