package directory

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
)

func testDecoder() Decoder {
	return Decoder{
		DocumentKey: "document", UpstreamPrefix: "upstream/", HostPrefix: "host/", EvacuationPrefix: "evacuate/",
		Document: func(data []byte) (*fleet.Document, error) {
			var d fleet.Document
			return &d, json.Unmarshal(data, &d)
		},
		Upstream: func(_ string, data []byte) (*fleet.Upstream, error) {
			var u fleet.Upstream
			return &u, json.Unmarshal(data, &u)
		},
	}
}

func upstreamEntry(id string, state fleet.State, started int64, version store.Version) store.Entry {
	value := fmt.Sprintf(`{"ID":%q,"Service":"s","State":%q,"Started":%d}`, id, state, started)
	return store.Entry{Key: "upstream/" + id, Value: []byte(value), Version: version}
}

func documentEntry(revision int, version store.Version) store.Entry {
	return store.Entry{Key: "document", Value: fmt.Appendf(nil, `{"Revision":%d}`, revision), Version: version}
}

func newState() *State { return &State{Decoder: testDecoder()} }

var start = time.Unix(1000, 0)

// TestDrainingIsFinal guards against an upstream that gets new work after it announced its
// shutdown, and against a restarted upstream that gets none.
func TestDrainingIsFinal(t *testing.T) {
	s := newState()
	s.Replace([]store.Entry{upstreamEntry("u", fleet.StateReady, 1, 1)}, 1, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 1)
	s.Apply([]store.Event{{Entry: upstreamEntry("u", fleet.StateDraining, 1, 2)}}, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 0)
	s.Apply([]store.Event{{Entry: upstreamEntry("u", fleet.StateReady, 1, 3)}}, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 0)
	s.Apply([]store.Event{{Entry: upstreamEntry("u", fleet.StateReady, 2, 4)}}, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 1)
}

// TestDocumentRevisionNeverDecreases guards against an older or unreadable document that
// replaces a newer one.
func TestDocumentRevisionNeverDecreases(t *testing.T) {
	s := newState()
	s.Replace([]store.Entry{documentEntry(7, 5)}, 5, start, time.Time{})
	s.Apply([]store.Event{{Entry: documentEntry(6, 6)}}, start, time.Time{})
	assert.Equal(t, s.View().Snapshot.Revision, fleet.Revision(7))
	bad := 0
	s.OnMalformed = func(string, error) { bad++ }
	s.Apply([]store.Event{{Entry: store.Entry{Key: "document", Value: []byte("{"), Version: 7}}}, start, time.Time{})
	assert.Equal(t, s.View().Snapshot.Revision, fleet.Revision(7))
	assert.Equal(t, bad, 1)
	s.Apply([]store.Event{{Entry: documentEntry(9, 8)}}, start, time.Time{})
	assert.Equal(t, s.View().Snapshot.Revision, fleet.Revision(9))
}

// TestMissingEntries guards against an upstream that is used after its removal, and
// against one that is removed although its entry only expired during an outage.
func TestMissingEntries(t *testing.T) {
	all := []store.Entry{upstreamEntry("a", fleet.StateReady, 1, 1), upstreamEntry("b", fleet.StateReady, 1, 2)}
	s := newState()
	s.Replace(all, 2, start, time.Time{})
	s.Replace(all[:1], 3, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 1)

	s = newState()
	s.Replace(all, 2, start, time.Time{})
	s.Replace(all[:1], 3, start, start.Add(missingEntryGrace))
	assert.Equal(t, len(s.View().Ready("s")), 2)
	assert.Assert(t, !s.Expire(start.Add(missingEntryGrace-time.Millisecond)))
	s.Apply([]store.Event{{Entry: upstreamEntry("b", fleet.StateReady, 1, 4)}}, start, time.Time{})
	assert.Assert(t, !s.Expire(start.Add(missingEntryGrace)))
	assert.Equal(t, len(s.View().Ready("s")), 2, "b must stay after its entry was written again")

	s = newState()
	s.Replace(all, 2, start, time.Time{})
	s.Replace(all[:1], 3, start, start.Add(missingEntryGrace))
	assert.Assert(t, s.Expire(start.Add(missingEntryGrace)))
	assert.Equal(t, len(s.View().Ready("s")), 1)
}

// TestDrainingUpstreamGetsNoGracePeriod guards against a grace period for an upstream that
// announced its shutdown.
func TestDrainingUpstreamGetsNoGracePeriod(t *testing.T) {
	s := newState()
	s.Replace([]store.Entry{upstreamEntry("a", fleet.StateDraining, 1, 1)}, 1, start, time.Time{})
	s.Replace(nil, 2, start, start.Add(missingEntryGrace))
	assert.Equal(t, len(s.View().upstreams), 0)
}

// TestOldEventsAreSkipped guards against a watch that is behind a state received from
// another host and restores a removed upstream.
func TestOldEventsAreSkipped(t *testing.T) {
	s := newState()
	s.Replace([]store.Entry{upstreamEntry("a", fleet.StateReady, 1, 3)}, 3, start, time.Time{})
	s.Replace(nil, 9, start, time.Time{})
	s.Apply([]store.Event{{Entry: upstreamEntry("a", fleet.StateReady, 1, 4)}}, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 0)
}

// TestSameRevision guards against losing the second key of a transaction.
func TestSameRevision(t *testing.T) {
	s := newState()
	s.Apply([]store.Event{{Entry: upstreamEntry("a", fleet.StateReady, 1, 4)}, {Entry: upstreamEntry("b", fleet.StateReady, 1, 4)}}, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 2)
	assert.Equal(t, s.Version(), store.Version(4))
}

// TestMalformedEntries guards against a malformed entry that is used as an upstream or
// prevents the other entries from being read.
func TestMalformedEntries(t *testing.T) {
	s := newState()
	bad := 0
	s.OnMalformed = func(string, error) { bad++ }
	s.Replace([]store.Entry{{Key: "upstream/x", Value: []byte("\x00"), Version: 1}, {Key: "host/x", Value: []byte("["), Version: 2}, upstreamEntry("a", fleet.StateReady, 1, 3)}, 3, start, time.Time{})
	assert.Equal(t, bad, 2)
	assert.Equal(t, len(s.View().Ready("s")), 1)
	assert.Equal(t, len(s.View().Hosts), 0)
}

// TestAnnouncedShutdownIsFinal guards against an announced shutdown that a later entry of the store reverts.
func TestAnnouncedShutdownIsFinal(t *testing.T) {
	s := newState()
	ready := upstreamEntry("u", fleet.StateReady, 1, 1)
	s.Replace([]store.Entry{ready}, 1, start, time.Time{})
	before := s.View()
	assert.Assert(t, s.markDraining(before.Ready("s")[0].Incarnation(), start))
	assert.Equal(t, len(s.View().Ready("s")), 0)
	assert.Equal(t, len(before.Ready("s")), 1)
	s.Replace(nil, 2, start, time.Time{})
	ready.Version = 3
	s.Replace([]store.Entry{ready}, 3, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 0)
	s.Apply([]store.Event{{Entry: upstreamEntry("u", fleet.StateReady, 2, 4)}}, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 1)
}
