package directory

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/kernel"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// waitTimeout is the time after which a test that waits for a change fails.
const waitTimeout = 10 * time.Second

// testWait is the timeout of a watch call; the platform's entry host uses 1.5 s.
const testWait = 300 * time.Millisecond

func startStore(t *testing.T) (*platform.Store, *wire.Store) {
	t.Helper()
	standin := platform.NewStore()
	server := httptest.NewServer(standin)
	t.Cleanup(server.Close)
	client, err := wire.NewStore(kernel.StoreOptions{
		Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, Timeout: time.Second, WatchWait: testWait,
	})
	assert.NilError(t, err)
	return standin, client
}

func startService(t *testing.T, kv store.Store, change func(*Service)) *Service {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	service := &Service{
		Store: kv, Decoder: testDecoder(), Timer: &timer.Service{}, Log: logging.Discard(), Metrics: metric.New(),
		Self: fleet.Host{ID: "self", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2"},
	}
	if change != nil {
		change(service)
	}
	done := make(chan struct{}, 2)
	go func() { _ = service.Timer.Run(ctx); done <- struct{}{} }()
	go func() { _ = service.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	return service
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

func write(t *testing.T, s *platform.Store, entries ...store.Entry) store.Version {
	t.Helper()
	txn := store.Txn{}
	for _, e := range entries {
		txn.Puts = append(txn.Puts, store.Put{Key: e.Key, Value: e.Value})
	}
	result, err := s.Inner.Txn(context.Background(), txn)
	assert.NilError(t, err)
	return result.Version
}

// TestSilentWatch guards against a host that misses changes until its watch call times
// out, when the store has stopped sending events and has dropped its history.
func TestSilentWatch(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0))
	service := startService(t, client, nil)
	eventually(t, "the first document", func() bool { return service.View().Snapshot != nil })
	kv.StallWatches.Store(true)
	time.Sleep(testWait)
	version := write(t, kv, documentEntry(2, 0))
	kv.CompactHistory(version)
	kv.StallWatches.Store(false)
	began := time.Now()
	eventually(t, "the document written in the gap", func() bool { return service.View().Snapshot.Revision == 2 })
	assert.Assert(t, time.Since(began) < testWait+time.Second)
}

// TestManyLargeChangesAreRead guards against a host that requests more changes than fit into a
// response again and again, until the store drops them.
func TestManyLargeChangesAreRead(t *testing.T) {
	largestResponse := bytes.Repeat([]byte(" "), 9<<20)
	testUnreadableChanges(t, func(w http.ResponseWriter, _ *http.Request, changes []byte) {
		_, _ = w.Write(largestResponse)
		_, _ = w.Write(changes)
	})
}

// TestSlowChangesAreRead guards against the same for changes that take longer to arrive than a
// watch call may.
func TestSlowChangesAreRead(t *testing.T) {
	testUnreadableChanges(t, func(w http.ResponseWriter, r *http.Request, changes []byte) {
		_, _ = w.Write(changes[:len(changes)/2])
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
}

// testUnreadableChanges writes a document while respond writes the changes that watch calls return,
// and another one after that.
func testUnreadableChanges(t *testing.T, respond func(w http.ResponseWriter, r *http.Request, changes []byte)) {
	t.Helper()
	kv := platform.NewStore()
	var unreadable atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !unreadable.Load() || r.URL.Path != wire.PathStoreWatch {
			kv.ServeHTTP(w, r)
			return
		}
		recorder := httptest.NewRecorder()
		kv.ServeHTTP(recorder, r)
		respond(w, r, recorder.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	client, err := wire.NewStore(kernel.StoreOptions{
		Endpoints: []string{strings.TrimPrefix(server.URL, "http://")}, Timeout: time.Second, WatchWait: testWait,
	})
	assert.NilError(t, err)
	write(t, kv, documentEntry(1, 0))
	service := startService(t, client, nil)
	eventually(t, "the first document", func() bool { return service.View().Snapshot != nil })
	unreadable.Store(true)
	write(t, kv, documentEntry(2, 0))
	eventually(t, "the document whose change can't be read", func() bool { return service.View().Snapshot.Revision == 2 })
	unreadable.Store(false)
	write(t, kv, documentEntry(3, 0))
	eventually(t, "the document after it", func() bool { return service.View().Snapshot.Revision == 3 })
}

// TestOutageKeepsView guards against a host that loses routes and upstreams while the store is down.
func TestOutageKeepsView(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0), upstreamEntry("a", fleet.StateReady, 1, 0))
	service := startService(t, client, nil)
	eventually(t, "the first view", func() bool { return len(service.View().Ready("s")) == 1 })
	kv.Down.Store(true)
	eventually(t, "the loss of the store", func() bool { connected, _ := service.Connected(); return !connected })
	assert.Equal(t, len(service.View().Ready("s")), 1)
	kv.Down.Store(false)
	write(t, kv, documentEntry(2, 0))
	eventually(t, "the document written after the outage", func() bool { return service.View().Snapshot.Revision == 2 })
}

// TestStateFromOtherHost guards against a host that can't reach the store and therefore
// accepts revoked credentials and uses draining upstreams.
func TestStateFromOtherHost(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0))
	connected := startService(t, client, nil)
	eventually(t, "the first document", func() bool { return connected.View().Snapshot != nil })
	downKV, downClient := startStore(t)
	downKV.Down.Store(true)
	rejected := startService(t, downClient, func(s *Service) {
		s.Seeds = []api.Address{"127.0.0.1:9"}
		s.FetchUpdate = func(ctx context.Context, _ api.Address, after store.Version, hold time.Duration) (*Update, error) {
			return fetchFrom(ctx, connected, after, hold)
		}
	})
	eventually(t, "the document of the other host", func() bool { s := rejected.View().Snapshot; return s != nil && s.Revision == 1 })
	write(t, kv, documentEntry(3, 0))
	eventually(t, "the newer document", func() bool { return rejected.View().Snapshot.Revision == 3 })
}

