// Package quarantine finds parts of prompts that crash the engines that generate on them, and
// keeps requests with such a part away from engines. Each host tracks the responses that it lost
// and the parts on which engines made progress; a collecting host finds the part that the crashes
// have in common.
package quarantine

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

const (
	// evidenceTime is how long lost responses count.
	evidenceTime = 30 * time.Second
	// recentTime is the time for which the losses of all parts are compared.
	recentTime = 5 * time.Second
	// maxLosses bounds the lost responses that a host keeps, and maxLossParts the parts of their prompts.
	maxLosses    = 64
	maxLossParts = 2048
	// maxParts bounds each generation of the parts with known progress. The time of the last
	// progress is remembered for one to two generations.
	maxParts = 4096
	// milestoneCount is the number of milestones of a response: those of milestoneEvents and its
	// end.
	milestoneCount = len(milestoneEvents) + 1
)

// milestoneEvents are the numbers of events with which a response passes its milestones but the
// last one. An engine may crash some events after the cause, and the sooner a response is known to
// have passed the place of the crash, the fewer sound parts are suspected.
var milestoneEvents = [...]int{2, 6, 24}

// IsMilestone reports whether a response passes a milestone with so many events.
func IsMilestone(events int) bool { return slices.Contains(milestoneEvents[:], events) }

// milestone is a place in a response, an index of milestoneEvents. The last one is the end.
type milestone int

// before reports whether a response with a number of events that has not ended is before m.
func (m milestone) before(events int) bool {
	return int(m) == len(milestoneEvents) || events < milestoneEvents[m]
}

// Loss is a response that its engine broke off.
type Loss struct {
	// Number increases with each loss of a host.
	Number   uint64            `json:"number"`
	Upstream fleet.Incarnation `json:"upstream"`
	// SentMs and LostMs are the times since the request was sent and the response was lost, in
	// milliseconds. Clocks differ between hosts.
	SentMs int64 `json:"sent_ms"`
	LostMs int64 `json:"lost_ms"`
	// Events is the number of events before the loss.
	Events int `json:"events"`
	// Retried is set if the request had been sent to another engine before. The times of such
	// attempts depend on those of earlier crashes.
	Retried bool `json:"retried,omitempty"`
	// Parts are the ids of the shared parts of the prompt, in order.
	Parts []string `json:"parts"`
}

// Report is the evidence that a host sends to the collecting host.
type Report struct {
	Host api.HostID `json:"host"`
	// Losses are those that the collecting host does not have yet.
	Losses []Loss `json:"lost,omitempty"`
	// Quarantined holds the decisions of any collecting host that are not in the store yet.
	Quarantined []fleet.QuarantinedPart `json:"quarantined,omitempty"`
	// PassedMs holds, for the parts of Losses and the suspected ones, the time since a response
	// last passed each milestone, in milliseconds; neverPassed if none did.
	PassedMs map[string][milestoneCount]int64 `json:"passed_ms,omitempty"`
	// Passed is the number of responses that passed each milestone within evidenceTime.
	Passed [milestoneCount]int `json:"passed"`
	// RecentlyPassed is the same within recentTime.
	RecentlyPassed [milestoneCount]int `json:"recently_passed"`
}

// neverPassed is the time since a milestone was passed if that is not known.
const neverPassed = -1

// Verdict is the response of the collecting host.
type Verdict struct {
	// Epoch identifies the collecting host and its start.
	Epoch int64 `json:"epoch"`
	// Suspects are the parts on which hosts should report progress.
	Suspects []string `json:"suspects,omitempty"`
	// Quarantined holds the decisions that are not in the store yet.
	Quarantined []fleet.QuarantinedPart `json:"quarantined,omitempty"`
	// Lifted are the reported decisions that have been removed from the store.
	Lifted []string `json:"lifted,omitempty"`
}

