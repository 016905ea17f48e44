package proxy

import (
	"context"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/fleet"
)

// This file handles services whose servers fail if they reject too many requests. The daemons then
// have at most as many requests in flight there as are not rejected, and others wait here.

const (
	// maxRoomWait is how long a request waits for room at a server at most, and roomPoll the time
	// between two checks.
	maxRoomWait = 250 * time.Millisecond
	roomPoll    = 5 * time.Millisecond
)

// awaitRoom waits until a server has room for the request, if there is none only because its servers
// must not reject too many requests.
func (j *job) awaitRoom(ctx context.Context) (*fleet.Server, bool) {
	wait := maxRoomWait
	if objective := j.route.LatencyObjective; objective > 0 {
		wait = min(wait, objective/2)
	}
	if !j.deadline.IsZero() {
		wait = min(wait, j.remaining()/2)
	}
	for end := time.Now().Add(wait); j.atBound() && ctx.Err() == nil && time.Now().Before(end); {
		clock.Wait(ctx, roomPoll)
		if s, ok := j.choose(time.Now()); ok {
			return s, true
		}
	}
	return nil, false
}

// atBound reports whether a server gets no more requests so that it does not reject too many.
func (j *job) atBound() bool {
	want := fleet.Criteria{Service: j.service, Exclude: j.avoid}
	if j.route.RestrictsRegions(j.organisation) {
		want.HallAllowed = func(hall string) bool { return j.view.InRegions(j.route, j.organisation, hall) }
	}
	return j.view.Servers.AtBound(want, time.Now())
}

// withoutServer returns the reason of a request for which there is no server.
func (j *job) withoutServer(reason Reason) Reason {
	if reason == NoServer && j.atBound() {
		return Overloaded
	}
	return reason
}
