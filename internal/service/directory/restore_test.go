package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
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

// TestDocumentWrittenAfterRestoreIsInForce guards against a host that takes no change from a store that came back from an older copy.
func TestDocumentWrittenAfterRestoreIsInForce(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0))
	service := startService(t, client, func(s *Service) {
		s.OnChange = func(v *View) {
			if before := s.View().Snapshot; before != nil && v.Snapshot.Revision < before.Revision {
				t.Errorf("the document went back from %d to %d", before.Revision, v.Snapshot.Revision)
			}
		}
	})
	inForce := func(revision fleet.Revision) func() bool {
		return func() bool { s := service.View().Snapshot; return s != nil && s.Revision == revision }
	}
	for revision := 1; revision < 20; revision += 5 {
		eventually(t, "the document before the copy", inForce(fleet.Revision(revision)))
		before := kv.Inner.Copy()
		write(t, kv, documentEntry(revision+1, 0))
		write(t, kv, documentEntry(revision+2, 0))
		eventually(t, "the document that is lost", inForce(fleet.Revision(revision+2)))
		kv.Restore(before)
		write(t, kv, documentEntry(revision+5, 0))
		eventually(t, "the document after the restore", inForce(fleet.Revision(revision+5)))
	}
}

// inEra returns a version of an era.
func inEra(t *testing.T, era store.Era, revision int64) store.Version {
	t.Helper()
	version, fits := store.NewVersion(era, revision)
	assert.Assert(t, fits)
	return version
}

func hostEntry(id string, version store.Version) store.Entry {
	return store.Entry{Key: "host/" + id, Value: fmt.Appendf(nil, `{"id":%q}`, id), Version: version}
}

// TestEntriesMissingAfterRestoreAreKept guards against a host that drops all upstreams and hosts that an older copy of the store lacks.
func TestEntriesMissingAfterRestoreAreKept(t *testing.T) {
	now := start
	s := &Service{Clock: func() time.Time { return now }, Log: logging.Discard(), Metrics: metric.New()}
	s.state.Decoder = testDecoder()
	old := []store.Entry{documentEntry(1, 1), upstreamEntry("a", fleet.StateReady, 1, 2)}
	s.replace(append(old, upstreamEntry("b", fleet.StateReady, 1, 5), hostEntry("h", 6)), 6, now)
	for era := store.Era(1); era <= 3; era++ {
		now = now.Add(missingEntryGrace / 2)
		copied := []store.Entry{documentEntry(1, inEra(t, era, 1)), upstreamEntry("a", fleet.StateReady, 1, inEra(t, era, 2))}
		s.replace(copied, inEra(t, era, 3), now)
		assert.Equal(t, len(s.View().Ready("s")), 2)
		assert.Equal(t, len(s.View().Hosts), 1)
	}
	assert.Equal(t, s.Metrics.Counter("directory.store_restores").Count(), int64(3))
	s.recordWatch([]store.Event{{Entry: upstreamEntry("b", fleet.StateReady, 1, inEra(t, 3, 4))}}, now, 0)
	now = now.Add(missingEntryGrace)
	s.expire()
	assert.Equal(t, len(s.View().Ready("s")), 2, "b was written again")
	assert.Equal(t, len(s.View().Hosts), 0)
}

// TestUpstreamRemovedBeforeRestoreIsNotUsed guards against work for an upstream that had left and is in an older copy of the store.
func TestUpstreamRemovedBeforeRestoreIsNotUsed(t *testing.T) {
	for _, writtenAgain := range []bool{false, true} {
		s := newState()
		all := func(era store.Era) []store.Entry {
			return []store.Entry{
				upstreamEntry("a", fleet.StateReady, 1, inEra(t, era, 1)), upstreamEntry("b", fleet.StateReady, 1, inEra(t, era, 2)), hostEntry("h", inEra(t, era, 3)),
			}
		}
		s.Replace(all(0), 3, start, time.Time{})
		s.Apply([]store.Event{
			{Entry: store.Entry{Key: "upstream/a", Version: 4}, Deleted: true}, {Entry: store.Entry{Key: "host/h", Version: 5}, Deleted: true},
		}, start, time.Time{})
		for era := store.Era(1); era <= 2; era++ {
			s.Replace(all(era), inEra(t, era, 3), start, start.Add(missingEntryGrace))
			view := s.View()
			assert.Assert(t, len(view.Ready("s")) == 1 && view.Ready("s")[0].ID == "b" && len(view.Hosts) == 0)
		}
		if writtenAgain {
			s.Apply([]store.Event{{Entry: upstreamEntry("a", fleet.StateReady, 1, inEra(t, 2, 4))}}, start, time.Time{})
		} else {
			assert.Assert(t, !s.Expire(start.Add(reappearedHold-time.Millisecond)))
			assert.Equal(t, len(s.View().Ready("s")), 1)
			assert.Assert(t, s.Expire(start.Add(reappearedHold)))
		}
		assert.Equal(t, len(s.View().Ready("s")), 2)
	}
}

