package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/gateway"
	"ladderridge.example/platform"
)

const (
	// agreementPeriod is how long agreement is checked: longer than daemons hold rows that the
	// store has lost.
	agreementPeriod = 8 * time.Second
	agreementEvery  = 250 * time.Millisecond
	// busyAgreeBound replaces applyBound on a machine that may be busy.
	busyAgreeBound = 20 * time.Second
)

// agreeWithin returns how long a daemon may differ from the store.
func agreeWithin(o Options) time.Duration {
	if o.Bounds {
		return applyBound
	}
	return busyAgreeBound
}

// difference identifies a topic of which a daemon has other rows than the store.
type difference struct {
	daemon string
	topic  gossip.Topic
}

// checkAgreement compares the rows of all daemons with those of the store on every topic. It
// reports a daemon that differs for longer than bound, and ends when none differs any more, but
// not before agreementPeriod.
func (s *cluster) checkAgreement(ctx context.Context, bound time.Duration) {
	store := platform.NewStore(s.server.URL)
	defer store.HTTP.CloseIdleConnections()
	since, reported := map[difference]time.Time{}, map[difference]bool{}
	for start := time.Now(); ctx.Err() == nil; clock.Wait(ctx, agreementEvery) {
		now, differ := time.Now(), s.differences(ctx, store)
		for d, text := range differ {
			if _, known := since[d]; !known {
				since[d] = now
			}
			if lasts := now.Sub(since[d]); lasts > bound && !reported[d] {
				reported[d] = true
				s.recorder.found("AGREE", fmt.Sprintf("%s differs from the store in %s for %v: %s", d.daemon, d.topic, lasts, text))
			}
		}
		for d := range since {
			if _, still := differ[d]; !still {
				delete(since, d)
			}
		}
		if len(since) == 0 && now.Sub(start) > agreementPeriod || now.Sub(start) > agreementPeriod+bound {
			return
		}
	}
}

// differences returns the topics of which daemons have other rows than the store.
func (s *cluster) differences(ctx context.Context, store *platform.Store) map[difference]string {
	out := map[difference]string{}
	sums := map[gossip.Topic]string{}
	for _, topic := range []gossip.Topic{gossip.Operator, gossip.Servers, gossip.Progress, gossip.Members} {
		page, err := store.Read(ctx, topic)
		if err != nil {
			s.recorder.found("SOAK", err.Error())
			return out
		}
		sums[topic] = rowsText(len(page.Rows), fmt.Sprintf("%016x", gossip.Sum(page.Rows)))
	}
	for _, d := range s.daemons {
		topics, err := d.topics(ctx)
		if err != nil {
			out[difference{daemon: d.id}] = err.Error()
			continue
		}
		for topic, want := range sums {
			got, known := topics[topic]
			if !known {
				// Daemons read the states of roll-outs once there is an order.
				got = rowsText(0, fmt.Sprintf("%016x", 0))
			}
			if got != want {
				out[difference{daemon: d.id, topic: topic}] = fmt.Sprintf("it has %s, the store %s", got, want)
			}
		}
	}
	return out
}

// topics returns the number of rows and the checksum of each topic at the daemon.
func (d *daemon) topics(ctx context.Context) (map[gossip.Topic]string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.admin+gateway.PathDump, nil)
	if err != nil {
		return nil, err
	}
	resp, err := (&http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var dump struct {
		Topics []struct {
			Topic    gossip.Topic
			Rows     int
			Checksum string
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&dump); err != nil {
		return nil, err
	}
	out := map[gossip.Topic]string{}
	for _, t := range dump.Topics {
		out[t.Topic] = rowsText(t.Rows, t.Checksum)
	}
	return out, nil
}

func rowsText(rows int, checksum string) string {
	return fmt.Sprintf("%d rows, checksum %s", rows, checksum)
}
