package front

import (
	"net/http"
	"time"

	"ladderridge.example/core/route"
)

// mayCascade reports whether a cheaper version may be tried first. Not for a
// stream, whose first token is shown before anything is known of the answer;
// not in a session, which keeps one version; not if it may run only once.
func (c *chatJob) mayCascade() bool {
	return !c.req.Stream && !c.once && c.session.name == "" && c.req.Model == route.Auto
}

// escalationNeeds is how much of the time that the first answer took must be
// left for a better one.
const escalationNeeds = 2

// shouldEscalate reports whether an answer's own signal of its quality is too
// low to keep it, and there is time for a better one.
func (c *chatJob) shouldEscalate(answer wholeAnswer) bool {
	if c.sent.Cascade == 0 || answer.Quality >= c.sent.Cascade {
		return false
	}
	deadline, _ := c.ctx.Deadline()
	return time.Until(deadline) > escalationNeeds*time.Since(c.begun)
}

// escalate has a better version answer, which may itself be one whose signal
// decides. If none can, the answer that is there is kept: it is whole, if not
// as good as was asked for.
func (c *chatJob) escalate(first wholeAnswer) (wholeAnswer, bool) {
	kept := c.sent
	c.step(route.Step{
		Kind: route.StepEscalate, Model: kept.Ref.Model, Version: kept.Ref.Version, Value: first.Quality,
		Text: "its own signal is too low to keep the answer",
	})
	c.rec.Spent += kept.Price * int64(first.Usage.CompletionTokens)
	c.above = max(kept.Quality, smallest)
	if out := c.decide(); out == nil {
		if better, ok := c.answerAgain(); ok {
			return better, true
		}
	}
	c.step(route.Step{Kind: route.StepEscalate, Model: kept.Ref.Model, Version: kept.Ref.Version, Text: "no better answer: this one is kept"})
	c.sent = kept
	return first, false
}

// smallest stands for a quality of zero, which would ask for nothing.
const smallest = 1e-9

func (c *chatJob) answerAgain() (wholeAnswer, bool) {
	reply, err := c.open(c.newAttempt(), 0)
	if err != nil {
		return wholeAnswer{}, false
	}
	if reply.Status != http.StatusOK {
		c.tellAnswer(reply, true)
		_ = reply.Lose(&statusError{status: reply.Status})
		return wholeAnswer{}, false
	}
	answer, err := c.readAnswer(reply)
	return answer, err == nil
}
