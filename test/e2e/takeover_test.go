package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/kernel"
	"redwingloft/internal/plugin/etcd"
	"redwingloft/internal/service/order"
	"redwingloft/pkg/api"
	"redwingloft/standin/fleet"
	"redwingloft/standin/injection"
	"redwingloft/standin/site"
)

// Non-idempotent calls: the upstreams of the first check fencing numbers, those of the
// second ignore them.
const (
	fencedCall   = "sms-notify/send"
	unfencedCall = "bookings/book"
)

// callService calls a service on a host, with an idempotency key unless it is empty. The
// refusal is empty if the call succeeded. A pause of the whole machine isolates the hosts
// for a moment; a call that is refused for that reason did not run and is retried.
// callService is called from goroutines, which must not end the test.
func callService(host *site.Host, call, key string) (refusal api.Error, err error) {
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		refusal, err = callOnce(host, call, key)
		if refusal.Kind != api.KindHostIsolated || refusal.Run != api.RunNo {
			break
		}
	}
	return refusal, err
}

func callOnce(host *site.Host, call, key string) (api.Error, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+host.CallerAddress+api.PathServices+call, bytes.NewReader([]byte(`{"visit":1}`)))
	if err != nil {
		return api.Error{}, err
	}
	// A retry by net/http would be a call that the test does not count.
	request.GetBody = nil
	request.Header.Set(api.HeaderWorkspace, "port-of-spain")
	request.Header.Set("Authorization", "Bearer "+token("port-of-spain"))
	if key != "" {
		request.Header.Set(api.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return api.Error{}, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		var result api.ServiceAnswer
		return api.Error{}, json.NewDecoder(response.Body).Decode(&result)
	}
	var refusal api.Error
	return refusal, json.NewDecoder(response.Body).Decode(&refusal)
}

// startOrders starts hosts whose service calls have the given deadline.
func startOrders(t *testing.T, hosts int, deadline time.Duration) *site.Site {
	t.Helper()
	doc := loadDocument(t, "greenhand")
	for i := range doc.Workspaces {
		doc.Workspaces[i].RequestsPerSecond = 0
	}
	for i := range doc.Services {
		for j := range doc.Services[i].Calls {
			doc.Services[i].Calls[j].Deadline = document.Milliseconds(deadline.Milliseconds())
		}
	}
	s := startSite(t, "greenhand", site.Options{Document: doc, Hosts: hosts, Settings: map[string][]string{"peer": {"interval = 200ms"}}})
	waitVoters(t, s, hosts)
	return s
}

// runsByKey returns how often each order of a group ran, by idempotency key.
func runsByKey(t *testing.T, s *site.Site, group string) map[string]int {
	t.Helper()
	ran := map[string]int{}
	for _, run := range fetchRuns(t, s, group) {
		ran[run.Key]++
	}
	return ran
}

func sumCounters(t *testing.T, hosts []*site.Host, name string) int64 {
	t.Helper()
	total := int64(0)
	for _, host := range hosts {
		total += counter(t, host, name)
	}
	return total
}

// findAggregator places orders on all hosts until one of them has received claims from
// another. It returns that host, the other hosts, and the keys of the orders. Which host
// that is depends on the random IDs of the hosts: a host may own no shard of the orders.
func findAggregator(t *testing.T, s *site.Site) (aggregator *site.Host, others []*site.Host, keys []string) {
	t.Helper()
	eventually(t, "a host receives claims of another", func() bool {
		for _, host := range s.Hosts {
			key := newIdempotencyKey(t)
			refusal, err := callService(host, unfencedCall, key)
			assert.NilError(t, err)
			assert.Assert(t, refusal.Kind == "", "%+v", refusal)
			keys = append(keys, key)
		}
		for _, host := range s.Hosts {
			if aggregator == nil && counter(t, host, "order_claims_received") > 0 {
				aggregator = host
			}
		}
		return aggregator != nil
	})
	for _, host := range s.Hosts {
		if host != aggregator {
			others = append(others, host)
		}
	}
	return aggregator, others, keys
}

