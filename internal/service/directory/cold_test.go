package directory

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

// coldTime is the cold time of service s in coldState.
const coldTime = 8 * time.Second

var errColdIgnored = errors.New("invalid cold time")

// coldState returns a state with a document whose service has a cold time, and with an upstream in each
// of two data centres. A cold time of 1 ns stands for an invalid one.
func coldState() *State {
	s := newState()
	decode := s.Decoder.Upstream
	s.Decoder.Upstream = func(key string, data []byte) (*fleet.Upstream, error) {
		u, err := decode(key, data)
		if err == nil && u.WarmUp == 1 {
			u.WarmUp, err = 0, errColdIgnored
		}
		return u, err
	}
	document := store.Entry{Key: "document", Value: fmt.Appendf(nil, `{"Revision":1,"Services":[{"Name":"s","ColdTime":%d}]}`, coldTime), Version: 1}
	s.Replace([]store.Entry{document, coldEntry("a", 0, 2), coldEntry("b", 0, 3)}, 3, start, time.Time{})
	return s
}

// coldEntry returns the entry of the upstream of a data centre.
func coldEntry(centre string, cold time.Duration, version store.Version) store.Entry {
	value := fmt.Sprintf(`{"ID":%q,"Service":"s","State":"ready","Started":1,"DataCentre":%[1]q,"WarmUp":%d}`, centre, cold)
	return store.Entry{Key: "upstream/" + centre, Value: []byte(value), Version: version}
}

// coldLeft returns how long the upstream of a data centre stays cold.
func coldLeft(s *State, centre string, now time.Time) time.Duration {
	return max(s.View().upstreams[api.UpstreamID(centre)].ColdUntil.Sub(now), 0)
}

// TestUpstreamsAreColdAfterAnEvacuation guards against full traffic for the upstreams of a data centre
// that was brought back, and against a cold time that an entry written since does not end.
func TestUpstreamsAreColdAfterAnEvacuation(t *testing.T) {
	s := coldState()
	s.Apply([]store.Event{evacuation("a", 4), {Entry: coldEntry("a", 0, 5)}, returned("a", 6)}, start, time.Time{})
	assert.Equal(t, coldLeft(s, "a", start), coldTime)
	assert.Equal(t, coldLeft(s, "b", start), time.Duration(0))
	s.Apply([]store.Event{{Entry: coldEntry("a", 1, 7)}}, start, time.Time{})
	assert.Equal(t, coldLeft(s, "a", start), coldTime, "an invalid cold time tells nothing")
	s.Apply([]store.Event{{Entry: coldEntry("a", 3*time.Second, 8)}}, start, time.Time{})
	assert.Equal(t, coldLeft(s, "a", start), 3*time.Second)
	s.Apply([]store.Event{{Entry: coldEntry("a", 0, 9)}}, start, time.Time{})
	assert.Equal(t, coldLeft(s, "a", start), time.Duration(0))
	s.Apply([]store.Event{evacuation("a", 10)}, start, time.Time{})
	s.Replace([]store.Entry{coldEntry("a", 0, 11), coldEntry("b", 0, 3)}, 12, start, time.Time{})
	assert.Equal(t, coldLeft(s, "a", start), coldTime, "a read does not show when the evacuation ended")
}

// TestHostThatStartsKnowsReturns guards against full traffic from a host that has read the store just after
// an evacuation ended, and so before the entries were written again, and against a return that counts twice.
func TestHostThatStartsKnowsReturns(t *testing.T) {
	now := start
	sources, follower, poll := followPair(&now)
	document := store.Entry{Key: "document", Value: fmt.Appendf(nil, `{"Revision":2,"Services":[{"Name":"s","ColdTime":%d}]}`, coldTime), Version: 2}
	sources[0].recordWatch([]store.Event{{Entry: document}, {Entry: coldEntry("a", 0, 3)}, {Entry: coldEntry("b", 0, 4)}, evacuation("a", 5), evacuation("b", 6)}, now, 0)
	sources[0].recordWatch([]store.Event{returned("a", 7), returned("b", 8), {Entry: coldEntry("b", 0, 9)}}, now, 0)
	follower.replace([]store.Entry{document, coldEntry("a", 0, 3), coldEntry("b", 0, 9)}, 9, now)
	now = now.Add(time.Second)
	assert.Equal(t, coldLeft(&follower.state, "a", now), time.Duration(0))
	for range 2 {
		poll(t, sources[0])
		assert.Equal(t, coldLeft(&follower.state, "a", now), coldTime-time.Second)
		assert.Equal(t, coldLeft(&follower.state, "b", now), time.Duration(0), "its entry was written since")
	}
	sources[0].recordWatch([]store.Event{{Entry: coldEntry("a", 0, 10)}}, now, 0)
	for range 2 {
		poll(t, sources[0])
		assert.Equal(t, coldLeft(&follower.state, "a", now), time.Duration(0))
	}
	now = now.Add(returnTTL)
	update, sent := sources[0].newUpdate(0, now)
	sent()
	assert.Equal(t, len(update.Returned), 0)
}

