package directory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/pkg/api"
)

// upstreamIn returns the entry of an upstream in a data centre.
func upstreamIn(centre, id string, version store.Version) store.Entry {
	value := fmt.Sprintf(`{"ID":%q,"Service":"s","State":"ready","Started":1,"DataCentre":%q}`, id, centre)
	return store.Entry{Key: "upstream/" + id, Value: []byte(value), Version: version}
}

func evacuation(centre string, version store.Version) store.Event {
	return store.Event{Entry: store.Entry{Key: "evacuate/" + centre, Value: []byte("{}"), Version: version}}
}

func returned(centre string, version store.Version) store.Event {
	return store.Event{Entry: store.Entry{Key: "evacuate/" + centre, Version: version}, Deleted: true}
}

// readyIn returns the data centres that have ready upstreams, sorted.
func readyIn(view *View) string {
	centres := map[string]bool{}
	for _, upstream := range view.Ready("s") {
		centres[string(upstream.DataCentre)] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(centres)), "")
}

// TestEvacuatedUpstreamsAreNotReady guards against new work for an evacuated data centre, also of
// upstreams that register later, and against one that stays evacuated after its return.
func TestEvacuatedUpstreamsAreNotReady(t *testing.T) {
	s := &Service{Log: logging.Discard(), Metrics: metric.New(), InProgress: func(*fleet.Upstream) int { return 1 }}
	s.state.Decoder = testDecoder()
	s.replace([]store.Entry{upstreamIn("a", "1", 1), upstreamIn("b", "2", 2), upstreamIn("c", "3", 3)}, 3, start)
	for i, step := range []struct {
		event store.Event
		ready string
	}{
		{evacuation("a", 4), "bc"},
		{store.Event{Entry: upstreamIn("a", "4", 5)}, "bc"},
		{evacuation("c", 6), "b"},
		{evacuation("a", 7), "b"},
		{evacuation("", 8), "b"},
		{evacuation("nowhere", 9), "b"},
		{returned("a", 10), "ab"},
		{evacuation("b", 11), "a"},
		{evacuation("a", 12), ""},
		{returned("c", 13), "c"},
		{returned("nowhere", 14), "c"},
	} {
		s.recordWatch([]store.Event{step.event}, start, 0)
		assert.Equal(t, readyIn(s.View()), step.ready, "step %d", i)
		assert.Assert(t, s.View().Has(fleet.Incarnation{ID: "1", Started: 1}))
	}
	assert.Equal(t, s.Metrics.Counter("directory.evacuations").Count(), int64(5))
	assert.Equal(t, s.Metrics.Counter("directory.evacuations_unknown").Count(), int64(2))
	assert.Equal(t, s.Metrics.Counter("directory.malformed").Count(), int64(0), "OnMalformed is set by Run")
}

// TestEvacuationMissingAfterRestoreIsKept guards against a data centre that gets work at once because
// an older copy of the store lacks its evacuation, and against one that is kept out for ever.
func TestEvacuationMissingAfterRestoreIsKept(t *testing.T) {
	s := newState()
	upstream := upstreamIn("a", "1", 1)
	s.Replace([]store.Entry{upstream, evacuation("a", 2).Entry}, 2, start, time.Time{})
	upstream.Version = inEra(t, 1, 1)
	for range 2 {
		s.Replace([]store.Entry{upstream}, inEra(t, 1, 1), start, start.Add(missingEntryGrace))
		assert.Equal(t, readyIn(s.View()), "")
	}
	assert.Assert(t, s.Expire(start.Add(missingEntryGrace)))
	assert.Equal(t, readyIn(s.View()), "a")
}

// TestEvacuationInOlderCopyIsInForceAtOnce guards against work for a data centre whose evacuation is
// in force again because the store came back from an older copy.
func TestEvacuationInOlderCopyIsInForceAtOnce(t *testing.T) {
	s := newState()
	s.Replace([]store.Entry{upstreamIn("a", "1", 1), evacuation("a", 2).Entry}, 2, start, time.Time{})
	s.Apply([]store.Event{returned("a", 3)}, start, time.Time{})
	assert.Equal(t, readyIn(s.View()), "a")
	copied := []store.Entry{upstreamIn("a", "1", inEra(t, 1, 1)), evacuation("a", inEra(t, 1, 2)).Entry}
	s.Replace(copied, inEra(t, 1, 2), start, start.Add(missingEntryGrace))
	assert.Equal(t, readyIn(s.View()), "")
	s.Apply([]store.Event{returned("a", inEra(t, 1, 3))}, start, time.Time{})
	assert.Equal(t, readyIn(s.View()), "a")
}

