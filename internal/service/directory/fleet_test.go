//go:build !race

// The race detector of Go 1.26 crashes in synctest bubbles with many goroutines
// (ThreadSanitizer: CHECK failed: tsan_rtl.cpp). make test runs these tests without it;
// TestFleetInRealTime covers the same code with it.

package directory

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/helper/timer"
	"redwingloft/internal/plugin/memory"
	"redwingloft/pkg/api"
)

const (
	// storeDelay is the time of a store call, and hopDelay that of a request between hosts.
	storeDelay = 4 * time.Millisecond
	hopDelay   = time.Millisecond
	// settleTime is the time after which the hosts of a new fleet have found their roles.
	settleTime = 4 * time.Second
)

// feedNode is a host of a feedFleet.
type feedNode struct {
	*Service
	// turnedAway makes the store fail for the host at once, cutOff makes it silent, and
	// silent stalls the requests between the host and others.
	turnedAway, cutOff, silent atomic.Bool
	// calls is the number of calls to the store, without renewals of leases.
	calls  atomic.Int64
	cancel context.CancelFunc
	// stopped is closed when the host has ended.
	stopped chan struct{}
}

// feedFleet runs the directories of a fleet in virtual time on one in-memory store.
type feedFleet struct {
	kv     *memory.Store
	nodes  map[api.Address]*feedNode
	hosts  []fleet.Host
	maxAge time.Duration
	down   atomic.Bool
}

// pollStore is the store as a host sees it, with watch calls that wait.
type pollStore struct {
	store.Store
	fleet *feedFleet
	node  *feedNode
}

var errNotServed = store.ErrUnavailable.New("not served")

func (p pollStore) begin(ctx context.Context) error {
	p.node.calls.Add(1)
	if p.node.cutOff.Load() {
		ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return errNotServed
	}
	time.Sleep(storeDelay)
	if p.node.turnedAway.Load() || p.fleet.down.Load() {
		return errNotServed
	}
	return ctx.Err()
}

func (p pollStore) ReadAll(ctx context.Context, prefix string) ([]store.Entry, store.Version, error) {
	if err := p.begin(ctx); err != nil {
		return nil, 0, err
	}
	return p.Store.ReadAll(ctx, prefix)
}

func (p pollStore) Watch(ctx context.Context, prefix string, from store.Version, f func([]store.Event)) error {
	wait := store.WatchWait(ctx, 3*p.fleet.maxAge/4)
	for {
		if err := p.begin(ctx); err != nil {
			return err
		}
		var events []store.Event
		call, cancel := context.WithTimeout(ctx, wait)
		_ = p.Store.Watch(call, prefix, from, func(changed []store.Event) {
			events = append(events, changed...)
			cancel()
		})
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case p.node.turnedAway.Load() || p.node.cutOff.Load() || p.fleet.down.Load():
			return errNotServed
		}
		f(events)
		if len(events) > 0 {
			from = events[len(events)-1].Version + 1
		}
	}
}

func (p pollStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := p.begin(ctx); err != nil {
		return 0, err
	}
	return p.Store.Grant(ctx, ttl)
}

func (p pollStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	err := p.begin(ctx)
	p.node.calls.Add(-1)
	if err != nil {
		return err
	}
	return p.Store.KeepAlive(ctx, lease)
}

func (p pollStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := p.begin(ctx); err != nil {
		return store.TxnResult{}, err
	}
	return p.Store.Txn(ctx, txn)
}

// runFleet starts a fleet, waits until its hosts have found their roles, and runs a test on it.
func runFleet(t *testing.T, count, centres int, test func(t *testing.T, f *feedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &feedFleet{kv: memory.New(), nodes: map[api.Address]*feedNode{}, hosts: fleetOf(count, centres), maxAge: 4 * time.Second}
		f.write(t, documentEntry(1, 0), upstreamEntry("a", fleet.StateReady, 1, 0))
		for _, host := range f.hosts {
			f.nodes[host.PeerAddress] = f.newNode(host)
		}
		for _, node := range f.nodes {
			f.start(node)
		}
		time.Sleep(settleTime)
		test(t, f)
		f.stop()
	})
}

// stop ends all hosts. It waits for calls of the timer service that are still in progress,
// because virtual time stands still once the test function has returned.
func (f *feedFleet) stop() {
	for _, node := range f.nodes {
		node.cancel()
		<-node.stopped
	}
	time.Sleep(time.Second)
}

func (f *feedFleet) write(t *testing.T, entries ...store.Entry) {
	t.Helper()
	txn := store.Txn{}
	for _, e := range entries {
		txn.Puts = append(txn.Puts, store.Put{Key: e.Key, Value: e.Value})
	}
	_, err := f.kv.Txn(context.Background(), txn)
	assert.NilError(t, err)
}

