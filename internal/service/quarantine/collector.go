package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

const (
	// quarantineTime is how long requests with a part are refused. The engines may be replaced
	// by ones that can process it.
	quarantineTime = 10 * time.Minute
	// minCrashes is the number of crashes at different times from which a part may be
	// quarantined. Two may be a coincidence where a request is retried.
	minCrashes = 3
	// rivalCrashes is by how many crashes a part may fall behind another one and still be the more
	// likely cause.
	rivalCrashes = 1
	// maxChance is the probability up to which the losses of a part are too unlikely for a part
	// that is as often lost as others.
	maxChance = 1e-6
	// firstLateMilestone is the first milestone before which so many responses are in flight that
	// sound parts are lost in several crashes one after the other.
	firstLateMilestone milestone = 2
	// placeEvents is the number of events by which the places of losses for the same cause differ:
	// a host may not receive the last event before a crash.
	placeEvents = 1
	// minFirstAttempts is the number of crashes that must have met first attempts at one place for those
	// of retried attempts to count.
	minFirstAttempts = 2
	// crashSpread is the time within which hosts observe the same crash, and within which
	// several upstreams that fail for the same reason crash.
	crashSpread = 100 * time.Millisecond
	// settleTime is the age from which a loss counts: by then all hosts have reported the
	// responses that they lost in the same crash.
	settleTime = 600 * time.Millisecond
	// confirmTime is how long a part is suspected before it may be quarantined: long enough for
	// all hosts to report progress on it, also if one exchange fails.
	confirmTime = 1300 * time.Millisecond
	// evaluateInterval is the least time between two evaluations of the evidence.
	evaluateInterval = 100 * time.Millisecond
	// maxSuspects bounds the parts on which hosts report progress.
	maxSuspects = 128
	// maxCollected bounds the losses of all hosts that are kept, and maxCollectedParts the parts of their
	// prompts. Ordinary prompts have a few parts.
	maxCollected      = 512
	maxCollectedParts = 4096
	// memoryTime is how long the crashes of a part count if no response with it is known to have passed
	// the place of the crashes.
	memoryTime = 10 * time.Minute
	// maxRemembered bounds the parts, for each milestone, whose crashes are remembered longer than all losses.
	maxRemembered = 16
	// maxRememberedLosses bounds the crashes of such a part; many fewer are enough to quarantine it.
	maxRememberedLosses = 64
)

// Collector finds the parts of prompts that crash engines in the evidence of all hosts. The zero
// value is ready to use.
//
// Engines may crash with the first event of a response or some events later, so the evidence is
// evaluated for each milestone of responses. A part is quarantined if engines crashed under it
// before the milestone at minCrashes different times, if no response has passed the milestone
// since, and if that is unlikely at the rate at which other responses are lost. Responses that are
// lost together with one that has the part don't count for this rate: the crash explains them.
// Crashes of a part on which there was never progress count for memoryTime, each with the rate of other losses
// at its time, so that a part is found that comes seldom.
// Before the late milestones the crashes must also be at one place in the responses, or unlikely
// at the rate of all losses. Of several parts, the likeliest cause is quarantined first.
type Collector struct {
	// Stored returns the quarantined parts in the store by id; it may be nil.
	Stored func() map[string]fleet.QuarantinedPart

	mu    sync.Mutex
	epoch int64
	// losses are the losses of all hosts by the collector's clock, in order of arrival.
	losses []*collected
	// progress is the last known progress on the parts of losses.
	progress map[string]*progress
	// remembered holds the crashes of parts without progress.
	remembered [milestoneCount]map[string]rememberedCrashes
	// suspects are the parts that were lost since the last progress on them, at evaluatedAt.
	suspects []string
	// suspectedAt is the time since which each part is suspected to crash engines before a
	// milestone.
	suspectedAt [milestoneCount]map[string]time.Time
	evaluatedAt time.Time
	passed      map[api.HostID]passedCount
	// decided holds the decisions that are not in the store yet.
	decided map[string]fleet.QuarantinedPart
	// storedUntil holds the ends of the quarantines that have been in the store.
	storedUntil map[string]time.Time
}

// collected is a loss of a host.
type collected struct {
	loss
	host api.HostID
	// explained is set if a quarantined part was lost in the same crash.
	explained bool
}

// passedCount holds the counts of a host's last report.
type passedCount struct {
	counts, recent [milestoneCount]int
	at             time.Time
}

// sameCrash reports whether two responses were lost in the same crash.
func (l *collected) sameCrash(other *collected) bool {
	return l.upstream == other.upstream && l.lost.Sub(other.lost).Abs() <= 2*crashSpread
}