// TestEvacuationsReachAllHosts guards against a host that sends work to an evacuated data centre, or
// none to one that is back, after any sequence of changes, reads, restores and changes of source.
func TestEvacuationsReachAllHosts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := start
		sources, follower, _ := followPair(&now)
		era, revision := store.Era(0), int64(1)
		stored, copied, copiedRevision := map[string]store.Entry{}, map[string]store.Entry{}, revision
		pending := [2][]store.Event{{}, {}}
		// lost holds the ends of the grace periods of evacuations that restores have lost.
		lost := map[api.DataCentre]time.Time{}
		change := func(event store.Event) {
			revision++
			event.Version, _ = store.NewVersion(era, revision)
			if delete(stored, event.Key); !event.Deleted {
				stored[event.Key] = event.Entry
			}
			for i := range pending {
				if pending[i] != nil {
					pending[i] = append(pending[i], event)
				}
			}
		}
		read := func(i int) {
			version, _ := store.NewVersion(era, revision)
			sources[i].replace(slices.Collect(maps.Values(stored)), version, now)
			pending[i] = []store.Event{}
		}
		sync := func(i int) {
			if pending[i] == nil {
				read(i)
			} else if len(pending[i]) > 0 {
				sources[i].recordWatch(pending[i], now, 0)
				pending[i] = []store.Event{}
			}
		}
		poll := func(i int) {
			update, sent := sources[i].newUpdate(follower.followedVersion(), now)
			defer sent()
			_ = follower.applyUpdate("source", update, now)
		}
		check := func(s *Service) {
			view := s.View()
			for key := range stored {
				if centre, isEvacuation := strings.CutPrefix(key, "evacuate/"); isEvacuation {
					assert.Assert(r, view.Evacuated[api.DataCentre(centre)], "%s gets work", centre)
				}
			}
			for centre := range view.Evacuated {
				_, found := stored["evacuate/"+string(centre)]
				assert.Assert(r, found || now.Before(lost[centre]), "%s is kept out", centre)
			}
			for _, upstream := range view.Ready("s") {
				assert.Assert(r, !view.Evacuated[upstream.DataCentre])
			}
		}
		centres := rapid.SampledFrom([]string{"a", "b"})
		for _, centre := range []string{"a", "b"} {
			change(store.Event{Entry: upstreamIn(centre, centre, 0)})
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			i := rapid.IntRange(0, 1).Draw(r, "source")
			switch rapid.SampledFrom([]string{"evacuate", "evacuate", "return", "upstream", "sync", "read", "poll", "poll", "new follower", "copy", "restore", "wait"}).Draw(r, "step") {
			case "evacuate":
				change(evacuation(centres.Draw(r, "centre"), 0))
			case "return":
				if centre := centres.Draw(r, "centre"); stored["evacuate/"+centre].Key != "" {
					change(returned(centre, 0))
				}
			case "upstream":
				centre := centres.Draw(r, "centre")
				change(store.Event{Entry: upstreamIn(centre, centre, 0)})
			case "sync":
				sync(i)
				check(sources[i])
			case "read":
				read(i)
				check(sources[i])
			case "poll":
				poll(i)
			case "new follower":
				follower = &Service{Clock: func() time.Time { return now }, Log: logging.Discard(), Metrics: metric.New()}
				follower.state.Decoder = testDecoder()
				follower.role.Store(&Role{})
				poll(i)
			case "copy":
				copied, copiedRevision = maps.Clone(stored), revision
			case "restore":
				era++
				for _, s := range []*Service{sources[0], sources[1], follower} {
					for centre := range s.View().Evacuated {
						lost[centre] = now.Add(time.Hour)
					}
				}
				stored, revision = map[string]store.Entry{}, copiedRevision
				for key, entry := range copied {
					entry.Version, _ = store.NewVersion(era, entry.Version.Revision())
					stored[key] = entry
				}
				pending = [2][]store.Event{}
			case "wait":
				now = now.Add(missingEntryGrace / 2)
				for _, s := range []*Service{sources[0], sources[1], follower} {
					s.expire()
				}
			}
		}
		last := rapid.IntRange(0, 1).Draw(r, "last source")
		sync(last)
		poll(last)
		if follower.View().Version != sources[last].View().Version {
			return
		}
		check(follower)
		now = now.Add(2 * missingEntryGrace)
		clear(lost)
		for _, s := range []*Service{sources[last], follower} {
			s.expire()
			check(s)
		}
	})
}

// TestViewOffersNothingAfterAPause guards against work for an upstream that was evacuated or drained
// while the process was suspended, and against a host that serves nothing for ever afterwards.
func TestViewOffersNothingAfterAPause(t *testing.T) {
	for _, confirmedBy := range []string{"read", "watch", "source", "time"} {
		now := start
		s := &Service{Clock: func() time.Time { return now }, Log: logging.Discard(), Metrics: metric.New(), ConfirmAfterPause: true}
		s.state.Decoder = testDecoder()
		s.detectPause()
		s.replace([]store.Entry{upstreamIn("a", "1", 1)}, 1, now)
		assert.Equal(t, readyIn(s.View()), "a")
		before := now
		now = now.Add(5 * time.Second)
		assert.Equal(t, readyIn(s.View()), "", "before the first tick")
		assert.Assert(t, s.View().Has(fleet.Incarnation{ID: "1", Started: 1}))
		s.detectPause()
		s.recordWatch(nil, before, 0)
		assert.Equal(t, readyIn(s.View()), "", "an answer to a call from before the pause")
		switch confirmedBy {
		case "read":
			s.replace([]store.Entry{upstreamIn("a", "1", 1)}, 1, now)
		case "watch":
			s.recordWatch(nil, now, 0)
		case "source":
			assert.NilError(t, s.applyUpdate("source", &Update{Version: 1}, now))
		case "time":
			now = now.Add(pauseThreshold / 2)
			s.detectPause()
			now = now.Add(confirmWait - pauseThreshold/2)
			s.detectPause()
		}
		assert.Equal(t, readyIn(s.View()), "a", confirmedBy)
		assert.Equal(t, s.Metrics.Counter("directory.pauses").Count(), int64(1))
	}
}
