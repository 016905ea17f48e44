package front

import (
	"net/http"
	"time"

	"ladderridge.example/core/route"
)

// mayCascade reports whether a cheaper version may be tried first. It may not
// for a stream, whose first token is sent before the quality of the answer is
// known, in a session, which keeps one version, or for a request that must run
// at most once.
func (c *chatJob) mayCascade() bool {
	return !c.req.Stream && !c.atMostOnce && c.session.name == "" && c.req.Model == route.Auto
}

// escalationTimeFactor is the minimum time that must remain for a better answer,
// as a multiple of the time since the request arrived.
const escalationTimeFactor = 2

// shouldEscalate reports whether the quality signal of an answer is below the
// confidence threshold and enough time remains for a better answer.
func (c *chatJob) shouldEscalate(answer engineAnswer) bool {
	if c.sent.Cascade == 0 || answer.Quality >= c.sent.Cascade {
		return false
	}
	deadline, _ := c.ctx.Deadline()
	return time.Until(deadline) > escalationTimeFactor*time.Since(c.start)
}

// escalate sends the request to a version of higher quality, whose answer may be
// escalated in turn. If no such version answers, the first answer is kept: it is
// complete, though below the confidence threshold.
func (c *chatJob) escalate(first engineAnswer) (engineAnswer, bool) {
	kept := c.sent
	c.addStep(route.Step{
		Kind: route.StepEscalate, Model: kept.Ref.Model, Version: kept.Ref.Version, Value: first.Quality,
		Text: "its own signal is too low to keep the answer",
	})
	c.rec.Spent += kept.Price * int64(first.Usage.CompletionTokens)
	c.qualityFloor = max(kept.Quality, minQualityFloor)
	if out := c.decide(); out == nil {
		if better, ok := c.tryEscalated(); ok {
			return better, true
		}
	}
	c.addStep(route.Step{Kind: route.StepEscalate, Model: kept.Ref.Model, Version: kept.Ref.Version, Text: "no better answer: this one is kept"})
	c.sent = kept
	return first, false
}

// minQualityFloor replaces a quality floor of zero, which would mean that no
// floor is set.
const minQualityFloor = 1e-9

func (c *chatJob) tryEscalated() (engineAnswer, bool) {
	reply, err := c.open(c.newAttempt(), 0)
	if err != nil {
		return engineAnswer{}, false
	}
	if reply.Status != http.StatusOK {
		c.reportAnswer(reply, true)
		_ = reply.Lose(&statusError{status: reply.Status})
		return engineAnswer{}, false
	}
	answer, err := c.readAnswer(reply)
	return answer, err == nil
}
