package quarantine

import (
	"cmp"
	"maps"
	"math"
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
	// maxCollected bounds the losses of all hosts that are kept.
	maxCollected = 512
)

// Collector finds the parts of prompts that crash engines in the evidence of all hosts. The zero
// value is ready to use.
//
// A part is quarantined if engines crashed under it at minCrashes different times, if no engine
// has made progress on it since, and if that is unlikely at the rate at which other responses are
// lost. Responses that are lost together with one that has the part don't count for this rate:
// the crash explains them. Of several parts, the likeliest cause is quarantined first.
type Collector struct {
	// Stored returns the quarantined parts in the store by id; it may be nil.
	Stored func() map[string]fleet.QuarantinedPart

	mu    sync.Mutex
	epoch int64
	// losses are the losses of all hosts by the collector's clock, in order of arrival.
	losses []*collected
	// progress is the time of the last known progress on the parts of losses.
	progress map[string]time.Time
	// suspects are the parts that were lost since the last progress on them, at evaluatedAt,
	// and suspectedAt the time since which each is suspected.
	suspects    []string
	suspectedAt map[string]time.Time
	evaluatedAt time.Time
	answered    map[api.HostID]answeredCount
	// decided holds the decisions that are not in the store yet.
	decided map[string]fleet.QuarantinedPart
}

// collected is a loss of a host.
type collected struct {
	loss
	host api.HostID
	// explained is set if a quarantined part was lost in the same crash.
	explained bool
}

// answeredCount is the count of a host's last report.
type answeredCount struct {
	count int
	at    time.Time
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
		c.progress, c.suspectedAt = map[string]time.Time{}, map[string]time.Time{}
		c.answered, c.decided = map[api.HostID]answeredCount{}, map[string]fleet.QuarantinedPart{}
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
	c.answered[report.Host] = answeredCount{report.Answered, now}
	for _, l := range report.Losses {
		known := slices.ContainsFunc(c.losses, func(other *collected) bool {
			return other.host == report.Host && other.number == l.Number && other.upstream == l.Upstream
		})
		if known {
			continue
		}
		c.losses = append(c.losses, &collected{host: report.Host, loss: loss{
			l.Number, l.Upstream, now.Add(-milliseconds(l.SentMs)), now.Add(-milliseconds(l.LostMs)), l.Parts,
		}})
	}
	for part, age := range report.ProgressMs {
		if at := now.Add(-milliseconds(age)); at.After(c.progress[part]) {
			c.progress[part] = at
		}
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// expire drops old evidence.
func (c *Collector) expire(now time.Time) {
	c.losses = slices.DeleteFunc(c.losses, func(l *collected) bool { return now.Sub(l.lost) > evidenceTime })
	if excess := len(c.losses) - maxCollected; excess > 0 {
		c.losses = slices.Delete(c.losses, 0, excess)
	}
	parts := map[string]bool{}
	for _, l := range c.losses {
		for _, part := range l.parts {
			parts[part] = true
		}
	}
	maps.DeleteFunc(c.progress, func(part string, _ time.Time) bool { return !parts[part] })
	maps.DeleteFunc(c.suspectedAt, func(part string, _ time.Time) bool { return !parts[part] })
	maps.DeleteFunc(c.answered, func(_ api.HostID, count answeredCount) bool { return now.Sub(count.at) > evidenceTime })
}

// candidate is a part with the evidence against it.
type candidate struct {
	part string
	// losses are the losses since the last progress on the part, in order of time.
	losses  []*collected
	crashes int
	// progress is the time of the last progress before the crashes; zero if there was none.
	progress time.Time
	// position is the position of the part in the prompt.
	position int
}

// evaluate quarantines the parts against which there is enough evidence, the most likely cause
// first: its crashes are then no evidence against the other parts. A part is not quarantined
// while another one is the more likely cause.
func (c *Collector) evaluate(now time.Time) {
	for {
		c.markExplained(now)
		candidates := c.candidates(now)
		c.setSuspects(candidates)
		if len(candidates) == 0 {
			return
		}
		most := slices.MaxFunc(candidates, func(a, b *candidate) int { return cmp.Compare(a.crashes, b.crashes) }).crashes
		candidates = slices.DeleteFunc(candidates, func(d *candidate) bool { return d.crashes < most-rivalCrashes })
		likeliest := slices.MinFunc(candidates, (*candidate).compare)
		if likeliest.crashes < minCrashes || now.Sub(c.suspectedAt[likeliest.part]) < confirmTime || c.chance(likeliest) > maxChance {
			return
		}
		c.decided[likeliest.part] = fleet.QuarantinedPart{Part: likeliest.part, Until: now.Add(quarantineTime), Crashes: likeliest.crashes}
	}
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

// candidates returns the parts of unexplained losses since the last progress on them, and records
// since when they are suspected.
func (c *Collector) candidates(now time.Time) []*candidate {
	byPart := map[string]*candidate{}
	for _, l := range c.losses {
		if l.explained {
			continue
		}
		for position, part := range l.parts {
			if !l.lost.After(c.progress[part]) {
				continue
			}
			if byPart[part] == nil {
				byPart[part] = &candidate{part: part, progress: c.progress[part], position: position}
			}
			byPart[part].losses = append(byPart[part].losses, l)
		}
	}
	maps.DeleteFunc(c.suspectedAt, func(part string, _ time.Time) bool { return byPart[part] == nil })
	list := make([]*candidate, 0, len(byPart))
	for part, d := range byPart {
		if c.suspectedAt[part].IsZero() {
			c.suspectedAt[part] = now
		}
		d.countCrashes(now.Add(-settleTime))
		list = append(list, d)
	}
	return list
}

// countCrashes counts the crashes until a time that are independent of each other.
func (d *candidate) countCrashes(until time.Time) {
	slices.SortFunc(d.losses, func(a, b *collected) int { return a.lost.Compare(b.lost) })
	var last *collected
	for _, l := range d.losses {
		if !l.lost.After(until) && (last == nil || l.independent(last)) {
			d.crashes++
			last = l
		}
	}
}

// independent reports whether a response was lost for another cause than an earlier one, or for
// one that both requests brought along. Upstreams that crash at the same time probably share a
// cause.
func (l *collected) independent(earlier *collected) bool {
	return !l.sameCrash(earlier) && l.lost.Sub(earlier.lost) > crashSpread
}

// chance returns the probability of the crashes of a candidate if it were lost as often as others.
func (c *Collector) chance(d *candidate) float64 {
	others := 0.0
	for _, l := range c.losses {
		if !l.explained && !slices.ContainsFunc(d.losses, l.sameCrash) {
			others++
		}
	}
	answered := 0.0
	for _, count := range c.answered {
		answered += float64(count.count)
	}
	lossRate := (others + 0.5) / (others + answered + 1)
	return math.Pow(lossRate, float64(d.crashes))
}

// setSuspects sets the parts on which hosts report progress, those with the most crashes first if
// there are too many.
func (c *Collector) setSuspects(candidates []*candidate) {
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.part, b.part))
	})
	c.suspects = nil
	for _, d := range candidates[:min(len(candidates), maxSuspects)] {
		c.suspects = append(c.suspects, d.part)
	}
}
