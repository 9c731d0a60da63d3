package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// TestNext guards against a repeat of what may run once only, and against a refusal
// that calls a request not run which may have run.
func TestNext(t *testing.T) {
	once := &fleet.Route{Kind: fleet.KindNonIdempotent, MaxAttempts: 3}
	again := &fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}
	stream := &fleet.Route{Kind: fleet.KindStreaming, MaxAttempts: 2}
	resumable := &fleet.Route{Kind: fleet.KindStreaming, MaxAttempts: 2, Resumable: true}
	for _, c := range []struct {
		route   *fleet.Route
		history History
		result  Result
		left    time.Duration
		want    Action
	}{
		{once, History{Ran: 1}, ResultAnswered, time.Second, ActionDeliver},
		{once, History{Ran: 1}, ResultServerError, time.Second, ActionDeliver},
		{once, History{Ran: 1}, ResultLost, time.Second, ActionFail},
		{once, History{Unsent: 1}, ResultNotRun, time.Second, ActionRetry},
		{once, History{Unsent: 1}, ResultNotRun, 0, ActionRefuse},
		{once, History{Unsent: maxUnsent}, ResultNotSent, time.Second, ActionRefuse},
		{again, History{Ran: 1}, ResultLost, time.Second, ActionRetry},
		{again, History{Ran: 2}, ResultLost, time.Second, ActionFail},
		{again, History{Ran: 1}, ResultServerError, time.Second, ActionRetry},
		{again, History{Ran: 2}, ResultServerError, time.Second, ActionDeliver},
		{again, History{Ran: 1, Unsent: maxUnsent}, ResultNotRun, time.Second, ActionFail},
		{stream, History{Ran: 1}, ResultLost, time.Second, ActionFail},
		{resumable, History{Ran: 1}, ResultLost, time.Second, ActionRetry},
	} {
		got := Next(c.route, c.history, c.result, c.left)
		assert.Equal(t, got, c.want, "%s %+v %s", c.route.Kind, c.history, c.result)
	}
}

// TestNextNeverRepeatsWhatMayHaveRun checks over random histories that a request which
// may run once is not sent again after an attempt that may have run.
func TestNextNeverRepeatsWhatMayHaveRun(t *testing.T) {
	results := []Result{ResultAnswered, ResultServerError, ResultNotRun, ResultNotSent, ResultLost}
	rapid.Check(t, func(t *rapid.T) {
		route := &fleet.Route{Kind: fleet.KindNonIdempotent, MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts")}
		var history History
		for {
			result := rapid.SampledFrom(results).Draw(t, "result")
			history.Add(result)
			action := Next(route, history, result, time.Second)
			if action == ActionRetry && history.Ran > 0 {
				t.Fatalf("repeated after %+v", history)
			}
			if action == ActionRefuse && history.Ran > 0 {
				t.Fatalf("called not run after %+v", history)
			}
			if action != ActionRetry {
				return
			}
		}
	})
}

// TestBudgetKeepsShareOfAllHosts guards against hosts that together repeat more than the fleet's bound in any window.
func TestBudgetKeepsShareOfAllHosts(t *testing.T) {
	const hosts, slack, ratio = 7, 54, 0.2
	window := 10 * time.Second
	now := time.Unix(1000, 0)
	repeats, firsts := 0, 0
	for range hosts {
		b := &Budget{Ratio: ratio, Slack: slack, Window: window, Hosts: func() int { return hosts }}
		for step := range 100 {
			at := now.Add(time.Duration(step) * window / 100)
			b.First("svc", at)
			firsts++
			for range 5 {
				if b.Take("svc", 1, at) {
					repeats++
				}
			}
		}
	}
	assert.Assert(t, float64(repeats) <= ratio*float64(firsts)+slack, "%d repeats for %d requests", repeats, firsts)
	assert.Assert(t, repeats > 0)
}

// TestBudgetForgets guards against a budget that stays used up after its window.
func TestBudgetForgets(t *testing.T) {
	b := &Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	for b.Take("svc", 1, now) {
		continue
	}
	assert.Assert(t, !b.Take("svc", 1, now.Add(5*time.Second)))
	assert.Assert(t, b.Take("svc", 1, now.Add(12*time.Second)))
}

func engines(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i].Upstream = &fleet.Upstream{ID: api.UpstreamID(fmt.Sprintf("e%d", i)), DataCentre: api.DataCentre(fmt.Sprint("dc", i%3))}
	}
	return list
}

func prompt(id, session string) *fleet.Request {
	return &fleet.Request{ID: api.RequestID(id), Prompt: []fleet.PromptPart{{ID: "system", Tokens: 2500}, {ID: session, Tokens: 3800}, {ID: id, Tokens: 500}}}
}

// TestPlacementKeepsPrefixes guards against requests of one session that meet at
// different engines, and against a session that holds on to an engine which is busy or can't be reached.
func TestPlacementKeepsPrefixes(t *testing.T) {
	now := time.Unix(1000, 0)
	list := engines(12)
	owner := PlaceGeneration(list, prompt("r1", "session"), "", nil, now)
	for i := range 20 {
		assert.Equal(t, PlaceGeneration(list, prompt(fmt.Sprint("r", i), "session"), "", nil, now).ID, owner.ID)
	}
	used := map[api.UpstreamID]int{}
	for i := range 200 {
		used[PlaceGeneration(list, prompt("r", fmt.Sprint("session", i)), "", nil, now).ID]++
	}
	assert.Equal(t, len(used), 12)
	for i := range list {
		if list[i].Upstream == owner {
			list[i].Health = Health{Running: 30, Tokens: 100_000, Seen: now}
		}
	}
	assert.Assert(t, PlaceGeneration(list, prompt("r1", "session"), "", nil, now).ID != owner.ID)
	for i := range list {
		if list[i].Upstream == owner {
			list[i].Health = Health{Until: now.Add(time.Second)}
		}
	}
	assert.Assert(t, PlaceGeneration(list, prompt("r1", "session"), "", nil, now).ID != owner.ID)
}

// TestLeastBusySpreadsLoad plays requests that stay for a while: no upstream may get
// more than its share by half, and one that fails gets little.
func TestLeastBusySpreadsLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	list := engines(4)
	for i := range list {
		list[i].Upstream.Slots = 6
	}
	list[3].Health = Health{Failures: 0.9, Seen: now}
	got := map[api.UpstreamID]int{}
	for i := range 120 {
		chosen := LeastBusy(list, api.RequestID(fmt.Sprint(i)), nil, now)
		got[chosen.ID]++
		for k := range list {
			if list[k].Upstream == chosen {
				list[k].Health.Running = (list[k].Health.Running + 1) % 5
			}
		}
	}
	for id, count := range got {
		assert.Assert(t, count <= 60, "%s got %d of 120", id, count)
	}
	assert.Assert(t, got["e3"] < 12, "the failing upstream got %d of 120", got["e3"])
	assert.Assert(t, LeastBusy(nil, "x", nil, now) == nil)
	assert.Equal(t, LeastBusy(list[:1], "x", map[api.UpstreamID]bool{"e0": true}, now).ID, api.UpstreamID("e0"))
}
