package directory

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
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

// fetchFrom requests an update from a service in this process.
func fetchFrom(ctx context.Context, source *Service, after store.Version, hold time.Duration) (*Update, error) {
	update, sent := source.Updates(ctx, after, hold)
	defer sent()
	if update == nil {
		return nil, errors.New("no update")
	}
	return update, nil
}

// TestAgeIsThatOfTheStore guards against a host that takes the contact with its source for
// evidence of a recent state.
func TestAgeIsThatOfTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Service{Clock: func() time.Time { return now }, Log: logging.Discard(), Metrics: metric.New(), Self: fleet.Host{ID: "self"}}
	s.role.Store(&Role{})
	s.state.Decoder = testDecoder()
	sent := now
	now = now.Add(900 * time.Millisecond)
	assert.NilError(t, s.applyUpdate("source", &Update{Version: 1, Full: true, Entries: []store.Entry{documentEntry(1, 1)}, AgeMs: 300, HeldMs: 800}, sent))
	age, known := s.Age()
	assert.Assert(t, known)
	assert.Equal(t, age, 400*time.Millisecond, "the source answered 800 ms after the request and was 300 ms old then")
	s.role.Store(&Role{})
	now = now.Add(time.Second)
	assert.ErrorContains(t, s.applyUpdate("source", &Update{Version: 1, AgeMs: 5000}, now), "5000 ms old")
	age, _ = s.Age()
	assert.Equal(t, age, 1400*time.Millisecond)
	assert.ErrorIs(t, s.applyUpdate("source", &Update{Version: 1, AgeMs: -1}, now), errUnknownAge)
	assert.ErrorIs(t, s.applyUpdate("source", &Update{Version: 1, AgeMs: 1, Disconnected: true}, now), errSourceDisconnected)
}

// TestDumpsAreBounded guards against a host that encodes its whole state for all others at once.
func TestDumpsAreBounded(t *testing.T) {
	s := &Service{Log: logging.Discard(), Metrics: metric.New()}
	s.state.Decoder = testDecoder()
	s.replace([]store.Entry{documentEntry(1, 5)}, 5, time.Now())
	var sent []func()
	for range maxConcurrentDumps {
		update, end := s.Updates(context.Background(), 0, 0)
		assert.Assert(t, update.Full && len(update.Entries) == 1)
		sent = append(sent, end)
	}
	update, _ := s.Updates(context.Background(), 0, 0)
	assert.Assert(t, update == nil)
	sent[0]()
	update, _ = s.Updates(context.Background(), 0, 0)
	assert.Assert(t, update != nil)
}

// TestFollowersEndInTheStateOfTheirSource plays random changes at the store, of which the source
// learns by events or by a full read, and a follower that asks at random moments. It guards
// against a change that is lost on the way, and against one that is undone.
func TestFollowersEndInTheStateOfTheirSource(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		now := time.Unix(1000, 0)
		newService := func() *Service {
			s := &Service{Clock: func() time.Time { return now }, Log: logging.Discard(), Metrics: metric.New()}
			s.state.Decoder = testDecoder()
			return s
		}
		source, follower := newService(), newService()
		source.role.Store(&Role{Reads: true})
		follower.role.Store(&Role{})
		stored := map[string]store.Entry{}
		var pending []store.Event
		version := store.Version(1)
		all := func() []store.Entry {
			var entries []store.Entry
			for _, entry := range stored {
				entries = append(entries, entry)
			}
			return entries
		}
		poll := func() {
			update, sent := source.newUpdate(follower.View().Version, now)
			defer sent()
			before := follower.View().Version
			if update != nil {
				_ = follower.applyUpdate("source", update, now)
			}
			assert.Assert(r, follower.View().Version >= before)
		}
		source.replace(nil, version, now)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.SampledFrom([]string{"put", "put", "delete", "events", "read", "early read", "poll"}).Draw(r, "step") {
			case "put":
				version++
				entry := upstreamEntry(rapid.StringMatching("[a-e]").Draw(r, "id"), fleet.StateReady, 1, version)
				stored[entry.Key] = entry
				pending = append(pending, store.Event{Entry: entry})
			case "delete":
				key := "upstream/" + rapid.StringMatching("[a-e]").Draw(r, "id")
				if _, exists := stored[key]; exists {
					version++
					delete(stored, key)
					pending = append(pending, store.Event{Entry: store.Entry{Key: key, Version: version}, Deleted: true})
				}
			case "events":
				if len(pending) > 0 {
					source.recordWatch(pending, now, 0)
					pending = nil
				}
			case "read":
				source.replace(all(), version, now)
				pending = nil
			case "early read":
				// The first page was read before the pending changes, the others after them.
				source.replace(all(), max(source.View().Version, version-store.Version(len(pending))), now)
			case "poll":
				poll()
			}
		}
		if len(pending) > 0 {
			source.recordWatch(pending, now, 0)
		}
		poll()
		assert.Equal(r, len(follower.View().Ready("s")), len(stored))
		for _, upstream := range follower.View().Ready("s") {
			_, exists := stored["upstream/"+string(upstream.ID)]
			assert.Assert(r, exists, string(upstream.ID))
		}
	})
}

