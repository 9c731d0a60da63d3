// Package quarantine finds parts of prompts that crash the engines that generate on them, and
// keeps requests with such a part away from engines. Each host tracks the responses that it lost
// and the parts on which engines made progress; a collecting host finds the part that the crashes
// have in common.
package quarantine

import (
	"maps"
	"sync"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

const (
	// evidenceTime is how long lost responses count.
	evidenceTime = 30 * time.Second
	// maxLosses bounds the lost responses that a host keeps.
	maxLosses = 64
	// maxParts bounds each generation of the parts with known progress. The time of the last
	// progress is remembered for one to two generations.
	maxParts = 4096
)

// Loss is a response that broke off before its engine had produced more than one event.
type Loss struct {
	// Number increases with each loss of a host.
	Number   uint64            `json:"number"`
	Upstream fleet.Incarnation `json:"upstream"`
	// SentMs and LostMs are the times since the request was sent and the response was lost, in
	// milliseconds. Clocks differ between hosts.
	SentMs int64 `json:"sent_ms"`
	LostMs int64 `json:"lost_ms"`
	// Parts are the ids of the shared parts of the prompt, in order.
	Parts []string `json:"parts"`
}

// Report is the evidence that a host sends to the collecting host.
type Report struct {
	Host api.HostID `json:"host"`
	// Losses are those that the collecting host does not have yet.
	Losses []Loss `json:"losses,omitempty"`
	// ProgressMs is the time since an engine last made progress on a part, in milliseconds, for
	// the parts of Losses and the suspected ones.
	ProgressMs map[string]int64 `json:"progress_ms,omitempty"`
	// Answered is the number of attempts on which an engine made progress within evidenceTime.
	Answered int `json:"answered,omitempty"`
}

// Verdict is the response of the collecting host.
type Verdict struct {
	// Epoch identifies the collecting host and its start.
	Epoch int64 `json:"epoch"`
	// Suspects are the parts on which hosts should report progress.
	Suspects []string `json:"suspects,omitempty"`
	// Quarantined holds the decisions that are not in the store yet.
	Quarantined []fleet.QuarantinedPart `json:"quarantined,omitempty"`
}

// loss is a loss with the times by the host's own clock.
type loss struct {
	number     uint64
	upstream   fleet.Incarnation
	sent, lost time.Time
	parts      []string
}

// Tracker holds the evidence of one host and the parts in quarantine. The zero value is ready
// to use.
type Tracker struct {
	// Stored returns the quarantined parts in the store by id; it may be nil.
	Stored func() map[string]fleet.QuarantinedPart

	mu     sync.Mutex
	number uint64
	losses []loss
	// progress and older hold the time of the last progress by part. When progress is full, it
	// replaces older.
	progress, older map[string]time.Time
	answered        recentCount
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

// RecordProgress records that an engine made progress on a response: the parts of its prompt do
// not crash engines.
func (t *Tracker) RecordProgress(parts []fleet.PromptPart, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered.add(1, now)
	for _, part := range parts {
		if t.progress == nil || len(t.progress) >= maxParts {
			t.progress, t.older = make(map[string]time.Time), t.progress
		}
		t.progress[part.ID] = now
	}
}

// RecordLoss records a response that the engine broke off before it made progress.
func (t *Tracker) RecordLoss(upstream fleet.Incarnation, parts []fleet.PromptPart, sent, now time.Time) {
	if len(parts) == 0 {
		return
	}
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.number++
	t.losses = append(t.losses, loss{t.number, upstream, sent, now, ids})
	if len(t.losses) > maxLosses {
		t.losses = t.losses[1:]
	}
}

// lastProgress returns the time of the last known progress on a part; zero if none is known.
func (t *Tracker) lastProgress(part string) time.Time {
	if at, known := t.progress[part]; known {
		return at
	}
	return t.older[part]
}

// Report returns the evidence for the collecting host, or nil if there is none.
func (t *Tracker) Report(host api.HostID, now time.Time) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := &Report{Host: host, Answered: t.answered.sum(now)}
	parts := t.suspects
	for _, l := range t.losses {
		if l.number <= t.acknowledged || now.Sub(l.lost) > evidenceTime {
			continue
		}
		report.Losses = append(report.Losses, Loss{
			l.number, l.upstream, now.Sub(l.sent).Milliseconds(), now.Sub(l.lost).Milliseconds(), l.parts,
		})
		parts = append(parts[:len(parts):len(parts)], l.parts...)
	}
	if len(parts) == 0 {
		return nil
	}
	for _, part := range parts {
		at := t.lastProgress(part)
		if at.IsZero() {
			continue
		}
		if report.ProgressMs == nil {
			report.ProgressMs = map[string]int64{}
		}
		report.ProgressMs[part] = now.Sub(at).Milliseconds()
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
	return t.addDecided(verdict.Quarantined, now)
}

// addDecided adds decisions and returns the new ones. Those that are in the store are left to it,
// so that their removal from there ends the quarantine.
func (t *Tracker) addDecided(parts []fleet.QuarantinedPart, now time.Time) []fleet.QuarantinedPart {
	stored := t.stored()
	maps.DeleteFunc(t.decided, func(id string, part fleet.QuarantinedPart) bool {
		return !stored[id].Until.Before(part.Until) || !now.Before(part.Until)
	})
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

func (c *recentCount) sum(now time.Time) int {
	sum := 0
	for i, second := range c.seconds {
		if now.Unix()-second < int64(len(c.counts)) {
			sum += c.counts[i]
		}
	}
	return sum
}
