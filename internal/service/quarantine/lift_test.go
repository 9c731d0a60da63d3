package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
)

// TestLiftedQuarantineIsNotAdopted guards against a quarantine that an operator has lifted, and that comes back
// because a host that did not see it in the store reports it.
func TestLiftedQuarantineIsNotAdopted(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	part := fleet.QuarantinedPart{Part: "a", Until: now.Add(time.Minute)}
	stored := map[string]fleet.QuarantinedPart{}
	collector := &Collector{Stored: func() map[string]fleet.QuarantinedPart { return stored }}
	tracker := &Tracker{}
	exchange := func() {
		report := tracker.Report("host", now)
		tracker.Apply(report, collector.Exchange(report, now), now)
	}
	refused := func() bool { return tracker.Find([]fleet.PromptPart{{ID: "a"}}, now) != nil }
	tracker.Apply(nil, &Verdict{Epoch: 1, Quarantined: []fleet.QuarantinedPart{part}}, now)

	stored["a"] = part
	assert.Equal(t, len(collector.Unstored(now)), 0)
	exchange()
	assert.Assert(t, refused(), "the quarantine is in the store")
	delete(stored, "a")
	exchange()
	assert.Equal(t, len(collector.Unstored(now)), 0)
	assert.Assert(t, !refused(), "the quarantine was lifted")

	part.Until = part.Until.Add(time.Minute)
	tracker.Apply(nil, &Verdict{Epoch: 1, Quarantined: []fleet.QuarantinedPart{part}}, now)
	exchange()
	assert.DeepEqual(t, collector.Unstored(now), []fleet.QuarantinedPart{part})
	assert.Assert(t, refused(), "the part was quarantined again")
}
