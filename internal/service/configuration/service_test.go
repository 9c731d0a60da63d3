package configuration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/plugin/memory"
	"redwingloft/pkg/api"
	"redwingloft/standin/keyvalue"
)

func newService(kv store.Store) *Service {
	return &Service{Store: kv, Holder: &document.SnapshotHolder{}, Log: logging.Discard(), Metrics: metric.New()}
}

// newDocument returns a valid document with the given number of workspaces.
func newDocument(workspaces int) *document.Document {
	doc := &document.Document{
		Format: document.Format, Deployment: "test", Weights: document.Weights{Attainment: 1},
		Groups: []document.Group{{Name: "g", Kind: document.GroupHTTP, Upstreams: []document.Upstream{
			{ID: "u", Address: "127.0.0.1:1", DataCentre: "dc", Slots: 1},
		}}},
		Services: []document.Service{{Name: "s", Group: "g"}},
	}
	for i := range workspaces {
		doc.Workspaces = append(doc.Workspaces, document.Workspace{
			Name:             api.WorkspaceName(fmt.Sprintf("workspace-%04d", i)),
			CredentialHashes: []string{digestOf([]byte{byte(i), byte(i >> 8)})},
			Services:         []api.ServiceName{"s"},
		})
	}
	return doc
}

func commit(t *testing.T, s *Service, doc *document.Document, base api.Revision) {
	t.Helper()
	revision, err := s.Commit(context.Background(), doc, base, "test", fmt.Sprint("change of ", base))
	assert.NilError(t, err)
	assert.Equal(t, revision, base+1)
}

// writesManifest reports whether a transaction commits a change.
func writesManifest(txn store.Txn) bool {
	return len(txn.Puts) > 0 && txn.Puts[0].Key == store.Keys{}.Manifest()
}

// TestTwoOperators guards against a lost update when several operators commit from
// the same revision at the same time.
func TestTwoOperators(t *testing.T) {
	kv := memory.New()
	const operators = 8
	var wait sync.WaitGroup
	var mu sync.Mutex
	accepted, conflicts := 0, 0
	for i := range operators {
		wait.Go(func() {
			s := newService(kv)
			_, err := s.Commit(context.Background(), newDocument(i+1), 0, "op", "")
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				accepted++
				return
			}
			current, carried := ConflictRevision(err)
			if fault.Is(err, api.KindConflict) && carried && current == 1 {
				conflicts++
			}
		})
	}
	wait.Wait()
	assert.Equal(t, accepted, 1)
	assert.Equal(t, conflicts, operators-1)
}

