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

// slow is a store that answers each transaction after the usual time of the service.
type slow struct {
	store.Store
	txns atomic.Int64
}

func (s *slow) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	s.txns.Add(1)
	time.Sleep(3 * time.Millisecond)
	return s.Store.Txn(ctx, txn)
}

// BenchmarkOrders measures orders per second and transactions per order, claims
// and outcomes together, by the number of orders under way on one host.
func BenchmarkOrders(b *testing.B) {
	for _, interval := range []time.Duration{0, 25 * time.Millisecond} {
		for _, callers := range []int{1, 16, 128, 1024} {
			b.Run(fmt.Sprintf("interval=%s/callers=%d", interval, callers), func(b *testing.B) {
				place(b, 1, callers, interval, false)
			})
		}
	}
}

// BenchmarkHosts measures transactions per order for 128 orders under way, spread
// over a number of hosts that write directly or through one aggregator.
func BenchmarkHosts(b *testing.B) {
	for _, hosts := range []int{1, 8, 64} {
		for _, forwards := range []bool{false, true} {
			b.Run(fmt.Sprintf("hosts=%d/aggregator=%t", hosts, forwards), func(b *testing.B) {
				place(b, hosts, 128, 25*time.Millisecond, forwards)
			})
		}
	}
}

// place places b.N orders from a number of callers that are spread over hosts.
func place(b *testing.B, hosts, callers int, interval time.Duration, forwards bool) {
	kv := &slow{Store: memory.New()}
	desks := make([]*Desk, hosts)
	for i := range desks {
		desks[i] = &Desk{Store: kv, Host: api.HostID(fmt.Sprint(i)), Send: newUpstream().send, Interval: interval}
		if forwards && i > 0 {
			desks[i].Forward = desks[0].Claim
		}
	}
	var next atomic.Int64
	b.SetParallelism(callers) // with -cpu 1, the number of goroutines
	b.RunParallel(func(pb *testing.PB) {
		d := desks[int(next.Add(1))%hosts]
		for pb.Next() {
			if _, err := d.Call(context.Background(), newOrder()); err != nil {
				b.Error(err)
			}
		}
	})
	txns := float64(kv.txns.Load())
	b.ReportMetric(txns/float64(b.N), "txns/order")
	b.ReportMetric(txns/b.Elapsed().Seconds(), "txns/s")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "orders/s")
}