// loss is a loss with the times by the host's own clock.
type loss struct {
	number     uint64
	upstream   fleet.Incarnation
	sent, lost time.Time
	events     int
	retried    bool
	parts      []string
}

// progress holds the time of the last response that passed each milestone; zero if there was none.
type progress [milestoneCount]time.Time

// Tracker holds the evidence of one host and the parts in quarantine. The zero value is ready
// to use.
type Tracker struct {
	// Stored returns the quarantined parts in the store by id; it may be nil.
	Stored func() map[string]fleet.QuarantinedPart

	mu     sync.Mutex
	number uint64
	losses []loss
	// recent and older hold the last progress by part. When recent is full, it replaces older.
	recent, older map[string]*progress
	passed        [milestoneCount]recentCount
	// epoch is that of the last verdict, and acknowledged the number of the last loss that its
	// collecting host received.
	epoch        int64
	acknowledged uint64
	suspects     []string
	// decided holds the decisions that were not in the store yet when they were received.
	decided map[string]fleet.QuarantinedPart
}

// Find returns the first part that is in quarantine, or nil.
func (t *Tracker) Find(parts []fleet.PromptPart, now time.Time) *fleet.QuarantinedPart {
	stored := t.stored()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		for _, known := range []map[string]fleet.QuarantinedPart{stored, t.decided} {
			if found := known[part.ID]; now.Before(found.Until) {
				return &found
			}
		}
	}
	return nil
}

func (t *Tracker) stored() map[string]fleet.QuarantinedPart {
	if t.Stored == nil {
		return nil
	}
	return t.Stored()
}

// RecordEvent records that a response has so many events.
func (t *Tracker) RecordEvent(parts []fleet.PromptPart, events int, now time.Time) {
	if m := slices.Index(milestoneEvents[:], events); m >= 0 {
		t.recordPassed(parts, m, m+1, now)
	}
}

// RecordEnd records that a response with so many events ended whole: the parts of its prompt do
// not crash engines.
func (t *Tracker) RecordEnd(parts []fleet.PromptPart, events int, now time.Time) {
	first := 0
	for first < len(milestoneEvents) && !milestone(first).before(events) {
		first++
	}
	t.recordPassed(parts, first, milestoneCount, now)
}

// recordPassed records that a response passed the milestones from first to before end.
func (t *Tracker) recordPassed(parts []fleet.PromptPart, first, end int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for m := first; m < end; m++ {
		t.passed[m].add(1, now)
	}
	for _, part := range parts {
		known := t.recent[part.ID]
		if known == nil {
			known = &progress{}
			if older := t.older[part.ID]; older != nil {
				*known = *older
			}
			if t.recent == nil || len(t.recent) >= maxParts {
				t.recent, t.older = make(map[string]*progress), t.recent
			}
			// The id is a part of the whole header of its request.
			t.recent[strings.Clone(part.ID)] = known
		}
		for m := first; m < end; m++ {
			known[m] = now
		}
	}
}

