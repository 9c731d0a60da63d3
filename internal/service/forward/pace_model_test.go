package forward

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
)

// paceModel is a model in virtual time of many hosts that send short requests to few upstreams,
// whose pace varies. It uses the health table, the choice and the retry budget of the product, and
// has no network.
type paceModel struct {
	hosts, upstreams int
	rate             float64
	route            fleet.Route
	// remote is the latency between data centres, one way.
	remote time.Duration
	// reports is true if responses carry the load and the pace.
	reports bool
	// slowFactor is how much longer work takes in a slow period, and slowTime its mean length.
	slowFactor, slowTime float64
	// calm is true if the pace does not vary and there are no bursts.
	calm bool
	// length is the time that is played.
	length time.Duration
	choose func(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream
	// stall is true if late attempts of a repeatable route are replaced.
	stall bool
}

const (
	modelStep = 250 * time.Microsecond
	modelTime = 60 * time.Second
	modelMean = 15 * time.Millisecond
	queueSize = 24
)

// modelRequest is a request of a caller, and modelAttempt one attempt to serve it.
type modelRequest struct {
	id       api.RequestID
	host     int
	received time.Duration
	work     float64
	exclude  map[api.UpstreamID]bool
	history  AttemptCounts
	attempts []*modelAttempt
	done     bool
}

type modelAttempt struct {
	*modelRequest
	upstream  int
	sent      time.Duration
	remaining float64
	cancelled bool
	stalled   bool
}

type modelUpstream struct {
	*fleet.Upstream
	running, waiting []*modelAttempt
	pace             float64
	paceUntil        time.Duration
	slowUntil        time.Duration
	nextSlow         time.Duration
}

// paceResult holds the measures of a run.
type paceResult struct {
	requests, target, deadline, refused, refusals, replaced, attempts int
	busiest                                                           float64
}

func (r paceResult) String() string {
	return fmt.Sprintf("| %d | %.4f | %.4f | %d | %d | %d | %.2f |", r.requests, float64(r.target)/float64(r.requests),
		float64(r.deadline)/float64(r.requests), r.refused, r.refusals, r.replaced, r.busiest)
}

// run plays m.length and returns the measures.
func (m *paceModel) run(seed uint64) paceResult {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1_700_000_000, 0)
	tables, budgets := make([]*HealthTable, m.hosts), make([]*Budget, m.hosts)
	for i := range tables {
		tables[i] = &HealthTable{}
		budgets[i] = &Budget{Ratio: 0.2, Slack: 54, Window: 10 * time.Second, Hosts: func() int { return m.hosts }}
	}
	upstreams := make([]*modelUpstream, m.upstreams)
	for i := range upstreams {
		upstreams[i] = &modelUpstream{Upstream: &fleet.Upstream{
			ID: api.UpstreamID(fmt.Sprint("u", i)), Service: "orders", Slots: 6, DataCentre: api.DataCentre(fmt.Sprint(i % 3)),
		}, pace: 1, nextSlow: time.Duration(random.ExpFloat64() * float64(8*time.Second))}
	}
	// events holds what happens at a step, in order of insertion.
	events := map[time.Duration][]func(){}
	var now time.Duration
	at := func(when time.Duration, what func()) {
		// What is due now has been called already.
		when = max(when.Truncate(modelStep), now+modelStep)
		events[when] = append(events[when], what)
	}
	oneWay := func(host, upstream int) time.Duration {
		if host%3 == upstream%3 {
			return 100 * time.Microsecond
		}
		return m.remote
	}
	var result paceResult
	got := make([]int, m.upstreams)
	var next func(r *modelRequest)
	send := func(r *modelRequest, chosen *fleet.Upstream) {
		index := slices.IndexFunc(upstreams, func(u *modelUpstream) bool { return u.Upstream == chosen })
		u, table := upstreams[index], tables[r.host]
		a := &modelAttempt{modelRequest: r, upstream: index, sent: now, remaining: r.work}
		r.attempts = append(r.attempts, a)
		table.begin(chosen, 0, start.Add(now))
		result.attempts++
		got[index]++
		// A connection is opened first.
		at(now+3*oneWay(r.host, index), func() {
			if len(u.running)+len(u.waiting) >= chosen.Slots+queueSize {
				at(now+oneWay(r.host, index), func() {
					result.refusals++
					if m.reports {
						table.ReportLoad(chosen, u.load(), start.Add(now))
					}
					table.End(chosen, OutcomeRefused, 0, start.Add(now))
					r.history.Add(ResultNotRun)
					r.exclude[chosen.ID] = true
					if r.done || a.cancelled {
						return
					}
					if NextAction(&m.route, r.history, ResultNotRun, m.route.Timeout-(now-r.received)) != ActionRetry || !budgets[r.host].Allow("orders", 1, start.Add(now)) {
						r.done = true
						result.refused++
						return
					}
					next(r)
				})
				return
			}
			u.waiting = append(u.waiting, a)
		})
		if m.stall && m.route.Repeatable() {
			h := table.Get(chosen)
			var check func()
			check = func() {
				if r.done || a.cancelled || a.remaining <= 0 || r.history.MayHaveRun+1 >= m.route.MaxAttempts {
					return
				}
				if !a.stalled {
					a.stalled = true
					table.Late(chosen, now-a.sent, start.Add(now))
				}
				if m.route.Timeout-(now-r.received) < minAttemptTime || !budgets[r.host].Allow("orders", 1, start.Add(now)) {
					at(now+stallRecheckInterval, check)
					return
				}
				result.replaced++
				a.cancelled = true
				table.End(chosen, OutcomeCancelled, 0, start.Add(now))
				r.history.Add(ResultLost)
				r.exclude[chosen.ID] = true
				next(r)
			}
			at(now+stallAfter(&m.route, &h, m.route.Timeout-(now-r.received)), check)
		}
	}
	next = func(r *modelRequest) {
		candidates := make([]Candidate, len(upstreams))
		for i, u := range upstreams {
			candidates[i] = Candidate{Upstream: u.Upstream, Health: tables[r.host].Get(u.Upstream)}
		}
		send(r, m.choose(candidates, r.id, r.exclude, start.Add(now)))
	}
	burst := func() float64 {
		if t := now % (20 * time.Second); !m.calm && t > 10*time.Second && t < 14*time.Second {
			return 1.7
		}
		return 1
	}
	arrival := time.Duration(0)
	for now = 0; now < m.length; now += modelStep {
		for arrival <= now {
			arrival += time.Duration(random.ExpFloat64() / (m.rate * burst()) * float64(time.Second))
			work := modelMean.Seconds() * math.Exp(0.5*random.NormFloat64()-0.125)
			if random.IntN(100) == 0 {
				work *= 5
			}
			r := &modelRequest{id: api.RequestID(fmt.Sprint(seed, "-", result.requests)), host: random.IntN(m.hosts), received: now, work: work, exclude: map[api.UpstreamID]bool{}}
			result.requests++
			budgets[r.host].RecordFirst("orders", start.Add(now))
			next(r)
			at(now+m.route.Timeout, func() { r.done = true })
		}
		for _, what := range events[now] {
			what()
		}
		delete(events, now)
		for _, u := range upstreams {
			m.vary(u, now, random)
			for _, a := range u.advance() {
				at(now+oneWay(a.host, a.upstream), func() {
					if a.cancelled {
						return
					}
					table := tables[a.host]
					if m.reports {
						table.ReportLoad(u.Upstream, u.load(), start.Add(now))
					}
					// A caller that has given up ends the attempt.
					if a.done {
						table.End(u.Upstream, OutcomeFailed, 0, start.Add(now))
						return
					}
					table.End(u.Upstream, OutcomeAnswered, now-a.sent, start.Add(now))
					a.done = true
					took := now - a.received
					if took <= m.route.Objective {
						result.target++
					}
					if took <= m.route.Timeout {
						result.deadline++
					}
				})
			}
		}
	}
	result.busiest = float64(slices.Max(got)) * float64(m.upstreams) / float64(result.attempts)
	return result
}

