package forward

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// TestForecastNeedsEvidence guards against a refusal because of few, old or less urgent responses, of
// one engine that has stopped, or of engines that are gone.
func TestForecastNeedsEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	list := engines(12)
	request := ForecastRequest{Route: "r", Rank: 2, Read: 50 * time.Millisecond, Left: 4 * time.Second}
	late := func(change func(int, *FirstEventSample)) []FirstEventSample {
		samples := make([]FirstEventSample, 6)
		for i := range samples {
			samples[i] = FirstEventSample{Engine: list[i].Upstream.ID, Route: "r", At: now.Add(-time.Second), Wait: 3200 * time.Millisecond, Prepared: time.Second, Rank: 2}
			change(i, &samples[i])
		}
		return samples
	}
	refused := ForecastFirstEvent(late(func(int, *FirstEventSample) {}), list, request, now)
	assert.DeepEqual(t, refused, Forecast{Prepare: time.Second, Wait: 3200 * time.Millisecond, FirstEvent: 4250 * time.Millisecond, Samples: 6, Engines: 6, Refuse: true})
	for name, change := range map[string]func(int, *FirstEventSample){
		"one was in time":             func(i int, s *FirstEventSample) { s.Wait -= time.Duration(i/5) * 500 * time.Millisecond },
		"old":                         func(_ int, s *FirstEventSample) { s.At = now.Add(-forecastAge - 1) },
		"less urgent":                 func(_ int, s *FirstEventSample) { s.Rank = 4 },
		"one engine":                  func(_ int, s *FirstEventSample) { s.Engine = list[0].Upstream.ID },
		"engines that are gone":       func(_ int, s *FirstEventSample) { s.Engine += "x" },
		"few":                         func(i int, s *FirstEventSample) { s.At = now.Add(-time.Duration(i/3) * time.Minute) },
		"ended before the caller did": func(_ int, s *FirstEventSample) { s.Wait, s.Ended = 2*time.Second, true },
		"stages of another route":     func(_ int, s *FirstEventSample) { s.Route = "other" },
	} {
		f := ForecastFirstEvent(late(change), list, request, now)
		assert.Assert(t, !f.Refuse, "%s: %+v", name, f)
	}
	ended := ForecastFirstEvent(late(func(_ int, s *FirstEventSample) { s.Ended = true }), list, request, now)
	assert.Assert(t, ended.Refuse)
}

// TestHopelessRequestRunsNoStages guards against stages that are run for a request which no engine can
// serve in time, and against a refusal that is said to have run.
func TestHopelessRequestRunsNoStages(t *testing.T) {
	answer := func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 2, true, 0)
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Stages: []fleet.Stage{{Service: "stage"}}}, answer, answer)
	for i := range 8 {
		event := FirstEvent{Route: "r", Took: 10 * time.Second}
		f.Health.RecordNoEvent(&f.upstreams[i%2].Entry, &event, clock.Now())
	}
	items := func(r *fleet.Request) { r.Items, r.CallerTimeout = []int{1}, 5*time.Second }
	_, err := f.serve(t, items)
	assert.Equal(t, fault.KindOf(err), api.KindOverloaded, "%v", err)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
	assert.Equal(t, fault.RetryDelay(err), forecastAge)
	assert.Equal(t, f.prepared, 0)
	assert.Equal(t, f.totalRuns(), 0)
	event := FirstEvent{Route: "r", Took: 100 * time.Millisecond}
	for range 2 {
		f.Health.RecordFirstEvent(&f.upstreams[0].Entry, &event, clock.Now())
	}
	_, err = f.serve(t, items)
	assert.NilError(t, err)
	assert.Equal(t, f.prepared, 1)
}

// forecastModel is a model in virtual time of hosts that send generations to engines. An engine reads
// one prompt after the other in the order of arrival; callers give up after 4 s.
type forecastModel struct {
	forecast bool
	// burst is the factor of the traffic between 10 and 20 s.
	burst float64
}

// forecastResult counts requests: those that got their first event within the target and before the
// caller gave up, those that were refused, and those whose stages were run without a first event.
type forecastResult struct{ requests, target, served, refused, wasted int }

