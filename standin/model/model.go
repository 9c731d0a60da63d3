// Package model is a stand-in of a group of engines in virtual time. It compares
// routing policies on many requests within a second of real time.
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

// The sizes of the model.
const (
	hosts    = 6
	workers  = 32
	slots    = 8
	sessions = 600
	requests = 20_000
	// cacheSize is the number of sessions whose prompt an engine keeps.
	cacheSize = 30
	// A prompt has minBlocks to maxBlocks blocks of blockBytes.
	minBlocks  = 4
	maxBlocks  = 64
	blockBytes = 256
)

// The times of a request.
const (
	decodeTime = 300 * time.Millisecond
	// tokenTime is for each uncached prompt token.
	tokenTime = 100 * time.Microsecond
)

const group = api.GroupName("engines")

// Options describe a run.
type Options struct {
	// Seed makes a run repeatable.
	Seed uint64
	// Load is the offered share of the capacity without cache hits.
	Load float64
	// RoundRobin replaces the router by plain round robin on each host.
	RoundRobin bool
	// SlowFactor stretches the times of one engine; 0 means that none is slow.
	SlowFactor int
}

// Result is the outcome of a run.
type Result struct {
	// Cached is the share of prompt tokens that engines had cached.
	Cached float64
	// Peak is the mean load of the busiest engine at each arrival, as a share of its slots.
	Peak float64
	// Waited is the share of requests that found no free slot.
	Waited float64
	// Slow is the share of requests on the slow engine.
	Slow float64
	// P95 is of the time to the whole answer.
	P95 time.Duration
}

// engine is the true state of one instance.
type engine struct {
	running int
	queue   []*job
	cache   *list.List
	slow    int
}

// job is one request of a session.
type job struct {
	session, host, engine int
	arrived, ends         time.Duration
	expected              int
	cached                bool
}

// jobs orders running jobs by their end.
type jobs []*job

func (q jobs) Len() int           { return len(q) }
func (q jobs) Less(i, j int) bool { return q[i].ends < q[j].ends }
func (q jobs) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends a job.
func (q *jobs) Push(x any) { *q = append(*q, x.(*job)) }

// Pop removes the last job.
func (q *jobs) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// host is one entry host with tables of its own.
type host struct {
	instances []*upstream.Instance
	router    *route.Router
	// turn is the position of round robin.
	turn int
}

// model runs hosts in front of the same engines.
type model struct {
	options  Options
	random   *rand.Rand
	now      time.Duration
	hosts    [hosts]host
	engines  [workers]engine
	sessions []route.HashChain
	running  jobs

	times              []time.Duration
	cached, prompt     float64
	peak, waited, slow float64
}

// Run runs the model to the end of its last request.
func Run(options Options) Result {
	m := newModel(options)
	mean := decodeTime + tokenTime*time.Duration(m.promptTokens()/sessions)
	gap := float64(mean) / (workers * slots * options.Load)
	for range requests {
		m.advance(m.now + time.Duration(m.random.ExpFloat64()*gap))
		m.arrive(m.random.IntN(sessions))
	}
	m.advance(math.MaxInt64)
	slices.Sort(m.times)
	return Result{
		Cached: m.cached / m.prompt, Peak: m.peak / requests, Waited: m.waited / requests,
		Slow: m.slow / requests, P95: m.times[len(m.times)*95/100],
	}
}

func newModel(options Options) *model {
	m := &model{options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed))}
	start := time.Unix(1_700_000_000, 0)
	for i := range m.hosts {
		m.hosts[i] = host{
			instances: newInstances(), turn: m.random.IntN(workers),
			router: &route.Router{
				Random: m.random.IntN, Prefixes: route.NewPrefixTable(0),
				Clock: func() time.Time { return start.Add(m.now) },
			},
		}
	}
	for i := range m.engines {
		m.engines[i] = engine{cache: list.New(), slow: 1}
	}
	m.engines[0].slow = max(1, options.SlowFactor)
	for i := range sessions {
		text := make([]byte, (minBlocks+m.random.IntN(maxBlocks-minBlocks+1))*blockBytes)
		text[0], text[1] = byte(i), byte(i>>8)
		m.sessions = append(m.sessions, route.HashPrompt(group, "model", string(text)))
	}
	return m
}

