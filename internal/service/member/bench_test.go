package member

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
)

// newRegisteredCluster registers count voters in nine data centres and lets each of them read the list.
func newRegisteredCluster(b *testing.B, count int) *cluster {
	c := emptyCluster()
	c.commit(true)
	documents := map[api.DataCentre]*Document{}
	for i := range count {
		n := c.addHost()
		n.Self.Host = api.HostID(fmt.Sprintf("host-%08x", i*2654435761%(1<<32)))
		n.Self.Caller = api.Address(fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250))
		n.Self.Peer = api.Address(fmt.Sprintf("10.1.%d.%d:8081", i/250, i%250))
		n.Self.DataCentre = api.DataCentre(fmt.Sprintf("region-%d", i%9))
		n.Self.Voter, n.ManifestHosts = true, nil
		n.storeReads, n.list, n.states = storeReads{}, nil, nil
		if documents[n.Self.DataCentre] == nil {
			documents[n.Self.DataCentre] = &Document{}
		}
		documents[n.Self.DataCentre].Members = append(documents[n.Self.DataCentre].Members, n.Self)
	}
	txn := store.Txn{Deletes: []string{c.keys.Members("dc")}}
	for centre, doc := range documents {
		value, err := json.Marshal(doc)
		assert.NilError(b, err)
		txn.Puts = append(txn.Puts, store.Put{Key: c.keys.Members(centre), Value: value})
	}
	_, err := c.kv.Txn(context.Background(), txn)
	assert.NilError(b, err)
	for _, n := range c.hosts {
		assert.NilError(b, n.readAll(context.Background()))
		n.waitForFetch()
	}
	for range 30 {
		c.step(500 * time.Millisecond)
	}
	return c
}

// BenchmarkExchange measures one exchange including its encoding, without HTTP: the time of
// both hosts together and the encoded bytes of both directions.
func BenchmarkExchange(b *testing.B) {
	for _, count := range []int{7, 50, 350} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newRegisteredCluster(b, count)
			from, to := c.hosts[0], c.hosts[1]
			total := 0
			from.Send = func(_ context.Context, _ api.Address, message Message) (Message, error) {
				request, received := encodeAndDecode(b, message)
				answer, returned := encodeAndDecode(b, to.Receive(received))
				total = request + answer
				return returned, nil
			}
			b.ReportAllocs()
			for b.Loop() {
				assert.NilError(b, from.Exchange(context.Background(), to.Self.Peer))
			}
			b.ReportMetric(float64(total), "bytes/op")
		})
	}
}

func encodeAndDecode(b *testing.B, message Message) (int, Message) {
	encoded, err := json.Marshal(message)
	assert.NilError(b, err)
	var decoded Message
	assert.NilError(b, json.Unmarshal(encoded, &decoded))
	return len(encoded), decoded
}

// BenchmarkFreshness measures freshness while the store is available, and half a minute into
// an outage, when it depends on majority contact alone: the share of fresh hosts and the
// age of the evidence, for several exchange intervals and freshness times.
func BenchmarkFreshness(b *testing.B) {
	for _, storeDown := range []bool{false, true} {
		for _, period := range []struct{ interval, freshness time.Duration }{
			{500 * time.Millisecond, 3 * time.Second}, {time.Second, 3 * time.Second}, {time.Second, 5 * time.Second}, {1500 * time.Millisecond, 6 * time.Second},
		} {
			for _, count := range []int{7, 50, 350} {
				b.Run(fmt.Sprintf("down=%t/interval=%s/freshness=%s/%d", storeDown, period.interval, period.freshness, count), func(b *testing.B) {
					c := newRegisteredCluster(b, count)
					for _, n := range c.hosts {
						n.Freshness = period.freshness
					}
					c.run(5 * time.Second)
					c.storeDown = storeDown
					for b.Loop() {
						for passed := time.Duration(0); passed < 30*time.Second; passed += period.interval {
							c.step(period.interval)
						}
					}
					reportFreshness(b, c)
				})
			}
		}
	}
}

func reportFreshness(b *testing.B, c *cluster) {
	fresh, ages := 0, make([]time.Duration, 0, len(c.hosts))
	for _, n := range c.hosts {
		if n.isFresh() {
			fresh++
		}
		ages = append(ages, n.now()-n.currentEvidence.at)
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	b.ReportMetric(float64(fresh)/float64(len(ages)), "fresh/host")
	b.ReportMetric(float64(ages[len(ages)/2].Milliseconds()), "p50_age_ms")
	b.ReportMetric(float64(ages[len(ages)-1].Milliseconds()), "max_age_ms")
}

// BenchmarkAddresses measures the creation of an address list.
func BenchmarkAddresses(b *testing.B) {
	for _, count := range []int{7, 50, 350} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newRegisteredCluster(b, count)
			b.ReportAllocs()
			for b.Loop() {
				c.hosts[0].Addresses("region-3")
			}
		})
	}
}

// BenchmarkGate measures the start of a request that is not held, with the system clock.
func BenchmarkGate(b *testing.B) {
	c := newRegisteredCluster(b, 7)
	host := c.hosts[0]
	host.Timer.Clock = nil
	host.clockStart.Store(nil)
	host.now()
	host.freshUntil.Store(int64(2 * time.Hour))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if wait, err := host.Gate("w", "p", 1); wait != nil || err != nil {
				b.Fatal("not started")
			}
		}
	})
}

// BenchmarkHome measures the selection of the home host of a key.
func BenchmarkHome(b *testing.B) {
	c := newRegisteredCluster(b, 350)
	b.ReportAllocs()
	for b.Loop() {
		c.hosts[0].Home("port-of-spain")
	}
}

// BenchmarkCheck measures the periodic check, which runs 20 times a second.
func BenchmarkCheck(b *testing.B) {
	for _, count := range []int{7, 50, 350} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c := newRegisteredCluster(b, count)
			b.ReportAllocs()
			for b.Loop() {
				c.hosts[0].Check()
			}
		})
	}
}

// BenchmarkAnnounce measures the number of rounds until all hosts know that one is draining.
func BenchmarkAnnounce(b *testing.B) {
	c := newRegisteredCluster(b, 350)
	most := 0
	for i := 0; b.Loop(); i++ {
		leaving := c.hosts[i%len(c.hosts)]
		leaving.draining.Store(true)
		rounds := 0
		for ; !c.allKnowDrain(leaving); rounds++ {
			c.step(500 * time.Millisecond)
		}
		most = max(most, rounds)
	}
	b.ReportMetric(float64(most), "most_rounds")
}

func (c *cluster) allKnowDrain(leaving *node) bool {
	for _, n := range c.hosts {
		if n != leaving && !n.drainingHosts[leaving.Self.Host] {
			return false
		}
	}
	return true
}