func (m *forecastModel) run(seed uint64) forecastResult {
	const (
		hosts, engineCount = 10, 8
		step               = time.Millisecond
		rate               = 90.0
		stages             = 800 * time.Millisecond
		patience           = 4 * time.Second
	)
	type job struct {
		id, host, tokens int
		received         time.Duration
		sent             time.Duration
		sample           FirstEvent
	}
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1_700_000_000, 0)
	candidates := engines(engineCount)
	tables, queues, busy := make([]*HealthTable, hosts), make([][]*job, engineCount), make([]float64, engineCount)
	for i := range tables {
		tables[i] = &HealthTable{}
	}
	for i := range candidates {
		candidates[i].Upstream.Service = "engines"
	}
	pending := map[time.Duration][]*job{}
	var result forecastResult
	var arrival time.Duration
	for now := time.Duration(0); now < 40*time.Second; now += step {
		factor := 1.0
		if now > 10*time.Second && now < 20*time.Second {
			factor = m.burst
		}
		for arrival <= now {
			arrival += time.Duration(random.ExpFloat64() / (rate * factor) * float64(time.Second))
			result.requests++
			j := &job{id: result.requests, host: random.IntN(hosts), tokens: 1500 + random.IntN(2800), received: now}
			ready := (now + stages + time.Duration(random.IntN(200))*time.Millisecond).Truncate(step)
			samples, costs := tables[j.host].FirstEventSamples("engines")
			request := ForecastRequest{"r", 0, readTime(costs, j.tokens), patience}
			if f := ForecastFirstEvent(samples, candidates, request, start.Add(now)); m.forecast && f.Refuse {
				result.refused++
				continue
			}
			pending[ready] = append(pending[ready], j)
		}
		for _, j := range pending[now] {
			tables[j.host].Fill(candidates)
			prompt := &fleet.Request{ID: api.RequestID(fmt.Sprint(j.id))}
			u := SelectEngine(candidates, prompt, "", nil, start.Add(now))
			for i := range candidates {
				if candidates[i].Upstream == u {
					queues[i] = append(queues[i], j)
				}
			}
			j.sent = now
			j.sample = FirstEvent{Tokens: tables[j.host].Get(u).PendingTokens + j.tokens, Read: j.tokens, Route: "r", Prepared: now - j.received}
			tables[j.host].begin(u, j.tokens, start.Add(now))
		}
		delete(pending, now)
		for i := range queues {
			u := candidates[i].Upstream
			end := func(j *job, outcome Outcome) {
				queues[i] = queues[i][1:]
				j.sample.Took = now - j.sent
				tables[j.host].Prefilled(u, j.tokens)
				tables[j.host].End(u, outcome, j.sample.Took, start.Add(now))
			}
			for len(queues[i]) > 0 && busy[i] == 0 && now-queues[i][0].received >= patience {
				j := queues[i][0]
				end(j, OutcomeCancelled)
				tables[j.host].RecordNoEvent(u, &j.sample, start.Add(now))
				result.wasted++
			}
			if len(queues[i]) == 0 {
				continue
			}
			j := queues[i][0]
			busy[i] += 56.6
			if busy[i] < float64(j.tokens) {
				continue
			}
			busy[i] = 0
			end(j, OutcomeAnswered)
			if took := now - j.received; took < patience {
				tables[j.host].RecordFirstEvent(u, &j.sample, start.Add(now))
				result.served++
				if took < 2*time.Second {
					result.target++
				}
			} else {
				tables[j.host].RecordNoEvent(u, &j.sample, start.Add(now))
				result.wasted++
			}
		}
	}
	return result
}

// TestForecastSparesStages guards against a refusal in calm or in a burst that the engines can take, and
// against stages that are run for requests which no engine can serve in time. The load is a burst of
// three times the traffic for 10 s, which is more than the engines read.
func TestForecastSparesStages(t *testing.T) {
	for _, burst := range []float64{1, 1.5} {
		for seed := range uint64(3) {
			r := (&forecastModel{forecast: true, burst: burst}).run(seed)
			assert.Equal(t, r.refused, 0, "burst %.1f: %+v", burst, r)
		}
	}
	for _, burst := range []float64{2.5, 3, 4} {
		var without, with forecastResult
		for seed := range uint64(3) {
			without.add((&forecastModel{burst: burst}).run(seed))
			with.add((&forecastModel{forecast: true, burst: burst}).run(seed))
		}
		t.Logf("burst %.1f: without forecast %+v, with %+v", burst, without, with)
		assert.Equal(t, with.requests, without.requests)
		assert.Assert(t, with.wasted <= without.wasted && with.target*100 >= without.target*99 && with.served*100 >= without.served*97)
		if burst == 4 {
			assert.Assert(t, with.refused > 0 && with.wasted*4 < without.wasted*3)
		}
	}
}

func (r *forecastResult) add(other forecastResult) {
	r.requests += other.requests
	r.target += other.target
	r.served += other.served
	r.refused += other.refused
	r.wasted += other.wasted
}
