package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
)

// engineSamples records responses of an engine that reads the given number of tokens a millisecond
// and delays a first event by perRequest for each running request, with noise, and returns the costs.
func engineSamples(table *HealthTable, u *fleet.Upstream, count, running int, rate float64, perRequest time.Duration, now time.Time) EngineCosts {
	random := rand.New(rand.NewPCG(1, 2))
	for range count {
		f := FirstEvent{Tokens: []int{2890, 9190, 1800, 2368, 543}[random.IntN(5)], Running: random.IntN(running + 1)}
		f.Took = 20*time.Millisecond + time.Duration(float64(f.Tokens)/rate*float64(time.Millisecond)) + time.Duration(f.Running)*perRequest
		f.Took += time.Duration(random.ExpFloat64() * float64(15*time.Millisecond))
		if random.IntN(25) == 0 {
			f.Took += 2 * time.Second
		}
		now = now.Add(200 * time.Millisecond)
		table.RecordFirstEvent(u, &f, now)
	}
	health := table.Get(u)
	return health.engineCosts()
}

// TestCostsOfEnginesAreMeasured guards against costs that stay at the assumed ones where engines are
// faster or slower, and against measurements from few, old or disturbed responses.
func TestCostsOfEnginesAreMeasured(t *testing.T) {
	now := time.Unix(1000, 0)
	u := &fleet.Upstream{ID: "e", Service: "engines"}
	assert.Equal(t, engineSamples(&HealthTable{}, u, 10, 3, 91.8, 4*time.Millisecond, now), assumedCosts)
	for _, rate := range []float64{10, 38.4, 56.6, 91.8} {
		costs := engineSamples(&HealthTable{}, u, 300, 3, rate, 20*time.Millisecond, now)
		measured := 1 / costs.Token / 1000
		t.Logf("%.1f tokens a ms and 20 ms a request: measured %.1f and %.1f", rate, measured, costs.Request*1000)
		assert.Assert(t, measured > 0.7*rate && measured < 1.4*rate, "%.1f tokens a ms, measured %.1f", rate, measured)
		assert.Assert(t, costs.Request > 0.010 && costs.Request < 0.030, "%.4f s a request", costs.Request)
	}
	// A host of a large fleet has no two requests at one engine.
	alone := engineSamples(&HealthTable{}, u, 300, 0, 56.6, 0, now)
	assert.Assert(t, alone.Request > requestCost.Seconds()/2 && alone.Request < requestCost.Seconds()*2, "%.4f s a request", alone.Request)
	var table HealthTable
	engineSamples(&table, u, 300, 0, 91.8, 0, now)
	other := table.Get(&fleet.Upstream{ID: "other", Service: "engines"})
	assert.Assert(t, other.engineCosts().Token < assumedCosts.Token*0.7, "no costs of the service for an engine without responses")
	table.Sweep(now.Add(time.Hour))
	old := table.Get(u)
	assert.Equal(t, old.engineCosts(), assumedCosts)
}

// TestFastEnginesKeepLessAffinity guards against a prefix that stays with a loaded engine although
// the others read it again sooner.
func TestFastEnginesKeepLessAffinity(t *testing.T) {
	now := time.Unix(1000, 0)
	list := engines(12)
	owner := SelectEngine(list, prompt("r", "session"), "", nil, now)
	for i := range list {
		if list[i].Upstream == owner {
			list[i].Health.Running = 10
		}
	}
	assert.Equal(t, SelectEngine(list, prompt("r", "session"), "", nil, now), owner)
	for i := range list {
		list[i].Health.Service = &MeasuredService{Costs: EngineCosts{Token: assumedCosts.Token / 4, Request: assumedCosts.Request}}
	}
	assert.Assert(t, SelectEngine(list, prompt("r", "session"), "", nil, now) != owner)
}

// BenchmarkSelectEngine measures the choice among the engines of a large fleet, with the copy of
// their health.
func BenchmarkSelectEngine(b *testing.B) {
	var table HealthTable
	list := engines(112)
	now := time.Unix(1000, 0)
	for i := range list {
		list[i].Upstream.Service = "engines"
		table.Begin(list[i].Upstream, 100*i)
		table.End(list[i].Upstream, OutcomeAnswered, 100*time.Millisecond, now)
	}
	b.Run("choice", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			SelectEngine(list, prompt("r", fmt.Sprint(i%64)), "dc1", nil, now)
		}
	})
	b.Run("popular", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			selectEngine(list, prompt("r", fmt.Sprint(i%64)), 40, "dc1", nil, now)
		}
	})
	b.Run("with health", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			candidates := make([]Candidate, 0, len(list))
			for k := range list {
				candidates = append(candidates, Candidate{Upstream: list[k].Upstream})
			}
			table.Fill(candidates)
			SelectEngine(candidates, prompt("r", fmt.Sprint(i%64)), "dc1", nil, now)
		}
	})
}