// TestHistoryIsBoundedInBytes guards against a host that keeps every version of a large document in
// memory, and against a follower that misses a change for it.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	const size, changes = 1 << 20, 200
	source := &Service{Log: logging.Discard(), Metrics: metric.New()}
	source.state.Decoder = testDecoder()
	source.replace(nil, 1, time.Now())
	for version := store.Version(2); version < 2+changes; version++ {
		source.recordWatch([]store.Event{
			{Entry: store.Entry{Key: "other", Value: make([]byte, size), Version: version}},
			{Entry: upstreamEntry("u", fleet.StateReady, 1, version)},
		}, time.Now(), 0)
		kept := 0
		for _, event := range source.history {
			kept += len(event.Value)
		}
		assert.Assert(t, kept <= maxHistoryBytes, "version %d: %d bytes are kept", version, kept)
		update, sent := source.Updates(context.Background(), version-1, 0)
		sent()
		assert.Assert(t, !update.Full, "version %d", version)
		assert.Equal(t, len(update.Events), 2)
	}
	update, sent := source.Updates(context.Background(), 1, 0)
	sent()
	assert.Assert(t, update.Full)
}

// TestHistoryIsBounded guards against a history that grows without limit, and against a host
// that misses changes which the history has dropped.
func TestHistoryIsBounded(t *testing.T) {
	source := &Service{Log: logging.Discard(), Metrics: metric.New()}
	source.state.Decoder = testDecoder()
	source.replace(nil, 1, time.Now())
	for version := store.Version(2); version < 2+maxHistory+10; version++ {
		source.recordWatch([]store.Event{{Entry: upstreamEntry(fmt.Sprint(version%7), fleet.StateReady, 1, version)}}, time.Now(), 0)
	}
	assert.Assert(t, len(source.history) <= maxHistory)
	update, sent := source.Updates(context.Background(), 1, 0)
	defer sent()
	assert.Assert(t, update.Full)
	assert.Equal(t, len(update.Entries), 7)
	last := source.View().Version
	update, sentEvents := source.Updates(context.Background(), last-5, 0)
	defer sentEvents()
	assert.Assert(t, !update.Full)
	assert.Equal(t, len(update.Events), 5)
}

// TestFleetInRealTime guards against followers that get no changes, with real store calls. Its
// time limit is that of a change that has to reach all hosts.
func TestFleetInRealTime(t *testing.T) {
	const maxAge = 4 * time.Second
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0))
	hosts := fleetOf(smallFleet+4, 2)
	services := map[api.Address]*Service{}
	var calls atomic.Int64
	for _, host := range hosts {
		services[host.PeerAddress] = nil
	}
	started := make(chan struct{})
	for _, host := range hosts {
		service := startService(t, client, func(s *Service) {
			s.Self, s.MaxAge = host, maxAge
			s.FetchUpdate = func(ctx context.Context, peer api.Address, after store.Version, hold time.Duration) (*Update, error) {
				<-started
				calls.Add(1)
				return fetchFrom(ctx, services[peer], after, hold)
			}
		})
		services[host.PeerAddress] = service
		t.Cleanup(service.Register(context.Background()))
	}
	close(started)
	following := 0
	for _, service := range services {
		eventually(t, "all hosts are known", func() bool { return len(service.View().Hosts) == len(hosts) })
		if !service.currentRole().Reads {
			following++
		}
	}
	assert.Equal(t, following, len(hosts)-minReaders)
	write(t, kv, documentEntry(2, 0))
	began := time.Now()
	for _, service := range services {
		eventually(t, "the second document", func() bool { return service.View().Snapshot.Revision == 2 })
	}
	assert.Assert(t, time.Since(began) < maxAge)
	assert.Assert(t, calls.Load() > 0)
}