// Exchange adds the evidence of a host, which may be nil, and returns the verdict.
func (c *Collector) Exchange(report *Report, now time.Time) *Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch == 0 {
		c.epoch = now.UnixNano()
		c.progress, c.passed, c.decided = map[string]*progress{}, map[api.HostID]passedCount{}, map[string]fleet.QuarantinedPart{}
		for m := range c.suspectedAt {
			c.suspectedAt[m], c.remembered[m] = map[string]time.Time{}, map[string]rememberedCrashes{}
		}
	}
	if report != nil {
		c.add(report, now)
	}
	if len(c.losses) > 0 && now.Sub(c.evaluatedAt) >= evaluateInterval {
		c.evaluatedAt = now
		c.expire(now)
		c.evaluate(now)
	}
	verdict := &Verdict{Epoch: c.epoch, Suspects: c.suspects}
	if report != nil {
		verdict.Lifted = c.liftedOf(report.Quarantined, now)
	}
	for _, part := range c.decided {
		verdict.Quarantined = append(verdict.Quarantined, part)
	}
	return verdict
}

// Unstored returns the decisions that have to be written to the store.
func (c *Collector) Unstored(now time.Time) []fleet.QuarantinedPart {
	stored := c.stored()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordStored(stored, now)
	var list []fleet.QuarantinedPart
	for id, part := range c.decided {
		if !stored[id].Until.Before(part.Until) || !now.Before(part.Until) {
			delete(c.decided, id)
			continue
		}
		list = append(list, part)
	}
	return list
}

func (c *Collector) stored() map[string]fleet.QuarantinedPart {
	if c.Stored == nil {
		return nil
	}
	return c.Stored()
}

func (c *Collector) add(report *Report, now time.Time) {
	c.adopt(report.Quarantined, now)
	c.passed[report.Host] = passedCount{report.Passed, report.RecentlyPassed, now}
	for _, l := range report.Losses {
		known := slices.ContainsFunc(c.losses, func(other *collected) bool {
			return other.host == report.Host && other.number == l.Number && other.upstream == l.Upstream
		})
		if known {
			continue
		}
		c.losses = append(c.losses, &collected{host: report.Host, loss: loss{
			l.Number, l.Upstream, now.Add(-milliseconds(l.SentMs)), now.Add(-milliseconds(l.LostMs)), l.Events, l.Retried, l.Parts,
		}})
	}
	c.trim()
	for part, ages := range report.PassedMs {
		known := c.progress[part]
		if known == nil {
			known = &progress{}
			c.progress[part] = known
		}
		for m, age := range ages {
			if at := now.Add(-milliseconds(age)); age != neverPassed && at.After(known[m]) {
				known[m] = at
			}
		}
	}
}

// adopt takes over the decisions of another collecting host that it could not write to the store.
func (c *Collector) adopt(parts []fleet.QuarantinedPart, now time.Time) {
	stored := c.stored()
	c.recordStored(stored, now)
	for _, part := range parts {
		if now.Before(part.Until) && c.storedUntil[part.Part].Before(part.Until) && c.decided[part.Part].Until.Before(part.Until) {
			c.decided[part.Part] = part
		}
	}
}

// recordStored records the quarantines that are in the store. The caller holds mu.
func (c *Collector) recordStored(stored map[string]fleet.QuarantinedPart, now time.Time) {
	maps.DeleteFunc(c.storedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	for id, part := range stored {
		if now.Before(part.Until) && c.storedUntil[id].Before(part.Until) {
			if c.storedUntil == nil {
				c.storedUntil = map[string]time.Time{}
			}
			c.storedUntil[id] = part.Until
		}
	}
}

// liftedOf returns the ids of the decisions that were in the store and have been removed from it before their
// end.
func (c *Collector) liftedOf(parts []fleet.QuarantinedPart, now time.Time) []string {
	stored := c.stored()
	var lifted []string
	for _, part := range parts {
		if now.Before(part.Until) && !c.storedUntil[part.Part].Before(part.Until) && stored[part.Part].Until.Before(part.Until) {
			lifted = append(lifted, part.Part)
		}
	}
	return lifted
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// expire drops old evidence.
func (c *Collector) expire(now time.Time) {
	c.losses = slices.DeleteFunc(c.losses, func(l *collected) bool {
		expired := now.Sub(l.lost) > evidenceTime
		if expired {
			// The loss may be remembered for one of its parts, which needs no others.
			l.parts = nil
		}
		return expired
	})
	c.trim()
	parts := map[string]bool{}
	for _, l := range c.losses {
		for _, part := range l.parts {
			parts[part] = true
		}
	}
	for _, crashes := range c.remembered {
		for part := range crashes {
			parts[part] = true
		}
	}
	maps.DeleteFunc(c.progress, func(part string, _ *progress) bool { return !parts[part] })
	maps.DeleteFunc(c.passed, func(_ api.HostID, count passedCount) bool { return now.Sub(count.at) > evidenceTime })
}

// trim drops losses that are too many or have too many parts.
func (c *Collector) trim() {
	if excess := len(c.losses) - maxCollected; excess > 0 {
		c.losses = slices.Delete(c.losses, 0, excess)
	}
	c.losses = trimParts(c.losses, maxCollectedParts, func(l *collected) int { return len(l.parts) })
}

// candidate is a part with the evidence that it crashes engines before a milestone.
type candidate struct {
	part      string
	milestone milestone
	// losses are the losses before the milestone since a response last passed it, in order of time.
	losses  []*collected
	crashes int
	// progress is the time at which a response last passed the milestone before the crashes; zero
	// if none did.
	progress time.Time
	// position is the position of the part in the prompt.
	position int
}

// evaluate quarantines the parts against which there is enough evidence. The crashes of a part
// are then no evidence against the others.
func (c *Collector) evaluate(now time.Time) {
	for {
		c.markExplained(now)
		var all []*candidate
		var found *candidate
		for m := range milestone(milestoneCount) {
			candidates := c.candidates(m, now)
			c.remember(m, candidates, now)
			all = append(all, candidates...)
			if found == nil {
				found = c.findCause(candidates, now)
			}
		}
		if found == nil {
			c.setSuspects(all)
			return
		}
		c.decided[found.part] = fleet.QuarantinedPart{Part: found.part, Until: now.Add(quarantineTime), Crashes: found.crashes}
	}
}

// findCause returns the likeliest candidate if there is enough evidence against it, or nil. A part
// is not quarantined while another one is the more likely cause.
func (c *Collector) findCause(candidates []*candidate, now time.Time) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	most := slices.MaxFunc(candidates, func(a, b *candidate) int { return cmp.Compare(a.crashes, b.crashes) }).crashes
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(d *candidate) bool { return d.crashes < most-rivalCrashes })
	likeliest := slices.MinFunc(candidates, (*candidate).compare)
	if likeliest.crashes < minCrashes || now.Sub(c.suspectedAt[likeliest.milestone][likeliest.part]) < confirmTime || c.chance(likeliest, now) > maxChance {
		return nil
	}
	if likeliest.milestone >= firstLateMilestone && likeliest.crashesAtOnePlace(now.Add(-settleTime)) < minCrashes && c.coincidence(likeliest, now) > maxChance {
		return nil
	}
	return likeliest
}