// TestLostReply guards against a commit that is reported as failed, or applied
// twice, because its reply was lost.
func TestLostReply(t *testing.T) {
	kv := keyvalue.NewFaulty(memory.New())
	s := newService(kv)
	for i, applies := range []bool{true, false} {
		var once sync.Once
		kv.SetHook(func(txn store.Txn, apply func() (store.TxnResult, error)) (store.TxnResult, error) {
			lost := false
			if writesManifest(txn) {
				once.Do(func() { lost = true })
			}
			if !lost {
				return apply()
			}
			if applies {
				_, _ = apply()
			}
			return store.TxnResult{}, store.ErrUnknownOutcome.New("no reply")
		})
		commit(t, s, newDocument(i+1), api.Revision(i))
	}
	past, err := s.History(context.Background(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(past), 2)

	// The reply is lost, and another operator commits before the transaction is sent again.
	other := newService(kv.Store)
	var once sync.Once
	kv.SetHook(func(txn store.Txn, apply func() (store.TxnResult, error)) (store.TxnResult, error) {
		result, err := apply()
		if writesManifest(txn) {
			once.Do(func() {
				assert.NilError(t, other.Refresh(context.Background()))
				commit(t, other, newDocument(9), 3)
				err = store.ErrUnknownOutcome.New("no reply")
			})
		}
		return result, err
	})
	commit(t, s, newDocument(3), 2)
	assert.NilError(t, s.Refresh(context.Background()))
	assert.Equal(t, s.Current().Revision, api.Revision(4))
}

// TestStoreOutage guards against a commit that succeeds while the store is unavailable, and
// against hosts that revert to the older manifest of a store that lost its last writes.
func TestStoreOutage(t *testing.T) {
	kv := keyvalue.NewFaulty(memory.New())
	s := newService(kv)
	commit(t, s, newDocument(1), 0)
	kv.SetDown(true)
	_, err := s.Commit(context.Background(), newDocument(2), 1, "test", "")
	assert.Assert(t, fault.Is(err, api.KindStoreUnavailable), "%v", err)
	kv.SetDown(false)
	commit(t, s, newDocument(2), 1)

	old := memory.New()
	commit(t, newService(old), newDocument(1), 0)
	kv.Store = old
	assert.NilError(t, s.Refresh(context.Background()))
	assert.Equal(t, s.Holder.Load().Revision, api.Revision(2))
	// The next commit uses the revision after the active one and stores all its parts.
	commit(t, s, newDocument(3), 2)
	fresh := newService(old)
	assert.NilError(t, fresh.Refresh(context.Background()))
	assert.Equal(t, len(fresh.Holder.Load().Workspaces), 3)
}

// TestMembersChangeDuringCommit guards against a manifest without a host that
// registered, in a new data centre, before the commit took effect.
func TestMembersChangeDuringCommit(t *testing.T) {
	kv := keyvalue.NewFaulty(memory.New())
	s := newService(kv)
	var once sync.Once
	kv.SetHook(func(txn store.Txn, apply func() (store.TxnResult, error)) (store.TxnResult, error) {
		if writesManifest(txn) {
			once.Do(func() {
				_, err := kv.Store.Txn(context.Background(), store.Txn{Puts: []store.Put{{
					Key: s.Keys.Members("new"), Value: []byte(`{"members":[{"host":"joined"}]}`),
				}}})
				assert.NilError(t, err)
			})
		}
		return apply()
	})
	commit(t, s, newDocument(1), 0)
	assert.DeepEqual(t, s.Current().Members, []api.HostID{"joined"})
}

// TestOffer guards against a host that accepts a lower revision, a part that does not
// match its digest, or an invalid document.
func TestOffer(t *testing.T) {
	ctx := context.Background()
	source, kv := newService(memory.New()), memory.New()
	commit(t, source, newDocument(200), 0)
	first := source.Current()
	host := newService(kv)
	var fetched atomic.Int64
	fetch := func(_ context.Context, digest string) ([]byte, error) {
		fetched.Add(1)
		data, _ := source.Part(digest)
		return data, nil
	}
	assert.NilError(t, host.Offer(ctx, first, fetch))
	assert.Equal(t, fetched.Swap(0), int64(len(first.Parts)))
	changed := newDocument(200)
	changed.Workspaces[7].Weight = 2
	commit(t, source, changed, 1)
	assert.NilError(t, host.Offer(ctx, source.Current(), fetch))
	assert.Equal(t, fetched.Load(), int64(1))
	assert.Equal(t, host.Holder.Load().Workspaces["workspace-0007"].Weight, 2.0)
	_, kept := host.Part(first.Parts[workspacePart("workspace-0007")])
	assert.Assert(t, !kept, "a part that is no longer active is kept")
	assert.NilError(t, host.Offer(ctx, first, fetch))
	assert.Equal(t, host.Current().Revision, api.Revision(2))

	corrupt := func(context.Context, string) ([]byte, error) { return []byte("{}"), nil }
	changed.Workspaces[8].Weight = 2
	commit(t, source, changed, 2)
	assert.Assert(t, host.Offer(ctx, source.Current(), corrupt) != nil)
	assert.Equal(t, host.Current().Revision, api.Revision(2))
	assert.NilError(t, host.Offer(ctx, source.Current(), fetch))

	invalid := newDocument(1)
	invalid.Workspaces[0].Services = []api.ServiceName{"undeclared"}
	names, parts, err := encodeParts(invalid)
	assert.NilError(t, err)
	bad := &Manifest{Revision: 9, Commit: "bad", Parts: names}
	fromBad := func(_ context.Context, digest string) ([]byte, error) { return parts[digest], nil }
	assert.Assert(t, host.Offer(ctx, bad, fromBad) != nil)
	assert.Assert(t, host.Offer(ctx, &Manifest{Revision: 9, Commit: "x", Parts: map[PartName]string{"unknown": ""}}, nil) != nil)
	assert.Equal(t, host.Holder.Load().Revision, api.Revision(3))
	assert.Equal(t, host.Metrics.Counter("configuration.refused").Count(), int64(2))
}

// TestAppliedMayOffer guards against a deadlock if the callback offers a newer configuration,
// and against snapshots that are passed to it out of order.
func TestAppliedMayOffer(t *testing.T) {
	ctx := context.Background()
	kv := memory.New()
	operator, host := newService(kv), newService(kv)
	var seen []api.Revision
	host.OnApplied = func(s *document.Snapshot) {
		seen = append(seen, s.Revision)
		if s.Revision < 3 {
			commit(t, operator, newDocument(int(s.Revision)+1), s.Revision)
			assert.NilError(t, host.Refresh(ctx))
		}
	}
	commit(t, operator, newDocument(1), 0)
	assert.NilError(t, host.Refresh(ctx))
	assert.DeepEqual(t, seen, []api.Revision{1, 2, 3})
}

// storedParts returns the digests of the parts in the store.
func storedParts(t *testing.T, kv store.Store) map[string]bool {
	t.Helper()
	prefix := store.Keys{}.PartsPrefix()
	entries, err := kv.List(context.Background(), prefix, prefix, 2*maxHistory)
	assert.NilError(t, err)
	digests := map[string]bool{}
	for _, entry := range entries {
		digests[strings.TrimPrefix(entry.Key, prefix)] = true
	}
	return digests
}

// TestHistory checks that the history is bounded, that the parts used only by dropped
// revisions are deleted, and that all parts of the revisions in the history are kept.
func TestHistory(t *testing.T) {
	ctx := context.Background()
	kv := memory.New()
	s := newService(kv)
	// dropped holds the parts that only revisions 1 to 3 use.
	var dropped []string
	for base := range api.Revision(maxHistory + 3) {
		doc := newDocument(1)
		doc.Workspaces[0].Weight = float64(base + 1)
		commit(t, s, doc, base)
		if revision := base + 1; revision <= 3 {
			dropped = append(dropped, s.Current().Parts[workspacePart("workspace-0000")])
		} else if revision == maxHistory {
			stored := storedParts(t, kv)
			for _, digest := range dropped {
				assert.Assert(t, stored[digest])
			}
		}
	}
	past, err := s.History(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(past), maxHistory)
	assert.Equal(t, past[0].Revision, api.Revision(maxHistory+3))
	_, err = s.DocumentAt(ctx, 3)
	assert.Assert(t, fault.Is(err, api.KindNotFound))
	// Commits 250 and 500 started deletions in the background. Each deletes at most once, and a
	// concurrent one deletes nothing.
	for range 3 {
		_, err := s.DeleteUnusedParts(ctx)
		assert.NilError(t, err)
	}
	named := map[string]bool{}
	for _, manifest := range past {
		for _, digest := range manifest.Parts {
			named[digest] = true
		}
	}
	for _, digest := range dropped {
		assert.Assert(t, !named[digest])
	}
	assert.DeepEqual(t, storedParts(t, kv), named)
	doc, err := s.DocumentAt(ctx, 4)
	assert.NilError(t, err)
	assert.Equal(t, doc.Workspaces[0].Weight, 4.0)
}

// TestCollectDuringCommit guards against a commit whose parts are missing because they were
// deleted as unused between their upload and the commit, which has to upload them again.
func TestCollectDuringCommit(t *testing.T) {
	ctx := context.Background()
	kv := keyvalue.NewFaulty(memory.New())
	s := newService(kv)
	doc := newDocument(1)
	doc.Workspaces[0].Weight = 1
	commit(t, s, doc, 0)
	collected := 0
	var err error
	var once sync.Once
	kv.SetHook(func(txn store.Txn, apply func() (store.TxnResult, error)) (store.TxnResult, error) {
		if writesManifest(txn) {
			once.Do(func() { collected, err = newService(kv.Store).DeleteUnusedParts(ctx) })
		}
		return apply()
	})
	commit(t, s, newDocument(2), 1)
	assert.NilError(t, err)
	assert.Equal(t, collected, 2) // both workspaces have new parts
	fresh := newService(kv.Store)
	assert.NilError(t, fresh.Refresh(ctx))
	assert.Equal(t, fresh.Current().Revision, api.Revision(2))
}

// TestWatch guards against a host that misses a change because its watch failed,
// timed out, or started from a compacted revision.
func TestWatch(t *testing.T) {
	kv := memory.New()
	operator, host := newService(kv), newService(kv)
	ctx, cancel := context.WithCancel(context.Background())
	applied := make(chan api.Revision, 100)
	host.OnApplied = func(s *document.Snapshot) { applied <- s.Revision }
	host.PollPeriod = 50 * time.Millisecond
	ended := make(chan error, 1)
	go func() { ended <- host.Watch(ctx) }()
	for base := range api.Revision(10) {
		commit(t, operator, newDocument(int(base)+1), base)
		kv.Compact(kv.Version())
		for revision := range applied {
			if revision == base+1 {
				break
			}
		}
	}
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	assert.Equal(t, host.Metrics.Counter("configuration.watch_failed").Count(), int64(0))
}
