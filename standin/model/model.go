// Package model simulates a group of engines in virtual time. It compares routing
// policies on many requests within a second of real time.
package model

import (
	"container/heap"
	"container/list"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// The numbers of simulated hosts, engines, sessions and requests, and the sizes of caches and prompts.
const (
	hostCount      = 6
	engineCount    = 32
	slotsPerEngine = 8
	sessionCount   = 600
	requestCount   = 20_000
	// maxCachedPrompts is the number of sessions whose prompt an engine caches.
	maxCachedPrompts = 30
	// A prompt has minBlocks to maxBlocks blocks of blockBytes bytes.
	minBlocks  = 4
	maxBlocks  = 64
	blockBytes = 256
)

// The processing times of a request.
const (
	decodeTime = 300 * time.Millisecond
	// prefillTimePerToken is the time for each uncached prompt token.
	prefillTimePerToken = 100 * time.Microsecond
)

const engineGroupName = api.GroupName("engines")

// Options configure a simulation run.
type Options struct {
	// Seed seeds the random number generator; runs with the same options are identical.
	Seed uint64
	// Load is the offered load as a share of the capacity without cache hits.
	Load float64
	// RoundRobin replaces the router by round robin on each host.
	RoundRobin bool
	// SlowFactor multiplies the processing times of one engine; 0 means that no engine is slow.
	SlowFactor int
}

// Result holds the metrics of a run.
type Result struct {
	// CachedShare is the share of prompt tokens found in the engines' caches.
	CachedShare float64
	// PeakLoad is the mean load of the busiest engine at each arrival, as a share of its slots.
	PeakLoad float64
	// QueuedShare is the share of requests that were queued because no slot was free.
	QueuedShare float64
	// SlowEngineShare is the share of requests routed to the slow engine.
	SlowEngineShare float64
	// P95 is the 95th percentile of the time to the complete response.
	P95 time.Duration
}

// engine is the actual state of one engine, as opposed to what hosts observe of it.
type engine struct {
	running    int
	queue      []*job
	cache      *list.List
	slowFactor int
}

// job is one request of a session.
type job struct {
	session, host, engine int
	arrivedAt, finishAt   time.Duration
	expectedCached        int
	cached                bool
}

// jobHeap is a heap of running jobs, ordered by finish time.
type jobHeap []*job

func (q jobHeap) Len() int           { return len(q) }
func (q jobHeap) Less(i, j int) bool { return q[i].finishAt < q[j].finishAt }
func (q jobHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *jobHeap) Push(x any) { *q = append(*q, x.(*job)) }

// Pop implements heap.Interface.
func (q *jobHeap) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// host is one entry host with its own instance and prefix tables.
type host struct {
	instances []*upstream.Instance
	router    *route.Router
	// roundRobinIndex is the index of the instance that round robin picked last.
	roundRobinIndex int
}

// model simulates hosts that share the same engines.
type model struct {
	options  Options
	random   *rand.Rand
	now      time.Duration
	hosts    [hostCount]host
	engines  [engineCount]engine
	sessions []route.HashChain
	running  jobHeap

	latencies                                 []time.Duration
	cachedTokens, promptTokens                float64
	peakLoadSum, waitedRequests, slowRequests float64
}

// Run simulates all requests until the last one has finished.
func Run(options Options) Result {
	m := newModel(options)
	meanServiceTime := decodeTime + prefillTimePerToken*time.Duration(m.totalPromptTokens()/sessionCount)
	meanInterarrival := float64(meanServiceTime) / (engineCount * slotsPerEngine * options.Load)
	for range requestCount {
		m.advance(m.now + time.Duration(m.random.ExpFloat64()*meanInterarrival))
		m.arrive(m.random.IntN(sessionCount))
	}
	m.advance(math.MaxInt64)
	slices.Sort(m.latencies)
	return Result{
		CachedShare: m.cachedTokens / m.promptTokens, PeakLoad: m.peakLoadSum / requestCount, QueuedShare: m.waitedRequests / requestCount,
		SlowEngineShare: m.slowRequests / requestCount, P95: m.latencies[len(m.latencies)*95/100],
	}
}

func newModel(options Options) *model {
	m := &model{options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
	start := time.Unix(1_700_000_000, 0)
	for i := range m.hosts {
		m.hosts[i] = host{
			instances: newInstances(), roundRobinIndex: m.random.IntN(engineCount),
			router: &route.Router{
				Random: m.random.IntN, Prefixes: route.NewPrefixTable(0),
				Clock: func() time.Time { return start.Add(m.now) },
			},
		}
	}
	for i := range m.engines {
		m.engines[i] = engine{cache: list.New(), slowFactor: 1}
	}
	m.engines[0].slowFactor = max(1, options.SlowFactor)
	for i := range sessionCount {
		prompt := make([]byte, (minBlocks+m.random.IntN(maxBlocks-minBlocks+1))*blockBytes)
		prompt[0], prompt[1] = byte(i), byte(i>>8)
		m.sessions = append(m.sessions, route.HashPrompt(engineGroupName, "model", string(prompt)))
	}
	return m
}

func newInstances() []*upstream.Instance {
	engineGroup := &document.Group{Name: engineGroupName}
	for i := range engineCount {
		engineGroup.Upstreams = append(engineGroup.Upstreams, document.Upstream{
			ID: api.UpstreamID(fmt.Sprintf("engine-%d", i)), Address: api.Address(fmt.Sprintf("127.0.0.1:%d", i+1)), Slots: slotsPerEngine,
		})
	}
	table := &upstream.Table{}
	table.Apply(&document.Snapshot{Groups: map[api.GroupName]*document.Group{engineGroupName: engineGroup}})
	return table.AvailableInstances(engineGroupName)
}

func (m *model) totalPromptTokens() int {
	total := 0
	for _, chain := range m.sessions {
		total += chain.Tokens
	}
	return total
}

// arrive routes a request of a session. Each session uses a single host, as callers do.
func (m *model) arrive(session int) {
	j := &job{session: session, host: session % hostCount, arrivedAt: m.now}
	instance := m.pick(j)
	instance.Begin()
	j.engine = slices.Index(m.hosts[j.host].instances, instance)
	e := &m.engines[j.engine]
	if e.running == slotsPerEngine {
		m.waitedRequests++
	}
	if j.engine == 0 {
		m.slowRequests++
	}
	e.queue = append(e.queue, j)
	m.startQueued(e)
	m.recordPeakLoad()
}

func (m *model) pick(j *job) *upstream.Instance {
	h, chain := &m.hosts[j.host], m.sessions[j.session]
	if m.options.RoundRobin {
		h.roundRobinIndex = (h.roundRobinIndex + 1) % engineCount
		return h.instances[h.roundRobinIndex]
	}
	weights := document.Weights{Attainment: 0.6, Cost: 0.4}
	instance := h.router.Pick(h.instances, route.Query{Prefix: chain, Weights: weights})
	j.expectedCached = h.router.Prefixes.RecordRoute(instance, chain)
	return instance
}

// startQueued starts queued jobs while the engine has free slots.
func (m *model) startQueued(e *engine) {
	for e.running < slotsPerEngine && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		tokens := m.sessions[j.session].Tokens
		m.promptTokens += float64(tokens)
		duration := decodeTime
		if j.cached = e.accessCache(j.session); j.cached {
			m.cachedTokens += float64(tokens)
		} else {
			duration += prefillTimePerToken * time.Duration(tokens)
		}
		j.finishAt = m.now + duration*time.Duration(e.slowFactor)
		heap.Push(&m.running, j)
	}
}

// accessCache reports whether the prompt of a session is cached, and makes it the most recently used entry.
func (e *engine) accessCache(session int) bool {
	for entry := e.cache.Front(); entry != nil; entry = entry.Next() {
		if entry.Value == session {
			e.cache.MoveToFront(entry)
			return true
		}
	}
	e.cache.PushFront(session)
	if e.cache.Len() > maxCachedPrompts {
		e.cache.Remove(e.cache.Back())
	}
	return false
}

// advance moves the virtual clock forward and finishes the jobs that end until then.
func (m *model) advance(until time.Duration) {
	for len(m.running) > 0 && m.running[0].finishAt <= until {
		j := heap.Pop(&m.running).(*job)
		m.now = j.finishAt
		e := &m.engines[j.engine]
		e.running--
		m.finish(j, float64(e.running+len(e.queue))/slotsPerEngine)
		m.startQueued(e)
	}
	m.now = until
}

// finish records on the host what it observes in the response.
func (m *model) finish(j *job, utilization float64) {
	h, chain := &m.hosts[j.host], m.sessions[j.session]
	instance := h.instances[j.engine]
	instance.End()
	instance.RecordLoad(utilization, h.router.Clock())
	cached := 0
	if j.cached {
		cached = chain.Tokens
	}
	h.router.Prefixes.RecordResponse(instance, chain, j.expectedCached, chain.Tokens, cached)
	m.latencies = append(m.latencies, m.now-j.arrivedAt)
}

// recordPeakLoad adds the load of the busiest engine to peakLoadSum.
func (m *model) recordPeakLoad() {
	busiest := 0
	for i := range m.engines {
		busiest = max(busiest, m.engines[i].running+len(m.engines[i].queue))
	}
	m.peakLoadSum += float64(busiest) / slotsPerEngine
}
