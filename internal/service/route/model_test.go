package route

import (
	"container/heap"
	"container/list"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/service/upstream"
)

// The sizes of the model.
const (
	modelHosts    = 6
	modelWorkers  = 32
	modelSlots    = 8
	modelSessions = 600
	modelRequests = 20_000
	// modelCache is the number of sessions whose prompt a worker keeps.
	modelCache = 30
	// The times of a request on an idle worker.
	modelDecode  = 300 * time.Millisecond
	modelPrefill = 100 * time.Microsecond // for each uncached token
)

// worker is the true state of one instance.
type worker struct {
	running int
	queue   []*job
	cache   *list.List
}

// job is one request of a session.
type job struct {
	session, host, worker int
	arrived, ends         time.Duration
	expected              int
	cached                bool
}

// jobs orders running jobs by their end.
type jobs []*job

func (q jobs) Len() int           { return len(q) }
func (q jobs) Less(i, j int) bool { return q[i].ends < q[j].ends }
func (q jobs) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *jobs) Push(x any)        { *q = append(*q, x.(*job)) }
func (q *jobs) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// model runs hosts with tables of their own in front of the same workers, in virtual time.
type model struct {
	random  *rand.Rand
	now     time.Duration
	hosts   [modelHosts][]*upstream.Instance
	routers [modelHosts]*Router
	turn    [modelHosts]int
	// robin chooses round robin in place of the router.
	robin    bool
	workers  [modelWorkers]worker
	sessions []Chain
	running  jobs

	times  []float64
	cached float64
	prompt float64
	// peak sums the slots that the busiest worker needs at each arrival, as a share of its slots.
	peak   float64
	waited float64
}

func newModel(robin bool) *model {
	m := &model{random: rand.New(rand.NewPCG(7, 7)), robin: robin}
	start := time.Unix(1_700_000_000, 0)
	for h := range m.hosts {
		m.hosts[h] = newTable(modelWorkers).Group("llm")
		m.turn[h] = m.random.IntN(modelWorkers)
		m.routers[h] = &Router{Random: m.random.IntN, Prefixes: NewPrefixes(0), Clock: func() time.Time { return start.Add(m.now) }}
	}
	for w := range m.workers {
		m.workers[w].cache = list.New()
	}
	for s := range modelSessions {
		text := make([]byte, (4+m.random.IntN(60))*blockBytes)
		text[0], text[1] = byte(s), byte(s>>8)
		m.sessions = append(m.sessions, Prefix("llm", "m", string(text)))
	}
	return m
}

// run offers a share of the capacity that the workers have without cache hits.
func (m *model) run(load float64) {
	mean := modelDecode + modelPrefill*time.Duration(34*blockTokens)
	gap := float64(mean) / (modelWorkers * modelSlots * load)
	for range modelRequests {
		m.advance(m.now + time.Duration(m.random.ExpFloat64()*gap))
		m.arrive(m.random.IntN(modelSessions))
	}
	m.advance(math.MaxInt64)
}

// arrive routes a request; each session stays with one host, as callers do.
func (m *model) arrive(session int) {
	j := &job{session: session, host: session % modelHosts, arrived: m.now}
	instances, router, chain := m.hosts[j.host], m.routers[j.host], m.sessions[session]
	var instance *upstream.Instance
	if m.robin {
		m.turn[j.host] = (m.turn[j.host] + 1) % modelWorkers
		instance = instances[m.turn[j.host]]
	} else {
		instance = router.Pick(instances, Query{Prefix: chain, Weights: document.Weights{Attainment: 0.6, Cost: 0.4}})
		j.expected = router.Prefixes.Routed(instance, chain)
	}
	instance.Begin()
	j.worker = slices.Index(instances, instance)
	m.workers[j.worker].queue = append(m.workers[j.worker].queue, j)
	if m.workers[j.worker].running == modelSlots {
		m.waited++
	}
	m.fill(j.worker)
	m.observe()
}

// fill starts queued jobs while slots are free.
func (m *model) fill(index int) {
	w := &m.workers[index]
	for w.running < modelSlots && len(w.queue) > 0 {
		j := w.queue[0]
		w.queue = w.queue[1:]
		w.running++
		duration := modelDecode
		tokens := m.sessions[j.session].Tokens
		if j.cached = w.use(j.session); !j.cached {
			duration += modelPrefill * time.Duration(tokens)
		} else {
			m.cached += float64(tokens)
		}
		m.prompt += float64(tokens)
		j.ends = m.now + duration
		heap.Push(&m.running, j)
	}
}

// use reports whether the worker has the prompt of a session, and keeps it.
func (w *worker) use(session int) bool {
	for e := w.cache.Front(); e != nil; e = e.Next() {
		if e.Value == session {
			w.cache.MoveToFront(e)
			return true
		}
	}
	w.cache.PushFront(session)
	if w.cache.Len() > modelCache {
		w.cache.Remove(w.cache.Back())
	}
	return false
}

// advance ends jobs until a time.
func (m *model) advance(until time.Duration) {
	for len(m.running) > 0 && m.running[0].ends <= until {
		j := heap.Pop(&m.running).(*job)
		m.now = j.ends
		w := &m.workers[j.worker]
		w.running--
		m.finish(j, float64(w.running+len(w.queue))/modelSlots)
		m.fill(j.worker)
	}
	m.now = until
}

func (m *model) finish(j *job, utilization float64) {
	instance, chain := m.hosts[j.host][j.worker], m.sessions[j.session]
	instance.End()
	instance.Report(utilization, m.routers[j.host].now())
	cached := 0
	if j.cached {
		cached = chain.Tokens
	}
	m.routers[j.host].Prefixes.Answered(instance, chain, j.expected, chain.Tokens, cached)
	m.times = append(m.times, float64(m.now-j.arrived))
}

// observe adds the load of the busiest worker.
func (m *model) observe() {
	busiest := 0
	for w := range m.workers {
		busiest = max(busiest, m.workers[w].running+len(m.workers[w].queue))
	}
	m.peak += float64(busiest) / modelSlots
}

func (m *model) p95() float64 {
	slices.Sort(m.times)
	return m.times[len(m.times)*95/100] / float64(time.Millisecond)
}

// BenchmarkModel compares the router with plain round robin on the model: the
// share of cached prompt tokens, two measures of herding (the mean load of the
// busiest worker relative to its slots, and the share of requests that wait for
// a slot), and the p95 of the answer time.
func BenchmarkModel(b *testing.B) {
	b.Run("load=0.70", func(b *testing.B) { compare(b, 0.70) })
	b.Run("load=0.95", func(b *testing.B) { compare(b, 0.95) })
}

func compare(b *testing.B, load float64) {
	for b.Loop() {
		routed, robin := newModel(false), newModel(true)
		routed.run(load)
		robin.run(load)
		b.ReportMetric(routed.cached/routed.prompt, "cached")
		b.ReportMetric(robin.cached/robin.prompt, "cached_rr")
		b.ReportMetric(routed.peak/modelRequests, "peak")
		b.ReportMetric(robin.peak/modelRequests, "peak_rr")
		b.ReportMetric(routed.waited/modelRequests, "waited")
		b.ReportMetric(robin.waited/modelRequests, "waited_rr")
		b.ReportMetric(routed.p95(), "p95_ms")
		b.ReportMetric(robin.p95(), "p95_ms_rr")
		b.ReportMetric(routed.p95()/robin.p95(), "p95_ratio")
	}
}
