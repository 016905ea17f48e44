package route

import (
	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/table"
)

// choose picks one version of each model by the split of new sessions, then
// returns the cheapest that reaches its quality target, or else the one of the
// highest quality.
func (d *decider) choose(eligible []table.Candidate) (table.Candidate, float64) {
	var chosen, best table.Candidate
	var chosenQuality, bestQuality float64
	found, models := false, 0
	for i := 0; i < len(eligible); {
		j := i + 1
		for j < len(eligible) && eligible[j].Version.Ref.Model == eligible[i].Version.Ref.Model {
			j++
		}
		c := d.split(d.filterByTarget(eligible[i:j]))
		q := d.quality(c)
		models++
		s := step(StepEligible, c.Version.Ref)
		s.Value = q
		d.steps = append(d.steps, s)
		if (d.reaches(c, q) || d.explores(c, q)) && (!found || c.Version.Price < chosen.Version.Price) {
			chosen, chosenQuality, found = c, q, true
		}
		if i == 0 || q > bestQuality {
			best, bestQuality = c, q
		}
		i = j
	}
	if !found {
		d.steps = append(d.steps, step(StepBest, best.Version.Ref))
		return best, bestQuality
	}
	if models > 1 {
		s := step(StepCheapest, chosen.Version.Ref)
		s.Value = float64(chosen.Version.Price)
		d.steps = append(d.steps, s)
	}
	return chosen, chosenQuality
}

// filterByTarget drops a model's steady versions that miss their quality
// target, if another one reaches it and the request names the model Auto.
// Versions in roll-out are kept: their stage bounds their share.
func (d *decider) filterByTarget(versions []table.Candidate) []table.Candidate {
	if d.req.Model != Auto || len(versions) == 1 {
		return versions
	}
	var kept []table.Candidate
	steady := false
	for _, c := range versions {
		reaches := d.reaches(c, d.quality(c))
		if reaches || c.Status == table.RollingOut {
			kept = append(kept, c)
		}
		steady = steady || (reaches && c.Status == table.Steady)
	}
	if !steady {
		return versions
	}
	return kept
}

// exploreShare is the fraction of requests that may try a cheaper version
// that has too few ratings.
const exploreShare = 0.03

// explores reports whether a request tries a version whose lower quality bound
// is below the target but whose upper bound is not: without such requests the
// version would never be rated. Without any ratings, nothing is explored.
func (d *decider) explores(c table.Candidate, quality float64) bool {
	if d.req.Model != Auto || len(d.view.Quality) == 0 || c.Status != table.Steady {
		return false
	}
	if quality >= c.Target || d.estimate(c).High < c.Target || d.hashFraction("explore") >= exploreShare {
		return false
	}
	s := step(StepExplore, c.Version.Ref)
	s.Value = d.estimate(c).High
	d.steps = append(d.steps, s)
	return true
}

// reaches reports whether a version reaches its quality target, or may be tried
// first in a cascade.
func (d *decider) reaches(c table.Candidate, quality float64) bool {
	return quality >= c.Target || (d.req.Cascade && c.Cascade > 0)
}

// split picks one of a model's versions: each version in roll-out gets the share
// of its current stage, the steady ones get the rest by weight.
func (d *decider) split(versions []table.Candidate) table.Candidate {
	if len(versions) == 1 {
		return versions[0]
	}
	fraction := d.hashFraction(versions[0].Version.Ref.Model)
	total := 0
	for _, c := range versions {
		if c.Status == table.RollingOut {
			share := c.Version.Share()
			if fraction < share {
				return d.splitStep(c, share)
			}
			fraction -= share
			continue
		}
		total += c.Weight
	}
	return d.splitByWeight(versions, total)
}

func (d *decider) splitByWeight(versions []table.Candidate, total int) table.Candidate {
	if total == 0 {
		return d.splitStep(versions[0], 0)
	}
	// A hash with another salt: the first one was already compared with the
	// stages' shares and would skew the weights.
	fraction := d.hashFraction("weight " + versions[0].Version.Ref.Model)
	at := int(fraction * float64(total))
	for _, c := range versions {
		if c.Status == table.RollingOut {
			continue
		}
		if at < c.Weight {
			return d.splitStep(c, float64(c.Weight)/float64(total))
		}
		at -= c.Weight
	}
	return versions[len(versions)-1]
}

func (d *decider) splitStep(c table.Candidate, share float64) table.Candidate {
	s := step(StepSplit, c.Version.Ref)
	s.Value = share
	d.steps = append(d.steps, s)
	return c
}

// hashFraction maps the session, or the request if it has no session, to a
// number in [0,1) that is the same in all daemons.
func (d *decider) hashFraction(salt string) float64 {
	key := d.req.Session
	if key == "" {
		key = d.req.ID
	}
	var h xxhash.Digest
	h.ResetWithSeed(xxhash.Sum64String(salt))
	_, _ = h.WriteString(key)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// quality is the lower confidence bound of the quality of a version's answers.
func (d *decider) quality(c table.Candidate) float64 { return d.estimate(c).Low }

func (d *decider) estimate(c table.Candidate) Estimate {
	return d.view.quality(d.req.Tenant.Organisation.Name, d.req.Kind, c)
}
