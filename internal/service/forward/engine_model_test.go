package forward

import (
	"bufio"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/hashing"
	"redwingloft/internal/service/prefix"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// promptKind is a kind of generation: its rate per second, the tokens of its two shared parts and of its
// own, how many of the shared parts there are, its output tokens and its target for the first event.
type promptKind struct {
	rate                   float64
	first, second, own     int
	firsts, sessions, outs int
	target                 time.Duration
	// stages is the time of the stages before the engine is chosen, of which the target counts.
	stages time.Duration
}

// cacheModel is a model in virtual time of hosts that send generations to engines. An engine reads one
// prompt after the other, runs a bounded number of requests, and keeps parts of prompts in the memory
// that running requests leave, the least recently used of which it evicts.
type cacheModel struct {
	hosts, engines, slots, cache int
	// perSecond is the number of prompt tokens that an engine reads, and step the time per output token.
	perSecond float64
	step      time.Duration
	remote    time.Duration
	kinds     []promptKind
	// burst is the factor of the first kind from 10 to 18 s, and hot the share of it that is about one
	// session from 10 to 15 s.
	burst, hot float64
	// restart is true if a third of the engines leave at 10 s and are back empty at 14 s.
	restart bool
	// unshared is true if no two drafts of the burst share a part.
	unshared bool
	// nearby is true if the hosts' own data centre counts as that of the inputs.
	nearby bool
	length time.Duration
	choose func(h *cacheHost, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice
}

// cacheHost is a host of the model.
type cacheHost struct {
	index int
	table HealthTable
	parts prefix.Table
	hosts int
	// sends holds when the host last sent a part to an engine.
	sends map[string]time.Time
}

// keptPart is a part that an engine keeps; it is in use by running requests.
type keptPart struct {
	tokens, running int
	used            time.Duration
}

type cacheEngine struct {
	*fleet.Upstream
	kept             map[string]*keptPart
	tokens, running  int
	reading          bool
	waiting          []*cacheRequest
	left, generation int
}

type cacheRequest struct {
	fleet.Request
	host     *cacheHost
	kind     *promptKind
	received time.Duration
	sent     time.Duration
	sample   FirstEvent
	inputs   api.DataCentre
}

type cacheEvent struct {
	at    time.Duration
	order int
	what  func()
}

type cacheEvents []cacheEvent

func (e cacheEvents) Len() int { return len(e) }
func (e cacheEvents) Less(i, k int) bool {
	return e[i].at < e[k].at || (e[i].at == e[k].at && e[i].order < e[k].order)
}
func (e cacheEvents) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *cacheEvents) Push(x any)   { *e = append(*e, x.(cacheEvent)) }
func (e *cacheEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	cacheModelTime = 34 * time.Second
	cacheWarmUp    = 4 * time.Second
	// lossAge is the age of the last use up to which a part that is read again counts as a loss.
	lossAge = 8 * time.Second
)

// cacheResult holds the times to the first event of all requests, counted from the end of the stages,
// and those of the first kind in the disturbance.
type cacheResult struct {
	took, drafts      []float64
	target, requests  int
	again, lost, left int
}

func (r *cacheResult) add(other cacheResult) {
	r.took, r.drafts = append(r.took, other.took...), append(r.drafts, other.drafts...)
	r.target += other.target
	r.requests += other.requests
	r.again += other.again
	r.lost += other.lost
	r.left += other.left
}

func meanOf(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(max(len(list), 1))
}

func quantileOf(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// run plays m.length and returns the measures after cacheWarmUp.
func (m *cacheModel) run(seed uint64) cacheResult {
	random := rand.New(rand.NewPCG(seed, 3))
	start := time.Unix(1_700_000_000, 0)
	hosts := make([]*cacheHost, m.hosts)
	for i := range hosts {
		hosts[i] = &cacheHost{index: i, hosts: m.hosts, sends: map[string]time.Time{}}
	}
	engines := make([]*cacheEngine, m.engines)
	byUpstream := map[api.UpstreamID]*cacheEngine{}
	for i := range engines {
		engines[i] = &cacheEngine{kept: map[string]*keptPart{}, Upstream: &fleet.Upstream{
			ID: api.UpstreamID(fmt.Sprint("engine-", i)), Service: "engines", Slots: m.slots, DataCentre: api.DataCentre(fmt.Sprint(i % 3)),
		}}
		byUpstream[engines[i].ID] = engines[i]
	}
	var events cacheEvents
	var now time.Duration
	order := 0
	at := func(when time.Duration, what func()) {
		order++
		heap.Push(&events, cacheEvent{when, order, what})
	}
	oneWay := func(host *cacheHost, e *cacheEngine) time.Duration {
		if api.DataCentre(fmt.Sprint(host.index%3)) == e.DataCentre {
			return 100 * time.Microsecond
		}
		return m.remote
	}
	var result cacheResult
	lastUse := map[string]time.Duration{}
	var next func(e *cacheEngine)
	// read starts to read the next prompt if a slot is free.
	next = func(e *cacheEngine) {
		if e.reading || len(e.waiting) == 0 || e.running >= m.slots {
			return
		}
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.reading = true
		e.running++
		generation, kept, whole := e.generation, 0, true
		for _, part := range r.Prompt {
			k := e.kept[part.ID]
			if whole = whole && k != nil; whole {
				kept += part.Tokens
			} else if last, found := lastUse[part.ID]; found && now >= cacheWarmUp {
				result.again += part.Tokens
				if now-last < lossAge {
					result.lost += part.Tokens
				}
			}
			if k == nil {
				k = &keptPart{tokens: part.Tokens}
				e.kept[part.ID] = k
				e.tokens += part.Tokens
			}
			k.running++
			k.used = now
			lastUse[part.ID] = now
		}
		e.tokens += r.kind.outs
		for e.tokens > m.cache {
			var oldest string
			for id, k := range e.kept {
				if k.running == 0 && (oldest == "" || k.used < e.kept[oldest].used || (k.used == e.kept[oldest].used && id < oldest)) {
					oldest = id
				}
			}
			if oldest == "" {
				break
			}
			e.tokens -= e.kept[oldest].tokens
			delete(e.kept, oldest)
		}
		reading := time.Duration(float64(r.PromptTokens-kept) / m.perSecond * float64(time.Second))
		at(now+reading, func() {
			if e.generation != generation {
				return
			}
			e.reading = false
			first := m.step * time.Duration(1+e.running/16)
			at(now+first+oneWay(r.host, e), func() { m.finish(r, e.Upstream, now, start, &result) })
			at(now+first+time.Duration(r.kind.outs)*m.step, func() {
				if e.generation != generation {
					return
				}
				e.running--
				e.tokens -= r.kind.outs
				for _, part := range r.Prompt {
					if k := e.kept[part.ID]; k != nil {
						k.running--
					}
				}
				next(e)
			})
			next(e)
		})
	}
	var send func(r *cacheRequest)
	send = func(r *cacheRequest) {
		candidates := make([]Candidate, 0, len(engines))
		for _, e := range engines {
			if e.left == 0 {
				candidates = append(candidates, Candidate{Upstream: e.Upstream})
			}
		}
		r.host.table.Fill(candidates)
		choice := m.choose(r.host, candidates, &r.Request, r.inputs, start.Add(now))
		e := byUpstream[choice.Upstream.ID]
		r.host.sent(r, e.Upstream, start.Add(now))
		if choice.Upstream != choice.Preferred {
			result.left++
		}
		health := r.host.table.Get(e.Upstream)
		read := r.PromptTokens - choice.Kept
		r.sent, r.sample = now, FirstEvent{Tokens: health.PendingTokens + read, Read: read, Running: health.Running, Route: "r"}
		r.host.table.begin(e.Upstream, r.PromptTokens, start.Add(now))
		generation := e.generation
		at(now+oneWay(r.host, e), func() {
			if e.generation != generation || e.left > 0 {
				// The engine has left: another one gets the request.
				r.host.table.Prefilled(e.Upstream, r.PromptTokens)
				r.host.table.End(e.Upstream, OutcomeRefused, 0, start.Add(now))
				send(r)
				return
			}
			e.waiting = append(e.waiting, r)
			next(e)
		})
	}
	weights := make([][]float64, len(m.kinds))
	for i, kind := range m.kinds {
		sum := 0.0
		for k := range kind.sessions {
			sum += math.Pow(float64(k+1), -0.3)
			weights[i] = append(weights[i], sum)
		}
	}
	count := 0
	for i := range m.kinds {
		kind := &m.kinds[i]
		var arrive func()
		arrive = func() {
			factor := 1.0
			if i == 0 && m.burst > 0 && now > 10*time.Second && now < 18*time.Second {
				factor = m.burst
			}
			at(now+time.Duration(random.ExpFloat64()/(kind.rate*factor)*float64(time.Second)), arrive)
			session, _ := slices.BinarySearch(weights[i], random.Float64()*weights[i][kind.sessions-1])
			if i == 0 && now > 10*time.Second && now < 15*time.Second && random.Float64() < m.hot {
				session = 777 % kind.sessions
			}
			count++
			r := &cacheRequest{kind: kind, host: hosts[random.IntN(m.hosts)], received: now}
			r.ID = api.RequestID(fmt.Sprint(seed, "-", count))
			own := int(float64(kind.own) * (0.6 + 0.8*random.Float64()))
			r.Prompt = []fleet.PromptPart{
				{ID: fmt.Sprint("k", i, "first", session%kind.firsts), Tokens: kind.first},
				{ID: fmt.Sprint("k", i, "session", session), Tokens: kind.second},
				{ID: string(r.ID), Tokens: own},
			}
			r.PromptTokens = kind.first + kind.second + own
			if m.unshared && i == 0 && now > 10*time.Second && now < 18*time.Second {
				for k := range 2 {
					r.Prompt[k].ID += string(r.ID)
				}
			}
			if m.nearby {
				r.inputs = api.DataCentre(fmt.Sprint(r.host.index % 3))
			}
			r.Received = start.Add(now)
			r.host.parts.Add(r.Prompt[1].ID, r.Received)
			at(now+kind.stages, func() { send(r) })
		}
		at(0, arrive)
	}
	if m.restart {
		at(10*time.Second, func() {
			for i, e := range engines {
				if i%3 != 0 {
					continue
				}
				waiting := e.waiting
				e.left, e.kept, e.tokens, e.running, e.reading, e.waiting = 1, map[string]*keptPart{}, 0, 0, false, nil
				e.generation++
				for _, r := range waiting {
					r.host.table.Prefilled(e.Upstream, r.PromptTokens)
					r.host.table.End(e.Upstream, OutcomeRefused, 0, start.Add(now))
					send(r)
				}
			}
		})
		at(14*time.Second, func() {
			for _, e := range engines {
				e.left = 0
			}
		})
	}
	for now < m.length {
		event := heap.Pop(&events).(cacheEvent)
		now = event.at
		event.what()
	}
	return result
}

// finish records the first event of a request. The end of the response follows at once for the host.
func (m *cacheModel) finish(r *cacheRequest, u *fleet.Upstream, now time.Duration, start time.Time, result *cacheResult) {
	took := now - r.sent
	r.host.table.Prefilled(u, r.PromptTokens)
	r.sample.Took = took
	r.host.table.RecordFirstEvent(u, &r.sample, start.Add(now))
	r.host.table.End(u, OutcomeAnswered, took, start.Add(now))
	if r.received < cacheWarmUp {
		return
	}
	took = now - r.received - r.kind.stages
	result.requests++
	result.took = append(result.took, took.Seconds()*1000)
	if r.kind == &m.kinds[0] && r.received > 10*time.Second && r.received < 18*time.Second {
		result.drafts = append(result.drafts, took.Seconds()*1000)
	}
	if now-r.received <= r.kind.target {
		result.target++
	}
}

// sent records what a host sends.
func (h *cacheHost) sent(r *cacheRequest, u *fleet.Upstream, now time.Time) {
	h.sends[string(u.ID)+r.Prompt[1].ID] = now
	h.sends[string(u.ID)+r.Prompt[0].ID] = now
}

// The rules of the comparison.
var cacheRules = []struct {
	name   string
	choose func(h *cacheHost, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice
}{
	{"present", func(_ *cacheHost, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice {
		return ownerRule(candidates, r, dc, now)
	}},
	{"none", func(_ *cacheHost, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice {
		u := best(candidates, r.ID, nil, now, func(c *Candidate) float64 { return presentCost(c, 0, dc) })
		return EngineChoice{Upstream: u, Preferred: u}
	}},
	{"owners", func(h *cacheHost, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice {
		return selectEngine(candidates, r, h.parts.Rate(r.Prompt[1].ID, r.Received, now)*float64(h.hosts), dc, nil, now)
	}},
	{"two levels", func(_ *cacheHost, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice {
		// A quarter of the engines is the group of a first part.
		hash := hashing.Of(r.Prompt[0].ID)
		sorted := slices.Clone(candidates)
		slices.SortFunc(sorted, func(a, b Candidate) int {
			if hashing.Score(hash, hashing.Of(string(a.Upstream.ID))) > hashing.Score(hash, hashing.Of(string(b.Upstream.ID))) {
				return -1
			}
			return 1
		})
		group := sorted[:max(len(sorted)/4, 1)]
		owner := rendezvousOwner(group, r.Prompt[1].ID)
		return ownedBy(owner, candidates, r, dc, now, func(*Candidate) int { return r.Prompt[0].Tokens + r.Prompt[1].Tokens })
	}},
	{"second owner", func(_ *cacheHost, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice {
		var two [2]*fleet.Upstream
		rendezvousOwners(candidates, r.Prompt[1].ID, two[:])
		return ownedBy(two[0], candidates, r, dc, now, func(c *Candidate) int {
			if c.Upstream == two[1] {
				return r.Prompt[1].Tokens / 2
			}
			return r.Prompt[0].Tokens + r.Prompt[1].Tokens
		})
	}},
	{"beliefs", func(h *cacheHost, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice {
		return ownedBy(rendezvousOwner(candidates, r.Prompt[1].ID), candidates, r, dc, now, func(c *Candidate) int {
			missing := 0.0
			for _, part := range r.Prompt[:2] {
				age := now.Sub(h.sends[string(c.Upstream.ID)+part.ID])
				missing += float64(part.Tokens) * min(age.Seconds()/40, 1)
			}
			return int(missing)
		})
	}},
}

func presentCost(c *Candidate, missing int, dc api.DataCentre) float64 {
	costs := c.Health.engineCosts()
	cost := costs.Token*float64(c.Health.PendingTokens+missing) + costs.Request*float64(c.Health.Running+1)
	if c.Upstream.DataCentre != dc && dc != "" {
		cost += remoteCost.Seconds()
	}
	return cost
}

// ownedBy is the present rule with an owner and the missing tokens of other engines.
func ownedBy(owner *fleet.Upstream, candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time, missing func(*Candidate) int) EngineChoice {
	u := best(candidates, r.ID, nil, now, func(c *Candidate) float64 {
		if c.Upstream == owner {
			return presentCost(c, 0, dc)
		}
		return presentCost(c, missing(c), dc)
	})
	choice := EngineChoice{Upstream: u, Preferred: owner, Owners: 1}
	if u == owner {
		choice.Kept = r.Prompt[0].Tokens + r.Prompt[1].Tokens
	}
	return choice
}

// ownerRule is the rule before popular prefixes had several owners.
func ownerRule(candidates []Candidate, r *fleet.Request, dc api.DataCentre, now time.Time) EngineChoice {
	return ownedBy(rendezvousOwner(candidates, r.Prompt[1].ID), candidates, r, dc, now, func(*Candidate) int { return r.Prompt[0].Tokens + r.Prompt[1].Tokens })
}

var largeCache = cacheModel{
	hosts: 70, engines: 112, slots: 32, cache: 398_114, perSecond: 56_600, step: 3790 * time.Microsecond, remote: 500 * time.Microsecond,
	kinds: []promptKind{
		{113, 2520, 3780, 2890, 4, 1830, 120, time.Second, 750 * time.Millisecond},
		{206, 341, 227, 1800, 80, 1919, 120, 4 * time.Second, 800 * time.Millisecond},
		{46, 103, 69, 543, 16, 749, 40, 1500 * time.Millisecond, 700 * time.Millisecond},
	},
}

var smallCache = cacheModel{
	hosts: 6, engines: 12, slots: 64, cache: 334_743, perSecond: 38_400, step: 5230 * time.Microsecond, remote: 1400 * time.Microsecond,
	kinds: []promptKind{
		{11.6, 2520, 3780, 2890, 4, 183, 120, time.Second, 700 * time.Millisecond},
		{14.1, 341, 227, 1800, 80, 191, 120, 4 * time.Second, 800 * time.Millisecond},
		{13.1, 103, 69, 543, 16, 75, 40, 1500 * time.Millisecond, 700 * time.Millisecond},
	},
}

var cacheLoads = []struct {
	name   string
	base   *cacheModel
	change func(*cacheModel)
}{
	{"calm", &largeCache, func(*cacheModel) {}},
	{"burst", &largeCache, func(m *cacheModel) { m.burst = 2.4 }},
	{"nothing shared", &largeCache, func(m *cacheModel) { m.burst, m.unshared = 2.4, true }},
	{"hot", &largeCache, func(m *cacheModel) { m.hot = 0.28 }},
	{"hot burst", &largeCache, func(m *cacheModel) { m.burst, m.hot = 2.4, 0.28 }},
	{"restart", &largeCache, func(m *cacheModel) { m.restart = true }},
	{"tenth", &largeCache, func(m *cacheModel) { m.cache /= 10 }},
	{"far", &largeCache, func(m *cacheModel) { m.remote, m.nearby = 4900*time.Microsecond, true }},
	{"small calm", &smallCache, func(*cacheModel) {}},
	{"small hot burst", &smallCache, func(m *cacheModel) { m.burst, m.hot = 2.4, 0.28 }},
}

// BenchmarkCacheDecisions compares the choice of engines with others that were weighed. It reports the times
// to the first event after the stages, of all requests and of those of the first kind between 10 and
// 18 s, the share within the target, and the shared tokens (in thousands) that were read again.
func BenchmarkCacheDecisions(b *testing.B) {
	for _, load := range cacheLoads {
		for _, rule := range cacheRules {
			b.Run(load.name+"/"+rule.name, func(b *testing.B) {
				for b.Loop() {
					var r cacheResult
					for seed := range uint64(2) {
						model := *load.base
						load.change(&model)
						model.length, model.choose = cacheModelTime, rule.choose
						r.add(model.run(seed))
					}
					b.ReportMetric(meanOf(r.took), "mean-ms")
					b.ReportMetric(quantileOf(r.took, 0.95), "p95-ms")
					b.ReportMetric(meanOf(r.drafts), "drafts-mean-ms")
					b.ReportMetric(quantileOf(r.drafts, 0.95), "drafts-p95-ms")
					b.ReportMetric(float64(r.target)/float64(r.requests), "in-target")
					b.ReportMetric(float64(r.again)/1000, "again-k")
					b.ReportMetric(float64(r.lost)/1000, "lost-k")
					b.ReportMetric(float64(r.left), "left")
				}
			})
		}
	}
}

// TestPopularPrefixIsSpread guards against a session of many requests that overloads the engine of its
// hash until each host has seen its backlog, and against spread prefixes in calm.
func TestPopularPrefixIsSpread(t *testing.T) {
	for _, load := range cacheLoads {
		model := *load.base
		load.change(&model)
		model.length, model.choose = 20*time.Second, cacheRules[0].choose
		before := model.run(5)
		model.choose = cacheRules[2].choose
		after := model.run(5)
		assert.Assert(t, before.requests > 0 && after.requests > 0, load.name)
		t.Logf("%s: in target %d of %d, before %d of %d", load.name, after.target, after.requests, before.target, before.requests)
		share, shareBefore := float64(after.target)/float64(after.requests), float64(before.target)/float64(before.requests)
		// Both plays differ by chance from the first choice that differs.
		assert.Assert(t, share >= shareBefore-0.002, load.name)
		if load.name == "hot" {
			assert.Assert(t, meanOf(after.drafts) < meanOf(before.drafts)*0.8 && quantileOf(after.drafts, 0.95) < quantileOf(before.drafts, 0.95)/2, load.name)
		}
	}
}

// TestPopularityIsCountedWithArrivals guards against a service that estimates no popularity, so that
// all requests with a prefix go to one engine, and against one that spreads a prefix at the first request.
func TestPopularityIsCountedWithArrivals(t *testing.T) {
	answer := func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 2, true, 0)
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, answer, answer, answer, answer)
	f.Budget.Hosts = func() int { return 1000 }
	for i := range 40 {
		_, err := f.serve(t, func(r *fleet.Request) {
			r.ID, r.Received, r.PromptTokens = api.RequestID(fmt.Sprint("r", i)), clock.Now(), 9000
			r.Prompt = []fleet.PromptPart{{ID: "session", Tokens: 6000}, {ID: "own", Tokens: 3000}}
		})
		assert.NilError(t, err)
		if i == 0 {
			assert.Equal(t, f.Metrics.Counter("prefix.spread").Count(), int64(0))
		}
	}
	assert.Equal(t, f.Metrics.Counter("prefix.spread").Count(), int64(39))
	assert.Assert(t, f.Metrics.Counter("prefix.expected_tokens").Count() >= 39*6000)
	used := 0
	for _, u := range f.upstreams {
		if len(u.Requests()) > 0 {
			used++
		}
	}
	assert.Equal(t, used, 2)
}
