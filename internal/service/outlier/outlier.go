// Package outlier finds upstreams that fail more than others from what all hosts see.
// A host of a large fleet sends an upstream a request every few seconds and would learn
// of its failures one request at a time.
package outlier

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/peer"
	"redwingloft/internal/service/stage"
	"redwingloft/pkg/api"
)

const (
	// Path is the path of the call between hosts.
	Path = "/v1/outliers"
	// Period spaces the exchanges of a host with the collecting one.
	Period = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// memory is the time over which outcomes count.
	memory = 3 * time.Second
	// minFailures is the weight of failures from which an upstream is reported: one lost
	// answer tells little.
	minFailures = 1.5
	// minRate is the share of failures from which an upstream is reported. Some services
	// fail one request in seven by themselves.
	minRate = 0.3
	// collector names the collecting host in the ranking of hosts.
	collector stage.Group = "outliers"
)

// Message holds what a host saw since its last exchange.
type Message struct {
	Seen []forward.Observation `json:"seen"`
}

// Reply holds the upstreams that fail.
type Reply struct {
	Rates []forward.Rate `json:"rates"`
}

// Collector adds up what hosts see. The zero value works.
type Collector struct {
	mu     sync.Mutex
	counts map[fleet.Incarnation]*count
}

type count struct {
	ok, failed float64
	at         time.Time
}

func (c *count) decay(now time.Time) {
	factor := math.Exp(-now.Sub(c.at).Seconds() / memory.Seconds())
	c.ok, c.failed, c.at = c.ok*factor, c.failed*factor, now
}

// Exchange adds what a host saw and returns the upstreams that fail.
func (c *Collector) Exchange(message *Message, now time.Time) *Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[fleet.Incarnation]*count{}
	}
	for _, seen := range message.Seen {
		known := c.counts[seen.Incarnation]
		if known == nil {
			known = &count{at: now}
			c.counts[seen.Incarnation] = known
		}
		known.decay(now)
		known.ok += float64(seen.OK)
		known.failed += float64(seen.Failed)
	}
	reply := &Reply{}
	for incarnation, known := range c.counts {
		known.decay(now)
		total := known.ok + known.failed
		if total < 0.01 {
			delete(c.counts, incarnation)
			continue
		}
		if rate := known.failed / total; known.failed >= minFailures && rate >= minRate {
			reply.Rates = append(reply.Rates, forward.Rate{Incarnation: incarnation, Failures: rate})
		}
	}
	return reply
}

// Exchanger tells the collecting host what this one sees. Set the fields before use.
type Exchanger struct {
	Self      api.HostID
	View      func() *directory.View
	HTTP      *http.Client
	Health    *forward.HealthTable
	Collector *Collector
	Log       *log.Logger
	Metrics   *metric.Set
	// known counts the upstreams that were reported last.
	known int
}

// Run makes one exchange. A host that saw nothing makes none.
func (e *Exchanger) Run(time.Time) {
	message := &Message{Seen: e.Health.Observations()}
	if len(message.Seen) == 0 {
		return
	}
	hosts := stage.Ranked(e.View().Hosts, collector)
	now := clock.Now()
	if len(hosts) == 0 || hosts[0].ID == e.Self {
		e.learn(e.Collector.Exchange(message, now), now)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var reply Reply
	if err := peer.Post(ctx, e.HTTP, hosts[0].Peer, Path, message, &reply); err != nil {
		e.Metrics.Counter("outlier.exchange_failures").Inc(1)
		e.Log.Debug().Str("peer", string(hosts[0].ID)).Err(err).Msg("outlier_exchange_failed")
		return
	}
	e.learn(&reply, now)
}

func (e *Exchanger) learn(reply *Reply, now time.Time) {
	e.Health.Learn(reply.Rates, now)
	if len(reply.Rates) != e.known {
		entry := e.Log.Info().Int("upstreams", len(reply.Rates)).Int("before", e.known)
		if len(reply.Rates) > 0 {
			entry = entry.Str("first", string(reply.Rates[0].ID)).Float64("failures", reply.Rates[0].Failures)
		}
		entry.Msg("outliers_changed")
	}
	e.known = len(reply.Rates)
}