func newInstances() []*upstream.Instance {
	declared := &document.Group{Name: group}
	for i := range workers {
		declared.Upstreams = append(declared.Upstreams, document.Upstream{
			ID: api.UpstreamID(fmt.Sprintf("engine-%d", i)), Address: api.Address(fmt.Sprintf("127.0.0.1:%d", i+1)), Slots: slots,
		})
	}
	table := &upstream.Table{}
	table.Apply(&document.Snapshot{Groups: map[api.GroupName]*document.Group{group: declared}})
	return table.AvailableInstances(group)
}

func (m *model) promptTokens() int {
	total := 0
	for _, chain := range m.sessions {
		total += chain.Tokens
	}
	return total
}

// arrive routes a request; each session stays with one host, as callers do.
func (m *model) arrive(session int) {
	j := &job{session: session, host: session % hosts, arrived: m.now}
	instance := m.pick(j)
	instance.Begin()
	j.engine = slices.Index(m.hosts[j.host].instances, instance)
	e := &m.engines[j.engine]
	if e.running == slots {
		m.waited++
	}
	if j.engine == 0 {
		m.slow++
	}
	e.queue = append(e.queue, j)
	m.fill(e)
	m.observe()
}

func (m *model) pick(j *job) *upstream.Instance {
	h, chain := &m.hosts[j.host], m.sessions[j.session]
	if m.options.RoundRobin {
		h.turn = (h.turn + 1) % workers
		return h.instances[h.turn]
	}
	weights := document.Weights{Attainment: 0.6, Cost: 0.4}
	instance := h.router.Pick(h.instances, route.Query{Prefix: chain, Weights: weights})
	j.expected = h.router.Prefixes.RecordRoute(instance, chain)
	return instance
}

// fill starts queued jobs while slots are free.
func (m *model) fill(e *engine) {
	for e.running < slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		tokens := m.sessions[j.session].Tokens
		m.prompt += float64(tokens)
		duration := decodeTime
		if j.cached = e.use(j.session); j.cached {
			m.cached += float64(tokens)
		} else {
			duration += tokenTime * time.Duration(tokens)
		}
		j.ends = m.now + duration*time.Duration(e.slow)
		heap.Push(&m.running, j)
	}
}

// use reports whether the engine has the prompt of a session, and keeps it.
func (e *engine) use(session int) bool {
	for kept := e.cache.Front(); kept != nil; kept = kept.Next() {
		if kept.Value == session {
			e.cache.MoveToFront(kept)
			return true
		}
	}
	e.cache.PushFront(session)
	if e.cache.Len() > cacheSize {
		e.cache.Remove(e.cache.Back())
	}
	return false
}

// advance ends jobs until a time.
func (m *model) advance(until time.Duration) {
	for len(m.running) > 0 && m.running[0].ends <= until {
		j := heap.Pop(&m.running).(*job)
		m.now = j.ends
		e := &m.engines[j.engine]
		e.running--
		m.finish(j, float64(e.running+len(e.queue))/slots)
		m.fill(e)
	}
	m.now = until
}

// finish tells the host what the answer shows.
func (m *model) finish(j *job, utilization float64) {
	h, chain := &m.hosts[j.host], m.sessions[j.session]
	instance := h.instances[j.engine]
	instance.End()
	instance.RecordLoad(utilization, h.router.Clock())
	cached := 0
	if j.cached {
		cached = chain.Tokens
	}
	h.router.Prefixes.RecordResponse(instance, chain, j.expected, chain.Tokens, cached)
	m.times = append(m.times, m.now-j.arrived)
}

// observe adds the load of the busiest engine.
func (m *model) observe() {
	busiest := 0
	for i := range m.engines {
		busiest = max(busiest, m.engines[i].running+len(m.engines[i].queue))
	}
	m.peak += float64(busiest) / slots
}