// compare orders candidates by how likely they are the cause of the crashes, the likeliest first:
// a part on which no engine has ever made progress, then one with more crashes. A later part is
// shared by fewer requests.
func (d *candidate) compare(other *candidate) int {
	if d.progress.IsZero() != other.progress.IsZero() {
		if d.progress.IsZero() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(other.crashes, d.crashes), d.progress.Compare(other.progress), cmp.Compare(other.position, d.position), cmp.Compare(d.part, other.part))
}

// markExplained marks the losses in crashes under which a quarantined part was lost.
func (c *Collector) markExplained(now time.Time) {
	stored := c.stored()
	for _, cause := range c.losses {
		quarantined := slices.ContainsFunc(cause.parts, func(part string) bool {
			return now.Before(stored[part].Until) || now.Before(c.decided[part].Until)
		})
		if !quarantined {
			continue
		}
		for _, l := range c.losses {
			l.explained = l.explained || l.sameCrash(cause)
		}
	}
}

// candidates returns the parts of unexplained losses before a milestone since a response last
// passed it, and records since when they are suspected.
func (c *Collector) candidates(m milestone, now time.Time) []*candidate {
	byPart := map[string]*candidate{}
	add := func(l *collected, part string, position int) {
		var passed time.Time
		if known := c.progress[part]; known != nil {
			passed = known[m]
		}
		if l.explained || !l.lost.After(passed) {
			return
		}
		if byPart[part] == nil {
			byPart[part] = &candidate{part: part, milestone: m, progress: passed, position: position}
		}
		byPart[part].losses = append(byPart[part].losses, l)
	}
	for _, l := range c.losses {
		if !m.before(l.events) {
			continue
		}
		for position, part := range l.parts {
			add(l, part, position)
		}
	}
	for part, crashes := range c.remembered[m] {
		for l := range crashes {
			if now.Sub(l.lost) > evidenceTime {
				add(l, part, crashes[l].position)
			}
		}
	}
	suspectedAt := c.suspectedAt[m]
	maps.DeleteFunc(suspectedAt, func(part string, _ time.Time) bool { return byPart[part] == nil })
	list := make([]*candidate, 0, len(byPart))
	for part, d := range byPart {
		if suspectedAt[part].IsZero() {
			suspectedAt[part] = now
		}
		d.countCrashes(now.Add(-settleTime))
		list = append(list, d)
	}
	return list
}

// countCrashes counts the crashes until a time that are independent of each other.
func (d *candidate) countCrashes(until time.Time) {
	slices.SortFunc(d.losses, func(a, b *collected) int { return a.lost.Compare(b.lost) })
	d.crashes = countIndependent(d.losses, until)
}

// setSuspects sets the parts on which hosts report progress, those with the most crashes first if
// there are too many.
func (c *Collector) setSuspects(candidates []*candidate) {
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.part, b.part))
	})
	c.suspects = nil
	listed := map[string]bool{}
	for _, d := range candidates {
		if len(c.suspects) == maxSuspects {
			return
		}
		if !listed[d.part] {
			listed[d.part] = true
			c.suspects = append(c.suspects, d.part)
		}
	}
}
