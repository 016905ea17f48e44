package route

import (
	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/table"
)

// choose splits each model's new sessions among its versions, then takes the
// cheapest model that reaches its target, or else the best one.
func (d *decider) choose(eligible []table.Candidate) (table.Candidate, float64) {
	var chosen, best table.Candidate
	var chosenQuality, bestQuality float64
	found, models := false, 0
	for i := 0; i < len(eligible); {
		j := i + 1
		for j < len(eligible) && eligible[j].Version.Ref.Model == eligible[i].Version.Ref.Model {
			j++
		}
		c := d.split(d.goodEnough(eligible[i:j]))
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

// goodEnough leaves out a model's steady versions that do not reach their
// target, if one does and the caller leaves the choice to the system. Versions
// in roll-out stay: their stage bounds their share.
func (d *decider) goodEnough(versions []table.Candidate) []table.Candidate {
	if d.req.Model != Auto || len(versions) == 1 {
		return versions
	}
	var good []table.Candidate
	steady := false
	for _, c := range versions {
		reaches := d.reaches(c, d.quality(c))
		if reaches || c.Status == table.RollingOut {
			good = append(good, c)
		}
		steady = steady || (reaches && c.Status == table.Steady)
	}
	if !steady {
		return versions
	}
	return good
}

// exploreShare is the part of the requests that may try a cheaper version of
// which too little is known.
const exploreShare = 0.03

// explores reports whether a request tries a version that does not reach its
// target by what is known, but might: else no ratings of it would ever come.
// Where nobody rates, nothing is tried.
func (d *decider) explores(c table.Candidate, quality float64) bool {
	if d.req.Model != Auto || len(d.view.Quality) == 0 || c.Status != table.Steady {
		return false
	}
	if quality >= c.Target || d.estimate(c).High < c.Target || d.point("explore") >= exploreShare {
		return false
	}
	s := step(StepExplore, c.Version.Ref)
	s.Value = d.estimate(c).High
	d.steps = append(d.steps, s)
	return true
}

// reaches reports whether a version's answer will do, or can be tried first.
func (d *decider) reaches(c table.Candidate, quality float64) bool {
	return quality >= c.Target || (d.req.Cascade && c.Cascade > 0)
}

// split picks one of a model's versions: those in roll-out take the share of
// their stage, the steady ones the rest by weight.
func (d *decider) split(versions []table.Candidate) table.Candidate {
	if len(versions) == 1 {
		return versions[0]
	}
	point := d.point(versions[0].Version.Ref.Model)
	total := 0
	for _, c := range versions {
		if c.Status == table.RollingOut {
			share := c.Version.Share()
			if point < share {
				return d.splitStep(c, share)
			}
			point -= share
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
	// A second point, so that the stage's share does not skew the weights.
	point := d.point("weight " + versions[0].Version.Ref.Model)
	at := int(point * float64(total))
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

// point is where in [0,1) the session, or else the request, falls.
func (d *decider) point(salt string) float64 {
	name := d.req.Session
	if name == "" {
		name = d.req.ID
	}
	var h xxhash.Digest
	h.ResetWithSeed(xxhash.Sum64String(salt))
	_, _ = h.WriteString(name)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// quality is the lower bound of how good a version's answers are.
func (d *decider) quality(c table.Candidate) float64 { return d.estimate(c).Low }

func (d *decider) estimate(c table.Candidate) Estimate {
	return d.view.quality(d.req.Tenant.Organisation.Name, d.req.Kind, c)
}
