package directory

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
)

// lateStore is a store whose first full read fails. The second one waits after it has read.
type lateStore struct {
	*wire.Store
	reads atomic.Int64
	// read is closed when the second read has read, release lets it return.
	read, release chan struct{}
}

func (s *lateStore) ReadAll(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	count := s.reads.Add(1)
	if count == 1 {
		return nil, 0, store.ErrUnavailable.New("cut off")
	}
	entries, version, err := s.Store.ReadAll(ctx, prefix)
	if count == 2 {
		close(s.read)
		select {
		case <-s.release:
		case <-ctx.Done():
		}
	}
	return entries, version, err
}

// TestLateReadBringsNothingBack guards against upstreams, hosts and evacuations that come back for good
// because a full read of the store is delivered after other hosts have told of their end.
func TestLateReadBringsNothingBack(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0), upstreamEntry("stays", fleet.StateReady, 1, 0), upstreamEntry("leaves", fleet.StateReady, 1, 0),
		store.Entry{Key: "host/other", Value: []byte(`{"id":"other"}`)}, store.Entry{Key: "evacuate/b"})
	connected := startService(t, client, nil)
	eventually(t, "the first document", func() bool { return connected.View().Snapshot != nil })
	late := &lateStore{Store: client, read: make(chan struct{}), release: make(chan struct{})}
	var skipped atomic.Int64
	var mu sync.Mutex
	serving := false
	service := startService(t, late, func(s *Service) {
		s.Seeds = []api.Address{"127.0.0.1:9"}
		s.Clock = func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
		s.FetchUpdate = func(ctx context.Context, _ api.Address, after store.Version, hold time.Duration) (*Update, error) {
			mu.Lock()
			ready := serving
			mu.Unlock()
			if !ready {
				return nil, context.DeadlineExceeded
			}
			return fetchFrom(ctx, connected, after, hold)
		}
	})
	<-late.read
	// The service has not heard of these entries yet, which end before it follows the other one.
	write(t, kv, upstreamEntry("short", fleet.StateReady, 1, 0))
	_, err := kv.Inner.Txn(context.Background(), store.Txn{Deletes: []string{"upstream/leaves", "upstream/short", "host/other", "evacuate/b"}})
	assert.NilError(t, err)
	mu.Lock()
	serving = true
	mu.Unlock()
	check := func(when string) {
		t.Helper()
		view := service.View()
		assert.DeepEqual(t, readyIDs(view), []string{"stays"})
		assert.Equal(t, len(view.Hosts), 0, when)
		assert.Equal(t, len(view.Evacuated), 0, when)
	}
	eventually(t, "the state of the other host", func() bool { return slices.Equal(readyIDs(service.View()), []string{"stays"}) })
	close(late.release)
	eventually(t, "the recovery", func() bool { connected, _ := service.Connected(); return connected })
	check("after the late read")
	skipped.Add(int64(time.Minute))
	time.Sleep(3 * expirePeriod)
	check("a minute later")
	write(t, kv, upstreamEntry("new", fleet.StateReady, 1, 0))
	eventually(t, "the next change", func() bool { return slices.Equal(readyIDs(service.View()), []string{"new", "stays"}) })
}

// readyIDs returns the ids of the ready upstreams of service s.
func readyIDs(view *View) []string {
	var ids []string
	for _, upstream := range view.Ready("s") {
		ids = append(ids, string(upstream.ID))
	}
	return ids
}

// TestLateReadsEndInTheStateOfTheStore guards against full reads that are applied late, before or after
// changes from another host, and leave a state that is not the one of the store.
func TestLateReadsEndInTheStateOfTheStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type read struct {
			entries []store.Entry
			version store.Version
		}
		var version store.Version
		var history []store.Event
		var reads []read
		entries := map[string]store.Entry{}
		s, now := newState(), start
		write := func() {
			version++
			id := fmt.Sprint("u", rapid.IntRange(0, 3).Draw(r, "upstream"))
			entry := upstreamEntry(id, fleet.StateReady, 1, version)
			event := store.Event{Entry: entry}
			if _, known := entries[entry.Key]; known && rapid.Bool().Draw(r, "delete") {
				event = store.Event{Entry: store.Entry{Key: entry.Key, Version: version}, Deleted: true}
				delete(entries, entry.Key)
			} else {
				entries[entry.Key] = entry
			}
			history = append(history, event)
		}
		write()
		r.Repeat(map[string]func(*rapid.T){
			"write": func(*rapid.T) { write() },
			"read": func(*rapid.T) {
				current := read{version: version}
				for _, entry := range entries {
					current.entries = append(current.entries, entry)
				}
				reads = append(reads, current)
			},
			"late read": func(r *rapid.T) {
				if len(reads) > 0 {
					chosen := rapid.SampledFrom(reads).Draw(r, "read")
					s.Replace(chosen.entries, chosen.version, now, time.Time{})
				}
			},
			"changes": func(r *rapid.T) {
				s.Apply(history[:rapid.IntRange(0, len(history)).Draw(r, "events")], now, time.Time{})
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Second)
				s.Expire(now)
			},
		})
		s.Apply(history, now, time.Time{})
		s.Expire(now.Add(time.Hour))
		var want []string
		for _, entry := range entries {
			want = append(want, entry.Key[len("upstream/"):])
		}
		slices.Sort(want)
		if got := readyIDs(s.View()); !slices.Equal(got, want) {
			r.Fatalf("upstreams %v, want %v", got, want)
		}
	})
}