// TestOrdersSurviveAggregatorFailure guards against claims that never reach the
// aggregator, and against orders that are refused, lost or run twice because their
// aggregator freezes and then dies with claims pending.
func TestOrdersSurviveAggregatorFailure(t *testing.T) {
	s := startOrders(t, 3, 30*time.Second)
	victim, serving, keys := findAggregator(t, s)
	var (
		wait   sync.WaitGroup
		mu     sync.Mutex
		stop   atomic.Bool
		placed atomic.Int64
	)
	for caller := range 8 {
		wait.Go(func() {
			for i := 0; !stop.Load() && i < 2000; i++ {
				key := newIdempotencyKey(t)
				refusal, err := callService(serving[caller%2], unfencedCall, key)
				if !assert.Check(t, err) || !assert.Check(t, refusal.Kind == "", "%+v", refusal) {
					return
				}
				mu.Lock()
				keys = append(keys, key)
				mu.Unlock()
				placed.Add(1)
			}
		})
	}
	placeMore := func() {
		for wanted := placed.Load() + 32; placed.Load() < wanted && !t.Failed(); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	eventually(t, "claims go through the host that will fail", func() bool {
		return counter(t, victim, "order_claims_received") > 0 && sumCounters(t, serving, "order_forwards") > 0
	})
	assert.NilError(t, victim.Signal(syscall.SIGSTOP))
	eventually(t, "claims to the frozen aggregator fail", func() bool { return sumCounters(t, serving, "order_forwards_failed") > 0 })
	placeMore()
	assert.NilError(t, victim.Signal(syscall.SIGCONT))
	placeMore()
	assert.NilError(t, victim.Kill())
	placeMore()
	stop.Store(true)
	wait.Wait()
	ran := runsByKey(t, s, "bookings")
	assert.Equal(t, len(ran), len(keys))
	for _, key := range keys {
		assert.Equal(t, ran[key], 1, key)
	}
	t.Logf("%d orders, %d forwards, %d of them failed", len(keys), sumCounters(t, serving, "order_forwards"), sumCounters(t, serving, "order_forwards_failed"))
}

// recordStates counts the order records in the store by state.
func recordStates(t *testing.T, s *site.Site) map[order.State]int {
	t.Helper()
	client, err := etcd.New(kernel.StoreOptions{Endpoints: []string{"http://" + s.KeyValueAddress}})
	assert.NilError(t, err)
	entries, err := client.List(t.Context(), s.Options.Document.Deployment+"/orders/", "", 0)
	assert.NilError(t, err)
	states := map[order.State]int{}
	for _, entry := range entries {
		var record order.Record
		assert.NilError(t, json.Unmarshal(entry.Value, &record))
		states[record.State]++
	}
	return states
}

// TestTakeover guards against an order that stays blocked although the host that held its
// claim died before the send and the upstream checks fencing numbers, and against a second
// run of an order that was being sent, or whose upstream does not check them.
func TestTakeover(t *testing.T) {
	s := startOrders(t, 3, 4*time.Second)
	holder, other := s.Hosts[0], s.Hosts[1]
	fenced, unfenced, sending := newIdempotencyKey(t), newIdempotencyKey(t), newIdempotencyKey(t)
	var wait sync.WaitGroup
	place := func(call, key string) {
		wait.Go(func() {
			// A claim that gets no reply is refused as not run after 3 s, so the caller
			// retries its order, as callers do, until the holder is dead.
			for {
				refusal, err := callService(holder, call, key)
				if err != nil {
					return
				}
				if !assert.Check(t, refusal.Kind != "", "the holder completed the order") {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	eachFenced := func(f func(address string) error) {
		for _, group := range s.Options.Document.Groups {
			for _, upstream := range group.Upstreams {
				if group.Name == "sms-notify" {
					assert.NilError(t, f(string(upstream.Address)))
				}
			}
		}
	}
	// The upstream freezes on the order, so the holder dies after it records that it is
	// sending and before it gets the response.
	eachFenced(func(address string) error {
		return fleet.Inject(s.ControlAddress, address, injection.Fault{Mode: injection.ModeFreeze, Path: "/send"})
	})
	place(fencedCall, sending)
	eventually(t, "the first order is recorded as sending", func() bool { return recordStates(t, s)[order.StateSending] == 1 })
	// The claims are applied and their replies are lost, so the holder can't record that it is sending.
	fault := injection.Fault{Mode: injection.ModeDropReply, Path: "/v3/kv/txn"}
	assert.NilError(t, fleet.Inject(s.KeyValueControlAddress, s.KeyValueAddress, fault))
	place(fencedCall, fenced)
	place(unfencedCall, unfenced)
	eventually(t, "the other orders are claimed", func() bool { return recordStates(t, s)[order.StateClaimed] == 2 })
	assert.NilError(t, holder.Kill())
	wait.Wait()
	assert.NilError(t, fleet.Clear(s.KeyValueControlAddress, s.KeyValueAddress))
	eachFenced(func(address string) error { return fleet.Clear(s.ControlAddress, address) })
	assert.DeepEqual(t, recordStates(t, s), map[order.State]int{order.StateSending: 1, order.StateClaimed: 2})

	retry := func(call, key string) api.Kind {
		refusal, err := callService(other, call, key)
		assert.NilError(t, err)
		if refusal.Kind != "" {
			assert.Assert(t, refusal.Kind == api.KindOrderInProgress || refusal.Kind == api.KindOrderOutcomeUnknown, "%+v", refusal)
			assert.Equal(t, refusal.Run, api.RunUnknown)
		}
		return refusal.Kind
	}
	eventually(t, "another host runs the order that was only claimed", func() bool {
		assert.Assert(t, retry(unfencedCall, unfenced) != "")
		assert.Assert(t, retry(fencedCall, sending) != "")
		return retry(fencedCall, fenced) == ""
	})
	assert.Equal(t, counter(t, other, "order_takeovers"), int64(1))
	assert.Equal(t, retry(fencedCall, fenced), api.Kind(""))
	eventually(t, "the blocked orders are older than the longest deadline", func() bool {
		first, second := retry(unfencedCall, unfenced), retry(fencedCall, sending)
		assert.Assert(t, first != "" && second != "", "a blocked order succeeded")
		return first == api.KindOrderOutcomeUnknown && second == api.KindOrderOutcomeUnknown
	})
	assert.Equal(t, runsByKey(t, s, "bookings")[unfenced], 0)
	ran := runsByKey(t, s, "sms-notify")
	assert.Equal(t, ran[fenced], 1)
	assert.Assert(t, ran[sending] <= 1)
}

// TestOrderDuringStoreOutage guards against an order that is sent, or gets a response
// other than "not run", while the key-value service is down, and against one that can't be
// placed after it recovers.
func TestOrderDuringStoreOutage(t *testing.T) {
	s := startOrders(t, 2, 30*time.Second)
	injectStoreOutage(t, s)
	groups := map[string]string{"sms-notify": fencedCall, "bookings": unfencedCall}
	for group, call := range groups {
		key := newIdempotencyKey(t)
		for _, host := range s.Hosts {
			refusal, err := callService(host, call, key)
			assert.NilError(t, err)
			assert.Equal(t, refusal.Kind, api.KindOrderStoreUnavailable)
			assert.Equal(t, refusal.Run, api.RunNo)
		}
		assert.Equal(t, len(fetchRuns(t, s, group)), 0)
	}
	assert.NilError(t, fleet.Clear(s.KeyValueControlAddress, s.KeyValueAddress))
	for group, call := range groups {
		key := newIdempotencyKey(t)
		eventually(t, "orders run again", func() bool {
			refusal, err := callService(s.Hosts[0], call, key)
			assert.NilError(t, err)
			return refusal.Kind == ""
		})
		assert.Equal(t, runsByKey(t, s, group)[key], 1)
		assert.Equal(t, len(fetchRuns(t, s, group)), 1)
	}
}
