package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// crashesAtOnePlace counts the crashes under which responses with the part had come equally far:
// a part that crashes engines does so at one place, others are lost anywhere. The places of
// retried attempts depend on the times of earlier crashes. They count only if crashes also met first
// attempts there minFirstAttempts times, and if no crash met the part at other places only. Places before
// the last milestone don't count, as they are judged there.
func (d *candidate) crashesAtOnePlace(until time.Time) int {
	furthest := slices.MaxFunc(d.losses, func(a, b *collected) int { return cmp.Compare(a.events, b.events) }).events
	if d.milestone > 0 && (d.milestone - 1).before(furthest) {
		return 0
	}
	var atPlace, firstAttempts []*collected
	for _, l := range d.losses {
		if l.events < furthest-placeEvents {
			continue
		}
		atPlace = append(atPlace, l)
		if !l.retried {
			firstAttempts = append(firstAttempts, l)
		}
	}
	crashes := countIndependent(firstAttempts, until)
	elsewhere := slices.ContainsFunc(d.losses, func(l *collected) bool { return !slices.ContainsFunc(atPlace, l.sameCrash) })
	if crashes < minFirstAttempts || elsewhere {
		return crashes
	}
	return countIndependent(atPlace, until)
}

// countIndependent counts the crashes until a time that are independent of each other. The losses
// are in order of time.
func countIndependent(losses []*collected, until time.Time) int {
	return len(independentLosses(losses, until))
}

// independentLosses returns the first loss of each crash until a time that is independent of those before.
// The losses are in order of time.
func independentLosses(losses []*collected, until time.Time) []*collected {
	var list []*collected
	for _, l := range losses {
		if !l.lost.After(until) && (len(list) == 0 || l.independent(list[len(list)-1])) {
			list = append(list, l)
		}
	}
	return list
}

// independent reports whether a response was lost for another cause than an earlier one, or for
// one that both requests brought along. Upstreams that crash at the same time probably share a
// cause.
func (l *collected) independent(earlier *collected) bool {
	return !l.sameCrash(earlier) && l.lost.Sub(earlier.lost) > crashSpread
}

// chance returns the probability of the crashes of a candidate if it were lost as often as others.
func (c *Collector) chance(d *candidate, now time.Time) float64 {
	rate, chance := c.countUnexplained(d).rate(), 1.0
	for _, l := range independentLosses(d.losses, now.Add(-settleTime)) {
		if now.Sub(l.lost) > evidenceTime {
			chance *= c.remembered[d.milestone][d.part][l].rate()
		} else {
			chance *= rate
		}
	}
	return chance
}

// countUnexplained counts the responses that were lost before the milestone of a candidate, without those that were
// lost together with it, and those that passed it.
func (c *Collector) countUnexplained(d *candidate) lossCount {
	others := c.countLosses(func(l *collected) bool {
		return !l.explained && d.milestone.before(l.events) && !slices.ContainsFunc(d.losses, l.sameCrash)
	})
	passed := 0
	for _, count := range c.passed {
		passed += count.counts[d.milestone]
	}
	return lossCount{others, passed}
}

// coincidence returns the probability of the crashes of a candidate if it were lost as often as
// others within recentTime, including those that were lost in the same crashes.
func (c *Collector) coincidence(d *candidate, now time.Time) float64 {
	others := c.countLosses(func(l *collected) bool {
		return d.milestone.before(l.events) && now.Sub(l.lost) <= recentTime && !slices.Contains(d.losses, l)
	})
	passed := 0
	for _, count := range c.passed {
		passed += count.recent[d.milestone]
	}
	recent := slices.DeleteFunc(slices.Clone(d.losses), func(l *collected) bool { return now.Sub(l.lost) > evidenceTime })
	return math.Pow(lossRate(others, passed), float64(countIndependent(recent, now.Add(-settleTime))))
}

func (c *Collector) countLosses(counts func(*collected) bool) int {
	n := 0
	for _, l := range c.losses {
		if counts(l) {
			n++
		}
	}
	return n
}

// lossRate estimates the probability of a loss; it is never 0 or 1.
func lossRate(lost, passed int) float64 { return (float64(lost) + 0.5) / (float64(lost+passed) + 1) }