func (f *feedFleet) newNode(host fleet.Host) *feedNode {
	node := &feedNode{stopped: make(chan struct{})}
	node.Service = &Service{
		Decoder: testDecoder(), Timer: &timer.Service{}, Log: logging.Discard(), Metrics: metric.New(), Self: host, MaxAge: f.maxAge,
		Store: pollStore{f.kv, f, node},
		FetchUpdate: func(ctx context.Context, peer api.Address, after store.Version, hold time.Duration) (*Update, error) {
			source := f.nodes[peer]
			time.Sleep(hopDelay)
			switch {
			case source == nil || isClosed(source.stopped):
				return nil, errors.New("connection refused")
			case source.silent.Load() || node.silent.Load():
				<-ctx.Done()
				return nil, ctx.Err()
			}
			update, err := fetchFrom(ctx, source.Service, after, hold)
			time.Sleep(hopDelay)
			if source.silent.Load() || node.silent.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return update, err
		},
	}
	return node
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (f *feedFleet) start(node *feedNode) {
	ctx, cancel := context.WithCancel(context.Background())
	node.cancel = cancel
	var running sync.WaitGroup
	running.Go(func() { _ = node.Timer.Run(ctx) })
	running.Go(func() {
		defer node.Register(ctx)()
		_ = node.Run(ctx)
	})
	go func() {
		running.Wait()
		close(node.stopped)
	}()
}

// readers returns the hosts that read the store, and followers the others.
func (f *feedFleet) readers() (reading, following []*feedNode) {
	for _, node := range f.nodes {
		if node.currentRole().Reads {
			reading = append(reading, node)
		} else {
			following = append(following, node)
		}
	}
	return reading, following
}

// calls returns the reads and watch calls of all hosts so far.
func (f *feedFleet) calls() int64 {
	total := int64(0)
	for _, node := range f.nodes {
		total += node.calls.Load()
	}
	return total
}

// knownEverywhere writes a document and returns the time until the last of the given hosts has it.
func (f *feedFleet) knownEverywhere(t *testing.T, revision int, nodes []*feedNode) time.Duration {
	t.Helper()
	f.write(t, documentEntry(revision, 0))
	began := time.Now()
	for _, node := range nodes {
		eventually(t, "the document at "+string(node.Self.ID), func() bool {
			return node.View().Snapshot.Revision >= fleet.Revision(revision)
		})
	}
	return time.Since(began)
}

// TestFewReadersInformAll guards against store calls of every host, and against a change that
// reaches the last host later than a quarter of the time within which it must be known.
func TestFewReadersInformAll(t *testing.T) {
	runFleet(t, 195, 6, func(t *testing.T, f *feedFleet) {
		reading, following := f.readers()
		assert.Equal(t, len(reading), 5)
		t.Logf("%.1f calls a host until the fleet has settled", float64(f.calls())/float64(len(f.nodes)))
		before := f.calls()
		took := f.knownEverywhere(t, 2, slices.Concat(reading, following))
		assert.Assert(t, took <= f.maxAge/4, "%s", took)
		const span = 5
		time.Sleep(span * f.maxAge)
		// Each reader makes a call in each readerWaitRatio of MaxAge, and two for the change.
		limit := int64(len(reading) * (span/readerWaitRatio + 2))
		assert.Assert(t, f.calls()-before <= limit, "%d calls, at most %d are needed", f.calls()-before, limit)
		for _, node := range following {
			age, known := node.Age()
			assert.Assert(t, known && age < f.maxAge/2, "%s: %s", node.Self.ID, age)
		}
	})
}

// TestFailingReaders guards against hosts that miss a change because the readers that they
// follow fail in some way, one of them or all at once.
func TestFailingReaders(t *testing.T) {
	faults := map[string]func(reader *feedNode){
		"turned away":            func(reader *feedNode) { reader.turnedAway.Store(true) },
		"cut off from the store": func(reader *feedNode) { reader.cutOff.Store(true) },
		"silent":                 func(reader *feedNode) { reader.silent.Store(true) },
		"silent and cut off":     func(reader *feedNode) { reader.cutOff.Store(true); reader.silent.Store(true) },
		"stopped":                func(reader *feedNode) { reader.cancel() },
	}
	for name, inject := range faults {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, all %t", name, all), func(t *testing.T) {
				runFleet(t, 60, 3, func(t *testing.T, f *feedFleet) {
					reading, following := f.readers()
					for i, reader := range reading {
						if all || i == 0 {
							inject(reader)
						}
					}
					took := f.knownEverywhere(t, 2, following)
					t.Logf("known everywhere after %s", took)
					assert.Assert(t, took <= 3*f.maxAge/4, "%s", took)
				})
			})
		}
	}
}

// TestLostStore guards against a fleet that calls a store without pause after it has lost it,
// and against hosts that notice its return late.
func TestLostStore(t *testing.T) {
	runFleet(t, 60, 3, func(t *testing.T, f *feedFleet) {
		f.down.Store(true)
		before := f.calls()
		const span = 10 * time.Second
		time.Sleep(span)
		// No more than if every host read the store by itself with its backoff.
		limit := int64(len(f.nodes)) * int64(2*span/maxBackoff)
		t.Logf("%d calls in %s", f.calls()-before, span)
		assert.Assert(t, f.calls()-before <= limit, "%d calls, at most %d", f.calls()-before, limit)
		f.down.Store(false)
		_, following := f.readers()
		took := f.knownEverywhere(t, 2, following)
		assert.Assert(t, took <= f.maxAge/4+maxBackoff, "%s", took)
	})
}

// TestStartOfAllHosts guards against a start of many hosts that costs the store more than a few
// calls for each of them.
func TestStartOfAllHosts(t *testing.T) {
	runFleet(t, 195, 6, func(t *testing.T, f *feedFleet) {
		perHost := float64(f.calls()) / float64(len(f.nodes))
		t.Logf("%.1f calls a host", perHost)
		// A read of the state, the lease, the registration, and some calls of a watch until
		// enough other hosts have registered.
		assert.Assert(t, perHost <= 7)
		for _, node := range f.nodes {
			assert.Equal(t, len(node.View().Hosts), len(f.nodes))
		}
	})
}
