package order

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"redwingloft/internal/data/store"
	"redwingloft/internal/plugin/memory"
	"redwingloft/pkg/api"
)

// slowStore is a store that answers each transaction after the usual latency of the service.
type slowStore struct {
	store.Store
	txns atomic.Int64
}

func (s *slowStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	s.txns.Add(1)
	time.Sleep(3 * time.Millisecond)
	return s.Store.Txn(ctx, txn)
}

// BenchmarkOrders measures orders per second and transactions per order (claims and outcomes
// together) by the number of concurrent orders on one host.
func BenchmarkOrders(b *testing.B) {
	for _, interval := range []time.Duration{0, 25 * time.Millisecond} {
		for _, callers := range []int{1, 16, 128, 1024} {
			b.Run(fmt.Sprintf("interval=%s/callers=%d", interval, callers), func(b *testing.B) {
				benchmarkCalls(b, 1, callers, interval, false)
			})
		}
	}
}

// BenchmarkHosts measures transactions per order for 128 concurrent orders, spread over a
// number of hosts that write directly or through one aggregator.
func BenchmarkHosts(b *testing.B) {
	for _, hosts := range []int{1, 8, 64} {
		for _, forwards := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/aggregator=%t", hosts, forwards), func(b *testing.B) {
				benchmarkCalls(b, hosts, 128, 25*time.Millisecond, forwards)
			})
		}
	}
}

// benchmarkCalls executes b.N orders from a number of callers that are spread over hosts.
func benchmarkCalls(b *testing.B, hosts, callers int, interval time.Duration, aggregate bool) {
	kv := &slowStore{Store: memory.New()}
	coordinators := make([]*Coordinator, hosts)
	for i := range coordinators {
		coordinators[i] = &Coordinator{Store: kv, Host: api.HostID(fmt.Sprint(i)), Send: newFakeUpstream().send, Interval: interval}
		if aggregate && i > 0 {
			coordinators[i].Forward = coordinators[0].Claim
		}
	}
	var next atomic.Int64
	b.SetParallelism(callers) // equals the number of goroutines with -cpu 1
	b.RunParallel(func(pb *testing.PB) {
		coord := coordinators[int(next.Add(1))%hosts]
		for pb.Next() {
			if _, err := coord.Call(context.Background(), newOrder()); err != nil {
				b.Error(err)
			}
		}
	})
	txns := float64(kv.txns.Load())
	b.ReportMetric(txns/float64(b.N), "txns/order")
	b.ReportMetric(txns/b.Elapsed().Seconds(), "txns/s")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "orders/s")
}