func (u *modelUpstream) load() *fleet.Load {
	return &fleet.Load{Running: len(u.running), Waiting: len(u.waiting), Slots: u.Slots, Pace: u.pace}
}

// vary changes the pace of an upstream.
func (m *paceModel) vary(u *modelUpstream, now time.Duration, random *rand.Rand) {
	if m.calm {
		return
	}
	if now >= u.nextSlow {
		u.slowUntil = now + time.Duration((0.5+m.slowTime*random.Float64())*float64(time.Second))
		u.nextSlow = u.slowUntil + time.Duration(random.ExpFloat64()*float64(8*time.Second))
	}
	if now < u.paceUntil {
		return
	}
	u.paceUntil = now + time.Duration((0.05+0.2*random.Float64())*float64(time.Second))
	u.pace = math.Exp(math.Log(0.7) + random.Float64()*random.Float64()*math.Log(3/0.7))
	if now < u.slowUntil {
		u.pace = m.slowFactor + random.Float64()
	}
}

// advance does the work of one step and returns the attempts that have ended.
func (u *modelUpstream) advance() []*modelAttempt {
	for len(u.running) < u.Slots && len(u.waiting) > 0 {
		u.running = append(u.running, u.waiting[0])
		u.waiting = u.waiting[1:]
	}
	var ended []*modelAttempt
	left := u.running[:0]
	for _, a := range u.running {
		a.remaining -= modelStep.Seconds() / u.pace
		if a.remaining <= 0 {
			ended = append(ended, a)
		} else {
			left = append(left, a)
		}
	}
	u.running = left
	return ended
}