// RecordLoss records a response that the engine broke off after so many events.
func (t *Tracker) RecordLoss(upstream fleet.Incarnation, parts []fleet.PromptPart, events int, retried bool, sent, now time.Time) {
	if len(parts) == 0 {
		return
	}
	ids := make([]string, min(len(parts), maxLossParts))
	for i := range ids {
		ids[i] = strings.Clone(parts[i].ID)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	t.losses = append(t.losses, loss{t.number, upstream, sent, now, events, retried, ids})
	if len(t.losses) > maxLosses {
		t.losses = t.losses[1:]
	}
	t.losses = trimParts(t.losses, maxLossParts, func(l loss) int { return len(l.parts) })
}

// passedMs returns the times since responses with a part passed each milestone, and whether any
// did.
func (t *Tracker) passedMs(part string, now time.Time) ([milestoneCount]int64, bool) {
	var ages [milestoneCount]int64
	known := t.recent[part]
	if known == nil {
		known = t.older[part]
	}
	if known == nil {
		return ages, false
	}
	for m, at := range known {
		ages[m] = neverPassed
		if !at.IsZero() {
			ages[m] = now.Sub(at).Milliseconds()
		}
	}
	return ages, true
}

// Report returns the evidence for the collecting host, or nil if there is none.
func (t *Tracker) Report(host api.HostID, now time.Time) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropStored(now)
	report := &Report{Host: host, Quarantined: slices.Collect(maps.Values(t.decided))}
	for m := range t.passed {
		report.Passed[m] = t.passed[m].sum(now, evidenceTime)
		report.RecentlyPassed[m] = t.passed[m].sum(now, recentTime)
	}
	parts := t.suspects
	for _, l := range t.losses {
		if l.number <= t.acknowledged || now.Sub(l.lost) > evidenceTime {
			continue
		}
		report.Losses = append(report.Losses, Loss{
			l.number, l.upstream, now.Sub(l.sent).Milliseconds(), now.Sub(l.lost).Milliseconds(), l.events, l.retried, l.parts,
		})
		parts = append(parts[:len(parts):len(parts)], l.parts...)
	}
	if len(parts) == 0 && len(report.Quarantined) == 0 {
		return nil
	}
	for _, part := range parts {
		ages, known := t.passedMs(part, now)
		if !known {
			continue
		}
		if report.PassedMs == nil {
			report.PassedMs = map[string][milestoneCount]int64{}
		}
		report.PassedMs[part] = ages
	}
	return report
}

// Apply applies the verdict on a report; report may be nil. It returns the parts that are newly
// in quarantine. A new collecting host gets all losses again.
func (t *Tracker) Apply(report *Report, verdict *Verdict, now time.Time) []fleet.QuarantinedPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case verdict.Epoch != t.epoch:
		t.epoch, t.acknowledged = verdict.Epoch, 0
	case report != nil && len(report.Losses) > 0:
		t.acknowledged = report.Losses[len(report.Losses)-1].Number
	}
	t.suspects = verdict.Suspects
	for _, id := range verdict.Lifted {
		delete(t.decided, id)
	}
	return t.addDecided(verdict.Quarantined, now)
}

// dropStored drops the decisions that have ended or are in the store. Those are left to it, so that their
// removal from there ends the quarantine. The caller holds mu.
func (t *Tracker) dropStored(now time.Time) {
	stored := t.stored()
	maps.DeleteFunc(t.decided, func(id string, part fleet.QuarantinedPart) bool {
		return !stored[id].Until.Before(part.Until) || !now.Before(part.Until)
	})
}

// addDecided adds decisions that are not in the store and returns the new ones. The caller holds mu.
func (t *Tracker) addDecided(parts []fleet.QuarantinedPart, now time.Time) []fleet.QuarantinedPart {
	t.dropStored(now)
	stored := t.stored()
	var added []fleet.QuarantinedPart
	for _, part := range parts {
		if !stored[part.Part].Until.Before(part.Until) || t.decided[part.Part].Until.Equal(part.Until) {
			continue
		}
		if t.decided == nil {
			t.decided = map[string]fleet.QuarantinedPart{}
		}
		t.decided[part.Part] = part
		added = append(added, part)
	}
	return added
}

// recentCount counts events of the last evidenceTime in steps of a second.
type recentCount struct {
	counts  [int(evidenceTime/time.Second) + 1]int
	seconds [int(evidenceTime/time.Second) + 1]int64
}

func (c *recentCount) add(n int, now time.Time) {
	second := now.Unix()
	slot := int(second % int64(len(c.counts)))
	if c.seconds[slot] != second {
		c.counts[slot], c.seconds[slot] = 0, second
	}
	c.counts[slot] += n
}

func (c *recentCount) sum(now time.Time, within time.Duration) int {
	sum := 0
	for i, second := range c.seconds {
		if now.Unix()-second <= int64(within/time.Second) {
			sum += c.counts[i]
		}
	}
	return sum
}