// TestFollowerAcrossRestoreEndsInTheStateOfItsSource guards against changes that don't pass between hosts after a restore.
func TestFollowerAcrossRestoreEndsInTheStateOfItsSource(t *testing.T) {
	now := start
	services := map[string]*Service{}
	for _, name := range []string{"source", "follower", "starting"} {
		services[name] = &Service{Clock: func() time.Time { return now }, Log: logging.Discard(), Metrics: metric.New()}
		services[name].state.Decoder = testDecoder()
		services[name].role.Store(&Role{Reads: name == "source"})
	}
	source, follower := services["source"], services["follower"]
	poll := func(s *Service) {
		update, sent := source.newUpdate(s.followedVersion(), now)
		defer sent()
		assert.NilError(t, s.applyUpdate("source", update, now))
	}
	a := upstreamEntry("a", fleet.StateReady, 1, 2)
	source.replace([]store.Entry{documentEntry(1, 1), a, upstreamEntry("b", fleet.StateReady, 1, 3)}, 3, now)
	poll(follower)
	source.recordWatch([]store.Event{{Entry: documentEntry(3, 4)}, {Entry: store.Entry{Key: a.Key, Version: 5}, Deleted: true}}, now, 0)
	poll(follower)
	a.Version = inEra(t, 1, 2)
	copied := []store.Entry{documentEntry(1, inEra(t, 1, 1)), a}
	source.replace(copied, inEra(t, 1, 2), now)
	services["starting"].replace(copied, inEra(t, 1, 2), now)
	for range 2 {
		poll(follower)
		poll(services["starting"])
	}
	assert.Equal(t, follower.View().Snapshot.Revision, fleet.Revision(3))
	assert.Equal(t, services["starting"].View().Snapshot.Revision, fleet.Revision(3))
	assert.Assert(t, len(follower.View().Ready("s")) == 1 && follower.View().Ready("s")[0].ID == "b", "a had left, b is missing for a while")
	source.recordWatch([]store.Event{{Entry: documentEntry(4, inEra(t, 1, 3))}}, now, 0)
	poll(follower)
	assert.Equal(t, follower.View().Snapshot.Revision, fleet.Revision(4))
	assert.Equal(t, follower.View().Version, source.View().Version)
}

// TestRegistrationAfterRestore guards against a host that stays off the address list after a restore, and against one that drains and returns to it.
func TestRegistrationAfterRestore(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0))
	service := startService(t, client, nil)
	ctx := context.Background()
	listed := func() bool {
		entry, err := kv.Inner.Get(ctx, "host/self")
		return err == nil && entry != nil
	}
	before := kv.Inner.Copy()
	// Without periodic renewals, only the news of a restore makes the host write or delete its entry again.
	service.Register(ctx)()
	eventually(t, "the registration", listed)
	kv.Restore(before)
	began := time.Now()
	eventually(t, "the registration after the restore", listed)
	assert.Assert(t, time.Since(began) < RegistrationTTL, "the entry was missing for longer than a lease lasts")
	before = kv.Inner.Copy()
	assert.NilError(t, service.Deregister(ctx))
	kv.Restore(before)
	began = time.Now()
	assert.Assert(t, listed())
	eventually(t, "the second deletion", func() bool { return !listed() })
	assert.Assert(t, time.Since(began) < RegistrationTTL-renewPeriod, "the entry ended with its lease")
}