// TestHostWithoutDocumentIsNotRegistered guards against callers that are sent to a host which
// knows no routes yet, and against a registration that waits for its next period, which never
// comes once the clock stands still.
func TestHostWithoutDocumentIsNotRegistered(t *testing.T) {
	kv, client := startStore(t)
	began := time.Now()
	var elapsed atomic.Int64
	service := startService(t, client, func(s *Service) {
		s.Timer.Clock = func() time.Time { return began.Add(time.Duration(elapsed.Load())) }
	})
	ctx := context.Background()
	defer service.Register(ctx)()
	listed := func() bool {
		entry, err := kv.Inner.Get(ctx, "host/self")
		return err == nil && entry != nil
	}
	for range 3 {
		elapsed.Add(int64(renewPeriod))
		service.Timer.Tick()
		time.Sleep(testWait)
		assert.Assert(t, !listed())
	}
	write(t, kv, documentEntry(1, 0))
	eventually(t, "the registration", listed)
}

// TestRegistrationIsRestored guards against a host that stays off the address list after
// its lease has expired or a write was lost.
func TestRegistrationIsRestored(t *testing.T) {
	kv, client := startStore(t)
	write(t, kv, documentEntry(1, 0))
	service := startService(t, client, nil)
	kv.DropTxnResponses.Store(true)
	ctx := context.Background()
	cancel := service.Register(ctx)
	defer cancel()
	listed := func() bool {
		entry, err := kv.Inner.Get(ctx, "host/self")
		return err == nil && entry != nil
	}
	eventually(t, "the registration", listed)
	kv.DropTxnResponses.Store(false)
	eventually(t, "the acknowledged write", func() bool {
		service.registration.mu.Lock()
		defer service.registration.mu.Unlock()
		return service.registration.writtenVersion != 0
	})
	_, err := kv.Inner.Txn(ctx, store.Txn{Deletes: []string{"host/self"}})
	assert.NilError(t, err)
	eventually(t, "the registration after its entry was lost", listed)
	assert.NilError(t, service.Deregister(ctx))
	assert.Assert(t, !listed())
}