// presentRule is the choice before the pace was known: the lowest latency of this host's responses.
func presentRule(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	return best(candidates, request, exclude, now, func(c *Candidate) float64 {
		latency := max(c.Health.Latency, 10*time.Millisecond)
		queued := float64(c.Health.Running+1) / float64(max(c.Upstream.Slots, 1))
		return latency.Seconds() * (1 + queued) * (1 + failurePenalty*c.Health.failureRate(now))
	})
}

type chooser func([]Candidate, api.RequestID, map[api.UpstreamID]bool, time.Time) *fleet.Upstream

// shortestDelay chooses the candidate with the least expected time, with what upstreams report.
func shortestDelay(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	return best(candidates, request, exclude, now, func(c *Candidate) float64 { return expectedTime(c, now) })
}

// ownView is like shortestDelay, but without what upstreams report.
func ownView(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	return best(candidates, request, exclude, now, func(c *Candidate) float64 {
		if c.Health.Measured != nil {
			c.Health.Measured = &Measured{Pace: c.Health.Measured.Pace}
		}
		return expectedTime(c, now)
	})
}

// twoChoices chooses the one of two random candidates with the lesser expected time.
func twoChoices(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	sample := slices.Clone(candidates)
	hash := hashing.Of("sample" + string(request))
	slices.SortFunc(sample, func(a, b Candidate) int {
		if exclude[a.Upstream.ID] != exclude[b.Upstream.ID] {
			return cmp.Compare(fmt.Sprint(exclude[a.Upstream.ID]), fmt.Sprint(exclude[b.Upstream.ID]))
		}
		return cmp.Compare(hashing.Score(hash, hashing.Of(string(a.Upstream.ID))), hashing.Score(hash, hashing.Of(string(b.Upstream.ID))))
	})
	return shortestDelay(sample[:min(2, len(sample))], request, exclude, now)
}

// weightedByPace chooses a random candidate, weighted by the inverse of its pace.
func weightedByPace(candidates []Candidate, request api.RequestID, exclude map[api.UpstreamID]bool, now time.Time) *fleet.Upstream {
	hash := hashing.Of(string(request))
	return best(candidates, request, exclude, now, func(c *Candidate) float64 {
		u := (float64(hashing.Score(hash, hashing.Of(string(c.Upstream.ID)))>>11) + 0.5) / (1 << 53)
		return -math.Log(u) * c.Health.pace(now) * (1 + failurePenalty*c.Health.failureRate(now))
	})
}

// orderRoute is the route of the order service that the model plays.
var orderRoute = fleet.Route{Kind: fleet.KindNonIdempotent, MaxAttempts: 1, Objective: 120 * time.Millisecond, Timeout: 600 * time.Millisecond}