// TestInvalidColdTimeIsReportedOnce guards against a log line for each entry of an upstream that writes
// an invalid cold time, and against an upstream that is not used because of it.
func TestInvalidColdTimeIsReportedOnce(t *testing.T) {
	s := coldState()
	reported := 0
	s.OnMalformed = func(string, error) { reported++ }
	for version := store.Version(4); version < 9; version++ {
		s.Apply([]store.Event{{Entry: coldEntry("a", 1, version)}}, start, time.Time{})
	}
	assert.Equal(t, reported, 1)
	assert.Equal(t, readyIn(s.View()), "ab")
	assert.Equal(t, coldLeft(s, "a", start), time.Duration(0))
}

// TestColdTimesFollowEntriesAndEvacuations guards against an upstream that counts as warm before its
// entry or the end of an evacuation allows it, or as cold for longer, after any sequence of changes,
// full reads and restores.
func TestColdTimesFollowEntriesAndEvacuations(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s, now := coldState(), start
		era, revision := store.Era(0), int64(3)
		evacuated := map[string]bool{}
		stored := map[string]store.Entry{"a": coldEntry("a", 0, 2), "b": coldEntry("b", 0, 3)}
		// least and most bound the end of the cold time.
		least, most := map[string]time.Time{}, map[string]time.Time{}
		next := func() store.Version {
			revision++
			version, _ := store.NewVersion(era, revision)
			return version
		}
		centres := rapid.SampledFrom([]string{"a", "b"})
		for range rapid.IntRange(1, 50).Draw(r, "steps") {
			centre := centres.Draw(r, "centre")
			switch rapid.SampledFrom([]string{"evacuate", "return", "write", "write cold", "write invalid", "restore", "wait", "wait"}).Draw(r, "step") {
			case "evacuate":
				evacuated[centre] = true
				s.Apply([]store.Event{evacuation(centre, next())}, now, time.Time{})
			case "return":
				if evacuated[centre] {
					least[centre], most[centre] = now.Add(coldTime), latest(most[centre], now.Add(coldTime))
				}
				evacuated[centre] = false
				s.Apply([]store.Event{returned(centre, next())}, now, time.Time{})
			case "write":
				stored[centre] = coldEntry(centre, 0, next())
				least[centre], most[centre] = time.Time{}, time.Time{}
				s.Apply([]store.Event{{Entry: stored[centre]}}, now, time.Time{})
			case "write cold":
				cold := time.Duration(rapid.IntRange(1, 12).Draw(r, "cold")) * time.Second
				stored[centre] = coldEntry(centre, cold, next())
				least[centre], most[centre] = now.Add(cold), now.Add(cold)
				s.Apply([]store.Event{{Entry: stored[centre]}}, now, time.Time{})
			case "write invalid":
				stored[centre] = coldEntry(centre, 1, next())
				s.Apply([]store.Event{{Entry: stored[centre]}}, now, time.Time{})
			case "restore":
				// The store comes back from a copy with the same entries and evacuations.
				var entries []store.Entry
				era++
				for _, centre := range []string{"a", "b"} {
					entry := stored[centre]
					entry.Version = next()
					stored[centre], entries = entry, append(entries, entry)
					if evacuated[centre] {
						entries = append(entries, evacuation(centre, next()).Entry)
					}
					// The cold time of a copied entry counts again, from now.
					var u fleet.Upstream
					_ = json.Unmarshal(entry.Value, &u)
					if u.WarmUp > 1 {
						most[centre] = latest(most[centre], now.Add(u.WarmUp))
					}
				}
				s.Replace(entries, next(), now, now.Add(missingEntryGrace))
			case "wait":
				now = now.Add(time.Duration(rapid.IntRange(1, 9).Draw(r, "wait")) * time.Second)
				s.Expire(now)
			}
			for _, centre := range []string{"a", "b"} {
				left := coldLeft(s, centre, now)
				assert.Assert(r, left >= least[centre].Sub(now), "%s is cold for %s", centre, left)
				assert.Assert(r, left <= max(most[centre].Sub(now), 0), "%s is cold for %s", centre, left)
				for _, upstream := range s.View().Ready("s") {
					assert.Assert(r, !evacuated[string(upstream.DataCentre)])
				}
			}
		}
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
