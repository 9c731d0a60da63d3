package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// lossCount counts the responses that were lost and those that passed a milestone in the same time.
type lossCount struct{ lost, passed int }

// rate estimates the probability of a loss; it is never 0 or 1.
func (n lossCount) rate() float64 { return lossRate(n.lost, n.passed) }

// share returns the part of the responses that were lost.
func (n lossCount) share() float64 {
	if n.lost == 0 {
		return 0
	}
	return float64(n.lost) / float64(n.lost+n.passed)
}

// rememberedCrash is what is kept of a loss after evidenceTime.
type rememberedCrash struct {
	// before and after count other responses in the times before and after the crash.
	before, after lossCount
	// complete is set once after is known.
	complete bool
	// position is the position of the part in the prompt.
	position int
}

// rate returns the rate of other losses around the crash, the higher one if it differs before and after.
func (c rememberedCrash) rate() float64 {
	both := lossCount{c.before.lost + c.after.lost, c.before.passed + c.after.passed}
	return max(both.rate(), c.before.share(), c.after.share())
}

// rememberedCrashes holds the losses of a part that are or were evidence against it.
type rememberedCrashes map[*collected]rememberedCrash

// remember keeps the losses of candidates beyond evidenceTime if no response is known to have passed the
// milestone. Sound parts, most of which have been used before, are lost several times in a row where engines crash often.
func (c *Collector) remember(m milestone, candidates []*candidate, now time.Time) {
	remembered := c.remembered[m]
	current := make(map[string]bool, len(candidates))
	for _, d := range candidates {
		if !d.progress.IsZero() {
			continue
		}
		current[d.part] = true
		crashes := remembered[d.part]
		maps.DeleteFunc(crashes, func(l *collected, _ rememberedCrash) bool {
			return now.Sub(l.lost) > memoryTime || !slices.Contains(d.losses, l)
		})
		for _, l := range d.losses {
			known, found := crashes[l]
			age := now.Sub(l.lost)
			switch {
			case age < settleTime || age > evidenceTime:
				continue
			case !found && len(crashes) >= maxRememberedLosses:
				continue
			case !found:
				known.before, known.position = c.countUnexplained(d), slices.Index(l.parts, d.part)
			case age >= evidenceTime-afterMargin && !known.complete:
				known.after, known.complete = c.countUnexplained(d), true
			default:
				continue
			}
			if crashes == nil {
				crashes = rememberedCrashes{}
				remembered[d.part] = crashes
			}
			crashes[l] = known
		}
	}
	maps.DeleteFunc(remembered, func(part string, crashes rememberedCrashes) bool { return !current[part] || len(crashes) == 0 })
	c.dropExcess(m, now)
}

// afterMargin is the time before the end of evidenceTime in which the responses after a crash are counted.
const afterMargin = time.Second

// dropExcess bounds the parts whose losses are all older than evidenceTime. Those with the fewest losses go first, of
// these the ones whose last loss is the oldest.
func (c *Collector) dropExcess(m milestone, now time.Time) {
	type old struct {
		part   string
		losses int
		last   time.Time
	}
	var list []old
	for part, crashes := range c.remembered[m] {
		o := old{part: part, losses: len(crashes)}
		for l := range crashes {
			if l.lost.After(o.last) {
				o.last = l.lost
			}
		}
		if now.Sub(o.last) > evidenceTime {
			list = append(list, o)
		}
	}
	if len(list) <= maxRemembered {
		return
	}
	slices.SortFunc(list, func(a, b old) int {
		return cmp.Or(cmp.Compare(b.losses, a.losses), b.last.Compare(a.last), cmp.Compare(a.part, b.part))
	})
	for _, o := range list[maxRemembered:] {
		delete(c.remembered[m], o.part)
	}
}

// longPromptParts is the number of parts from which a prompt is long.
const longPromptParts = 32

// trimParts drops losses until their prompts together have at most limit parts: the oldest of those with a long
// prompt, and then the oldest ones. The losses are in order of arrival.
func trimParts[L any](losses []L, limit int, count func(L) int) []L {
	total := 0
	for _, l := range losses {
		total += count(l)
	}
	if total <= limit {
		return losses
	}
	for _, least := range []int{longPromptParts, 0} {
		losses = slices.DeleteFunc(losses, func(l L) bool {
			if total <= limit || count(l) < least {
				return false
			}
			total -= count(l)
			return true
		})
	}
	return losses
}