// TestUpstreamWrittenAgainAfterRestoreIsUsedByLateFollower guards against a follower that takes an upstream that registered again for one that had left.
func TestUpstreamWrittenAgainAfterRestoreIsUsedByLateFollower(t *testing.T) {
	s := newState()
	a := upstreamEntry("a", fleet.StateReady, 1, 2)
	s.Replace([]store.Entry{documentEntry(1, 1), a}, 2, start, time.Time{})
	removed := store.Event{Entry: store.Entry{Key: a.Key, Version: inEra(t, 1, 1)}, Deleted: true}
	a.Version = inEra(t, 1, 2)
	s.Apply([]store.Event{removed, {Entry: a}}, start, time.Time{})
	assert.Equal(t, len(s.View().Ready("s")), 1)
}

// TestEarlierIncarnationIsNotUsedAfterRestore guards against work for the previous run of an upstream, which an older copy of the store still has.
func TestEarlierIncarnationIsNotUsedAfterRestore(t *testing.T) {
	type change func(s *State)
	restart := func(state fleet.State) change {
		return func(s *State) {
			s.Apply([]store.Event{{Entry: upstreamEntry("a", state, 2, 2)}}, start, time.Time{})
		}
	}
	for name, test := range map[string]struct {
		changes []change
		ready   int
	}{
		"restarted": {[]change{restart(fleet.StateReady)}, 1},
		"draining":  {[]change{restart(fleet.StateDraining)}, 0},
		"announced": {[]change{restart(fleet.StateReady), func(s *State) { s.markDraining(fleet.Incarnation{ID: "a", Started: 2}, start) }}, 0},
		"gone": {[]change{restart(fleet.StateReady), func(s *State) {
			s.Apply([]store.Event{{Entry: store.Entry{Key: "upstream/a", Version: 3}, Deleted: true}}, start, time.Time{})
		}}, 0},
	} {
		s := newState()
		s.Replace([]store.Entry{upstreamEntry("a", fleet.StateReady, 1, 1)}, 1, start, time.Time{})
		for _, apply := range test.changes {
			apply(s)
		}
		copied := []store.Entry{upstreamEntry("a", fleet.StateReady, 1, inEra(t, 1, 1))}
		for range 2 {
			s.Replace(copied, inEra(t, 1, 1), start, start.Add(missingEntryGrace))
			ready := s.View().Ready("s")
			assert.Equal(t, len(ready), test.ready, name)
			assert.Assert(t, len(ready) == 0 || ready[0].Started == 2, name)
		}
		s.Expire(start.Add(missingEntryGrace))
		s.Replace(copied, inEra(t, 1, 1), start, time.Time{})
		assert.Equal(t, len(s.View().Ready("s")), 0, name)
		s.Apply([]store.Event{{Entry: upstreamEntry("a", fleet.StateReady, 3, inEra(t, 1, 2))}}, start, time.Time{})
		assert.Equal(t, len(s.View().Ready("s")), 1, name)
	}
}

// followPair returns two sources at version 1 and a function with which a third host follows one of them.
func followPair(now *time.Time) (sources [2]*Service, follower *Service, poll func(t *testing.T, source *Service)) {
	services := make([]*Service, 3)
	for i := range services {
		services[i] = &Service{Clock: func() time.Time { return *now }, Log: logging.Discard(), Metrics: metric.New()}
		services[i].state.Decoder = testDecoder()
		services[i].role.Store(&Role{Reads: i < 2})
	}
	follower = services[2]
	for _, source := range services[:2] {
		source.replace([]store.Entry{documentEntry(1, 1)}, 1, *now)
	}
	return [2]*Service(services[:2]), follower, func(t *testing.T, source *Service) {
		t.Helper()
		update, sent := source.newUpdate(follower.followedVersion(), *now)
		defer sent()
		assert.NilError(t, follower.applyUpdate("source", update, *now))
	}
}