// paceLoads are the loads of the comparison.
var paceLoads = []struct {
	name  string
	model paceModel
}{
	{"calm", paceModel{hosts: 70, upstreams: 3, rate: 149, remote: 500 * time.Microsecond, calm: true}},
	{"uneven", paceModel{hosts: 70, upstreams: 3, rate: 149, remote: 500 * time.Microsecond, slowFactor: 4, slowTime: 3}},
	{"uneven, far", paceModel{hosts: 79, upstreams: 3, rate: 149, remote: 4900 * time.Microsecond, slowFactor: 4, slowTime: 3}},
	{"uneven, few hosts", paceModel{hosts: 4, upstreams: 4, rate: 149, remote: 1400 * time.Microsecond, slowFactor: 4, slowTime: 3}},
	{"nearly stopped", paceModel{hosts: 70, upstreams: 3, rate: 149, remote: 500 * time.Microsecond, slowFactor: 12, slowTime: 3}},
}

// sum plays a load with several seeds at a time.
func (m paceModel) sum(seeds int) paceResult {
	results := make([]paceResult, seeds)
	var group sync.WaitGroup
	for seed := range results {
		group.Go(func() { results[seed] = m.run(uint64(seed)) })
	}
	group.Wait()
	var total paceResult
	for _, r := range results {
		total.requests += r.requests
		total.target += r.target
		total.deadline += r.deadline
		total.refused += r.refused
		total.refusals += r.refusals
		total.replaced += r.replaced
		total.busiest += r.busiest / float64(seeds)
	}
	return total
}

// BenchmarkPlacementDecisions compares the choice for short requests with others that were weighed. It
// reports the shares of requests answered within the target and the deadline, the requests that were
// refused, the refusals of upstreams, and the requests of the busiest upstream relative to the mean.
func BenchmarkPlacementDecisions(b *testing.B) {
	for _, load := range paceLoads {
		for _, reports := range []bool{false, true} {
			for _, rule := range []struct {
				name   string
				choose chooser
			}{
				{"before the pace", presentRule},
				{"weighted by pace", weightedByPace},
				{"two choices", twoChoices},
				{"own view", ownView},
				{"shortest delay", shortestDelay},
				{"product", LeastLoadedForOrder},
			} {
				b.Run(fmt.Sprintf("%s/reports=%t/%s", load.name, reports, rule.name), func(b *testing.B) {
					model := load.model
					model.length, model.route, model.reports, model.choose = modelTime, orderRoute, reports, rule.choose
					for b.Loop() {
						r := model.sum(4)
						b.ReportMetric(float64(r.target)/float64(r.requests), "in-target")
						b.ReportMetric(float64(r.deadline)/float64(r.requests), "in-deadline")
						b.ReportMetric(float64(r.refused), "refused")
						b.ReportMetric(float64(r.refusals), "refusals")
						b.ReportMetric(r.busiest, "busiest")
					}
				})
			}
		}
	}
}

// TestUnevenPace guards against orders of many hosts that stay with a slow upstream, and against
// hosts that turn to the same upstream at once. The load is that of an order service with 3 upstreams
// of 6 slots, 149 requests a second in bursts of 1.7 times, and slow periods of 0.5 to 3.5 s.
func TestUnevenPace(t *testing.T) {
	for _, load := range paceLoads {
		if load.model.calm || load.model.hosts < 59 {
			// There is little to choose, so that the comparison needs more time.
			continue
		}
		for _, reports := range []bool{false, true} {
			model := load.model
			model.length, model.route, model.reports, model.choose = modelTime, orderRoute, reports, presentRule
			before := model.sum(1)
			model.choose = LeastLoadedForOrder
			after := model.sum(1)
			t.Logf("%s, reports %t: before %s after %s", load.name, reports, before, after)
			assert.Assert(t, after.target >= before.target && after.refusals <= before.refusals, "%s, reports %t: %s, %s before", load.name, reports, after, before)
			assert.Assert(t, after.busiest <= before.busiest, "%s, reports %t: %s, %s before", load.name, reports, after, before)
			if load.name != "nearly stopped" {
				// All upstreams together have slots for the load at any pace of these.
				assert.Equal(t, after.refused, 0, "%s, reports %t", load.name, reports)
			}
		}
	}
}
