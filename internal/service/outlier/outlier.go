// Package outlier detects failing upstreams from the outcomes that all hosts observe.
// With many hosts, each host sends an upstream a request only every few seconds and would
// detect its failures late. The exchange also carries the evidence on prompts that crash engines
// and the rate limits that upstreams name.
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
	"redwingloft/internal/service/quarantine"
	"redwingloft/internal/service/stage"
	"redwingloft/internal/service/throttle"
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
	// fallbackTime is how long another host collects after the first one has failed.
	fallbackTime = 3 * time.Second
	// maxFallbacks bounds the hosts that collect one after the other in this time.
	maxFallbacks = 2
)

// Message holds the outcomes that a host observed since its last exchange.
type Message struct {
	Observations []forward.Observation `json:"seen"`
	// Prompts is the evidence on prompts that crash engines; nil if there is none.
	Prompts *quarantine.Report `json:"prompts,omitempty"`
	// Limits holds the rate limits that upstreams named.
	Limits throttle.Report `json:"limits"`
}

// Reply holds the failure rates of the failing upstreams.
type Reply struct {
	Rates []forward.Rate `json:"rates"`
	// Prompts is the verdict on prompts that crash engines.
	Prompts quarantine.Verdict `json:"prompts"`
	// Limits holds the rate limits that upstreams named to other hosts.
	Limits throttle.Update `json:"limits"`
}

// Collector aggregates the outcomes that hosts observe. The zero value is ready to use.
type Collector struct {
	// Prompts finds the prompts that crash engines.
	Prompts quarantine.Collector
	// Limits merges the rate limits of upstreams.
	Limits throttle.Collector

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
	verdict, limits := c.Prompts.Exchange(message.Prompts, now), c.Limits.Exchange(message.Limits, now)
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
	reply := &Reply{Prompts: *verdict, Limits: limits}
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
	Self   api.HostID
	View   func() *directory.View
	HTTP   *http.Client
	Health *forward.HealthTable
	// Prompts holds the evidence of this host on prompts that crash engines.
	Prompts *quarantine.Tracker
	// Throttle holds the rate limits of upstreams.
	Throttle  *throttle.Table
	Collector *Collector
	Log       *log.Logger
	Metrics   *metric.Set
	// failing is the number of failing upstreams in the last reply.
	failing int
	// failedAt is the time of the last failed exchange, and fallbacks the number of hosts that
	// have failed since the first one was last tried.
	failedAt  time.Time
	fallbacks int
}

// Run makes one exchange. Only the collecting host does so if there is nothing to report.
func (e *Exchanger) Run(time.Time) {
	now := clock.Now()
	message := &Message{Observations: e.Health.Observations(), Prompts: e.Prompts.Report(e.Self, now), Limits: e.Throttle.Report(now)}
	collector, found := e.collector(now)
	if !found || collector.ID == e.Self {
		e.apply(message, e.Collector.Exchange(message, now), now)
		return
	}
	if len(message.Observations) == 0 && message.Prompts == nil && len(message.Limits.Statements) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var reply Reply
	if err := peer.Post(ctx, e.HTTP, collector.PeerAddress, Path, message, &reply); err != nil {
		e.failedAt = now
		e.fallbacks = min(e.fallbacks+1, maxFallbacks)
		e.Metrics.Counter("outlier.exchange_failures").Inc(1)
		e.Log.Debug().Str("peer", string(collector.ID)).Err(err).Msg("outlier_exchange_failed")
		return
	}
	e.apply(message, &reply, now)
}

// Collects reports whether this host is the first in rank to collect.
func (e *Exchanger) Collects() bool {
	hosts := stage.RankHosts(e.View().Hosts, collectorGroup)
	return len(hosts) == 0 || hosts[0].ID == e.Self
}

// collector returns the collecting host: the first in rank, or a later one if that failed
// recently. All hosts that can't reach the first one turn to the same next one.
func (e *Exchanger) collector(now time.Time) (fleet.Host, bool) {
	hosts := stage.RankHosts(e.View().Hosts, collectorGroup)
	if len(hosts) == 0 {
		return fleet.Host{}, false
	}
	if now.Sub(e.failedAt) > fallbackTime {
		e.fallbacks = 0
	}
	return hosts[e.fallbacks%len(hosts)], true
}

func (e *Exchanger) apply(message *Message, reply *Reply, now time.Time) {
	e.Health.SetSharedRates(reply.Rates, now)
	e.Throttle.Apply(message.Limits, &reply.Limits, now)
	for _, part := range e.Prompts.Apply(message.Prompts, &reply.Prompts, now) {
		e.Metrics.Counter("quarantine.parts").Inc(1)
		e.Log.Warn().Str("part", part.Part).Int("crashes", part.Crashes).Str("until", part.Until.UTC().Format(time.RFC3339)).Msg("prompt_quarantined")
	}
	if len(reply.Rates) != e.failing {
		entry := e.Log.Info().Int("upstreams", len(reply.Rates)).Int("before", e.failing)
		if len(reply.Rates) > 0 {
			entry = entry.Str("first", string(reply.Rates[0].ID)).Float64("failures", reply.Rates[0].FailureRate)
		}
		entry.Msg("outliers_changed")
	}
	e.failing = len(reply.Rates)
}