// TestFollowerAheadOfItsSourceAcrossRestoreDropsWhatIsGone guards against upstreams and hosts that stay in use because the new source never knew of them.
func TestFollowerAheadOfItsSourceAcrossRestoreDropsWhatIsGone(t *testing.T) {
	now := start
	sources, follower, poll := followPair(&now)
	sources[0].recordWatch([]store.Event{{Entry: upstreamEntry("a", fleet.StateReady, 1, 2)}, {Entry: hostEntry("h", 3)}}, now, 0)
	poll(t, sources[0])
	assert.Assert(t, len(follower.View().Ready("s")) == 1 && len(follower.View().Hosts) == 1)
	for era := store.Era(1); era <= 2; era++ {
		sources[1].replace([]store.Entry{documentEntry(1, inEra(t, era, 1))}, inEra(t, era, 1), now)
	}
	poll(t, sources[1])
	assert.Equal(t, len(follower.View().Ready("s")), 1, "a is missing for a while")
	now = now.Add(missingEntryGrace)
	follower.expire()
	assert.Assert(t, len(follower.View().Ready("s")) == 0 && len(follower.View().Hosts) == 0)
}

// TestFollowerKeepsWhatItsNextSourceReadAfterRestore guards against an upstream that one source misses, and that the next has as before, being dropped.
func TestFollowerKeepsWhatItsNextSourceReadAfterRestore(t *testing.T) {
	now := start
	sources, follower, poll := followPair(&now)
	a := upstreamEntry("a", fleet.StateReady, 1, 2)
	for _, source := range sources {
		source.recordWatch([]store.Event{{Entry: a}}, now, 0)
		poll(t, source)
	}
	sources[0].replace([]store.Entry{documentEntry(1, inEra(t, 1, 1))}, inEra(t, 1, 1), now)
	poll(t, sources[0])
	a.Version = inEra(t, 1, 2)
	sources[1].replace([]store.Entry{documentEntry(1, inEra(t, 1, 1)), a}, inEra(t, 1, 2), now)
	poll(t, sources[1])
	now = now.Add(missingEntryGrace)
	follower.expire()
	assert.Equal(t, len(follower.View().Ready("s")), 1)
}

// TestFollowerAheadOfItsSourceDropsWhatAFullReadOmits guards against an upstream that stays in use because its source read the store only after it was gone.
func TestFollowerAheadOfItsSourceDropsWhatAFullReadOmits(t *testing.T) {
	now := start
	sources, follower, poll := followPair(&now)
	sources[0].recordWatch([]store.Event{{Entry: upstreamEntry("a", fleet.StateReady, 1, 2)}}, now, 0)
	poll(t, sources[0])
	assert.Equal(t, len(follower.View().Ready("s")), 1)
	sources[1].replace([]store.Entry{documentEntry(1, 1)}, 3, now)
	poll(t, sources[1])
	assert.Equal(t, len(follower.View().Ready("s")), 0)
}

