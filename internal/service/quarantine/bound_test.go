package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// newParts returns parts that no other prompt has.
func newParts(prompt, count int) []fleet.PromptPart {
	parts := make([]fleet.PromptPart, count)
	for i := range parts {
		parts[i].ID = fmt.Sprintf("new-%d-%d", prompt, i)
	}
	return parts
}

// TestPartsAreBounded guards against a host whose memory grows with the parts of prompts that callers make up,
// and against messages to the collecting host that exceed its limit.
func TestPartsAreBounded(t *testing.T) {
	s := newSimulation(1, 3, 12)
	upstream := fleet.Incarnation{ID: "broken"}
	prompt := 0
	s.run(20*time.Second, func(time.Duration) {
		prompt++
		s.hosts[prompt%len(s.hosts)].RecordLoss(upstream, newParts(prompt, 700), 0, false, s.now, s.now)
	})
	for _, host := range s.hosts {
		kept := 0
		for _, l := range host.losses {
			kept += len(l.parts)
		}
		assert.Assert(t, kept > 0 && kept <= maxLossParts, "%d parts", kept)
	}
	for _, collector := range s.collectors {
		collected, remembered, suspected := 0, 0, 0
		for _, l := range collector.losses {
			collected += len(l.parts)
		}
		for m := range collector.remembered {
			remembered = max(remembered, len(collector.remembered[m]))
			suspected = max(suspected, len(collector.suspectedAt[m]))
		}
		assert.Assert(t, collected <= maxCollectedParts, "%d parts", collected)
		assert.Assert(t, remembered <= maxCollectedParts && suspected <= maxCollectedParts, "%d and %d parts", remembered, suspected)
	}
}

// TestLongPromptsLeaveRoom guards against a crashing part that is not found because long prompts displace the
// evidence against it.
func TestLongPromptsLeaveRoom(t *testing.T) {
	s := newSimulation(1, 3, 12)
	upstream := fleet.Incarnation{ID: "broken"}
	s.rate, s.crashingRate = 30, 0.6
	prompt := 0
	s.run(30*time.Second, func(time.Duration) {
		if prompt++; prompt%4 == 0 {
			s.hosts[prompt%len(s.hosts)].RecordLoss(upstream, newParts(prompt, 700), 0, false, s.now, s.now)
		}
	})
	assert.Assert(t, s.refused[crashingPart] > 0)
}

// TestLongIDsAreShortened guards against memory that grows with the length of ids that callers make up.
func TestLongIDsAreShortened(t *testing.T) {
	tracker := &Tracker{}
	now := time.Unix(1_700_000_000, 0)
	long := fleet.NewPromptPart(strings.Repeat("a", 10_000), 1)
	other := fleet.NewPromptPart(strings.Repeat("a", 10_001), 1)
	assert.Assert(t, len(long.ID) <= 64 && long.ID != other.ID)
	tracker.Apply(nil, &Verdict{Epoch: 1, Quarantined: []fleet.QuarantinedPart{{Part: long.ID, Until: now.Add(time.Minute)}}}, now)
	assert.Assert(t, tracker.Find([]fleet.PromptPart{other}, now) == nil)
	assert.Assert(t, tracker.Find([]fleet.PromptPart{other, long}, now) != nil)
}

// TestReportsAreBoundedBetweenEvaluations guards against reports of many hosts that pile up until the evidence is
// evaluated.
func TestReportsAreBoundedBetweenEvaluations(t *testing.T) {
	collector := &Collector{}
	now := time.Unix(1_700_000_000, 0)
	collector.Exchange(&Report{Host: "first", Losses: []Loss{{Number: 1, Parts: []string{"a", "b"}}}}, now)
	for i := range 100 {
		parts := make([]string, 700)
		for j := range parts {
			parts[j] = fmt.Sprint(i, "-", j)
		}
		collector.Exchange(&Report{Host: api.HostID(fmt.Sprint("host-", i)), Losses: []Loss{{Number: 1, Parts: parts}}}, now)
	}
	kept := 0
	for _, l := range collector.losses {
		kept += len(l.parts)
	}
	assert.Assert(t, kept <= maxCollectedParts, "%d parts", kept)
	assert.DeepEqual(t, collector.losses[0].parts, []string{"a", "b"})
}
