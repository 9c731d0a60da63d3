// Package outlier detects failing upstreams from the outcomes that all hosts observe.
// With many hosts, each host sends an upstream a request only every few seconds and would
// detect its failures late.
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
	// Path is the URL path of the exchange between hosts.
	Path = "/v1/outliers"
	// ExchangeInterval is the interval between exchanges of a host with the collecting host.
	ExchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 400 * time.Millisecond
	// decayTime is the time constant of the exponential decay of outcomes.
	decayTime = 3 * time.Second
	// minFailures is the decayed number of failures from which an upstream is reported. A
	// single lost response is not significant.
	minFailures = 1.5
	// minFailureRate is the failure rate from which an upstream is reported. Some services
	// fail one request in seven in normal operation.
	minFailureRate = 0.3
	// collectorGroup is the key by which hosts are ranked to elect the collecting host.
	collectorGroup stage.Group = "outliers"
)

// Message holds the outcomes that a host observed since its last exchange.
type Message struct {
	Observations []forward.Observation `json:"seen"`
}

// Reply holds the failure rates of the failing upstreams.
type Reply struct {
	Rates []forward.Rate `json:"rates"`
}

// Collector aggregates the outcomes that hosts observe. The zero value is ready to use.
type Collector struct {
	mu     sync.Mutex
	counts map[fleet.Incarnation]*outcomeCounts
}

type outcomeCounts struct {
	ok, failed float64
	at         time.Time
}

func (c *outcomeCounts) decay(now time.Time) {
	factor := math.Exp(-now.Sub(c.at).Seconds() / decayTime.Seconds())
	c.ok, c.failed, c.at = c.ok*factor, c.failed*factor, now
}

// Exchange adds the outcomes of a host and returns the failing upstreams.
func (c *Collector) Exchange(message *Message, now time.Time) *Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[fleet.Incarnation]*outcomeCounts{}
	}
	for _, observation := range message.Observations {
		counted := c.counts[observation.Incarnation]
		if counted == nil {
			counted = &outcomeCounts{at: now}
			c.counts[observation.Incarnation] = counted
		}
		counted.decay(now)
		counted.ok += float64(observation.OK)
		counted.failed += float64(observation.Failed)
	}
	reply := &Reply{}
	for incarnation, counted := range c.counts {
		counted.decay(now)
		total := counted.ok + counted.failed
		if total < 0.01 {
			delete(c.counts, incarnation)
			continue
		}
		if rate := counted.failed / total; counted.failed >= minFailures && rate >= minFailureRate {
			reply.Rates = append(reply.Rates, forward.Rate{Incarnation: incarnation, FailureRate: rate})
		}
	}
	return reply
}

// Exchanger reports the outcomes of this host to the collecting host and applies the
// failure rates it returns. Set the exported fields before use.
type Exchanger struct {
	Self      api.HostID
	View      func() *directory.View
	HTTP      *http.Client
	Health    *forward.HealthTable
	Collector *Collector
	Log       *log.Logger
	Metrics   *metric.Set
	// failing is the number of failing upstreams in the last reply.
	failing int
}

// Run makes one exchange. It does nothing if there are no new outcomes.
func (e *Exchanger) Run(time.Time) {
	message := &Message{Observations: e.Health.Observations()}
	if len(message.Observations) == 0 {
		return
	}
	hosts := stage.RankHosts(e.View().Hosts, collectorGroup)
	now := clock.Now()
	if len(hosts) == 0 || hosts[0].ID == e.Self {
		e.apply(e.Collector.Exchange(message, now), now)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var reply Reply
	if err := peer.Post(ctx, e.HTTP, hosts[0].PeerAddress, Path, message, &reply); err != nil {
		e.Metrics.Counter("outlier.exchange_failures").Inc(1)
		e.Log.Debug().Str("peer", string(hosts[0].ID)).Err(err).Msg("outlier_exchange_failed")
		return
	}
	e.apply(&reply, now)
}

func (e *Exchanger) apply(reply *Reply, now time.Time) {
	e.Health.SetSharedRates(reply.Rates, now)
	if len(reply.Rates) != e.failing {
		entry := e.Log.Info().Int("upstreams", len(reply.Rates)).Int("before", e.failing)
		if len(reply.Rates) > 0 {
			entry = entry.Str("first", string(reply.Rates[0].ID)).Float64("failures", reply.Rates[0].FailureRate)
		}
		entry.Msg("outliers_changed")
	}
	e.failing = len(reply.Rates)
}