// TestFollowerAcrossRestoresEndsInTheStateOfTheStore guards against changes between hosts that do not undo what a restore of the store lost, and against a return to an earlier or leaving upstream.
func TestFollowerAcrossRestoresEndsInTheStateOfTheStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := start
		sources, follower, _ := followPair(&now)
		poll := func(source *Service) {
			update, sent := source.newUpdate(follower.followedVersion(), now)
			defer sent()
			// Also the changes of a source that is judged to be too old are applied.
			_ = follower.applyUpdate("source", update, now)
		}
		era, revision := store.Era(0), int64(1)
		stored, running := map[string]store.Entry{}, map[string]int64{}
		lastStart, seen, announced := map[string]int64{}, map[string]int64{}, map[fleet.Incarnation]bool{}
		copied, copiedRevision := map[string]store.Entry{}, revision
		// A source without a list of changes has to read the store.
		pending := [2][]store.Event{{}, {}}
		next := func() store.Version {
			revision++
			version, _ := store.NewVersion(era, revision)
			return version
		}
		change := func(event store.Event) {
			if event.Deleted {
				delete(stored, event.Key)
			} else {
				stored[event.Key] = event.Entry
			}
			for i := range pending {
				if pending[i] != nil {
					pending[i] = append(pending[i], event)
				}
			}
		}
		put := func(id string) {
			entry := upstreamEntry(id, fleet.StateReady, running[id], 0)
			entry.Version = next()
			change(store.Event{Entry: entry})
		}
		read := func(i int) {
			version, _ := store.NewVersion(era, revision)
			sources[i].replace(slices.Collect(maps.Values(stored)), version, now)
			pending[i] = []store.Event{}
		}
		ids := rapid.StringMatching("[a-d]")
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			i := rapid.IntRange(0, 1).Draw(r, "source")
			switch rapid.SampledFrom([]string{"start", "start", "end", "events", "read", "poll", "poll", "copy", "restore", "wait", "announce"}).Draw(r, "step") {
			case "start":
				id := ids.Draw(r, "id")
				if rapid.Bool().Draw(r, "new run") || running[id] == 0 {
					lastStart[id]++
					running[id] = lastStart[id]
				}
				put(id)
			case "end":
				id := ids.Draw(r, "id")
				delete(running, id)
				if key := "upstream/" + id; stored[key].Key != "" {
					change(store.Event{Entry: store.Entry{Key: key, Version: next()}, Deleted: true})
				}
			case "events":
				if len(pending[i]) > 0 {
					sources[i].recordWatch(pending[i], now, 0)
					pending[i] = pending[i][:0]
				}
			case "read":
				read(i)
			case "poll":
				poll(sources[i])
			case "copy":
				copied, copiedRevision = maps.Clone(stored), revision
			case "restore":
				era++
				stored, revision = map[string]store.Entry{}, copiedRevision
				for key, entry := range copied {
					entry.Version, _ = store.NewVersion(era, entry.Version.Revision())
					stored[key] = entry
				}
				pending = [2][]store.Event{}
			case "wait":
				now = now.Add(missingEntryGrace / 2)
				follower.expire()
			case "announce":
				if ready := follower.View().Ready("s"); len(ready) > 0 {
					follower.MarkDraining(ready[0])
					announced[ready[0].Incarnation()] = true
				}
			}
			for _, upstream := range follower.View().Ready("s") {
				assert.Assert(r, upstream.Started >= seen[string(upstream.ID)], "an earlier run is used")
				assert.Assert(r, !announced[upstream.Incarnation()], "an upstream that announced its shutdown is used")
				seen[string(upstream.ID)] = upstream.Started
			}
		}
		for id := range running {
			put(id)
		}
		for _, key := range slices.Collect(maps.Keys(stored)) {
			if 0 == running[key[len("upstream/"):]] {
				change(store.Event{Entry: store.Entry{Key: key, Version: next()}, Deleted: true})
			}
		}
		last := rapid.IntRange(0, 1).Draw(r, "last source")
		if pending[last] == nil {
			read(last)
		} else if len(pending[last]) > 0 {
			sources[last].recordWatch(pending[last], now, 0)
		}
		poll(sources[last])
		now = now.Add(reappearedHold)
		follower.expire()
		if follower.View().Version > sources[last].View().Version {
			return
		}
		maps.DeleteFunc(running, func(id string, started int64) bool {
			return announced[fleet.Incarnation{ID: api.UpstreamID(id), Started: started}]
		})
		known := map[string]int64{}
		for _, upstream := range follower.View().Ready("s") {
			known[string(upstream.ID)] = upstream.Started
		}
		assert.DeepEqual(r, known, running)
	})
}

// TestRegistrationAfterRestoreKeepsItsAge guards against scheduling that moves to another host at each restore, because all hosts look as if they had just started.
func TestRegistrationAfterRestoreKeepsItsAge(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0))
	service := startService(t, client, nil)
	started := func() int64 {
		entry, err := kv.Inner.Get(context.Background(), "host/self")
		if err != nil || entry == nil {
			return 0
		}
		var host fleet.Host
		assert.NilError(t, json.Unmarshal(entry.Value, &host))
		return host.Started
	}
	before := kv.Inner.Copy()
	defer service.Register(context.Background())()
	eventually(t, "the registration", func() bool { return started() != 0 })
	first := started()
	for range 2 {
		kv.Restore(before)
		eventually(t, "the registration after the restore", func() bool { return started() != 0 })
		assert.Equal(t, started(), first)
	}
}
