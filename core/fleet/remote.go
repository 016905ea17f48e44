package fleet

import (
	"math"
	"time"
)

const (
	// excessWeight is the fraction of a server's excess over the mean of its version
	// that counts. A prompt that moves is not only processed again, it also evicts
	// other prompts from the cache of the new server. Counting all of the excess gains
	// nothing more with long prompts, and loses value with shorter prompts under high
	// load.
	excessWeight = 0.5
	// recentWeight is the weight of the newest report in the moving average of a
	// server's remote load, which covers about two seconds. A report is half a second
	// old, and most of the requests in it have ended by then. The average keeps only
	// the load that persists.
	recentWeight = 0.25
	// excessHalfLife is the time after which reported load counts half: twice the time
	// between two reports.
	excessHalfLife = time.Second
)

// remoteLoad is the load that other daemons have at a server. The owner locks it.
type remoteLoad struct {
	// excess is the weighted load above the mean of the server's version, as of the
	// time at.
	excess float64
	at     time.Time
	// recent is the moving average of the load that other daemons have at the server.
	recent float64
}

// current returns the excess, decayed by its age.
func (c remoteLoad) current(now time.Time) float64 {
	if c.excess == 0 {
		return 0
	}
	return c.excess * math.Exp2(-float64(max(0, now.Sub(c.at)))/float64(excessHalfLife))
}

// SetRemoteLoad records the load that other daemons have at each server, by server id.
// A server's excess over the mean counts as if it were this daemon's own load, so that
// a prompt moves to a less loaded server if that is worth processing it again.
//
// Only the excess counts. Load is counted from when a request is sent until its answer
// has ended, so that most of the requests in flight at a server do not delay another
// one. If all of the load counted, prompts would leave the servers that have them
// cached, and value would be lost. Counting the excess gains value with long prompts,
// and changes little with shorter ones.
func (l *List) SetRemoteLoad(load map[string]float64, now time.Time) {
	for _, servers := range l.open {
		recent := make(map[string]float64, len(servers))
		for _, s := range servers {
			recent[s.ID] = s.State.updateRecent(load[s.ID])
		}
		mean := meanByVersion(servers, recent)
		for _, s := range servers {
			s.State.setExcess(excessWeight*max(0, recent[s.ID]-mean[s.Version]), now)
		}
	}
}

// updateRecent adds a report of the load that other daemons have at the server to the
// moving average, and returns the average.
func (s *ServerState) updateRecent(load float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remote.recent += recentWeight * (load - s.remote.recent)
	return s.remote.recent
}

// meanByVersion returns the mean load of a service's usable servers for each version. A
// version in roll-out is used on only a few of its servers. In a mean over all
// versions, its idle servers would make those of the stable version look overloaded.
func meanByVersion(servers []*Server, load map[string]float64) map[string]float64 {
	mean, count := map[string]float64{}, map[string]float64{}
	for _, s := range servers {
		if s.Usable() {
			mean[s.Version] += load[s.ID]
			count[s.Version]++
		}
	}
	for version, n := range count {
		mean[version] /= n
	}
	return mean
}

// ExcessLoad returns the load of other daemons above the mean of the server's version,
// decayed by its age.
func (s *ServerState) ExcessLoad(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remote.current(now)
}

func (s *ServerState) setExcess(excess float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remote.excess, s.remote.at = excess, now
}
