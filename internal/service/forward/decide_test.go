package forward

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/directory"
	"redwingloft/pkg/api"
	"redwingloft/standin/platform"
)

// TestNext guards against a retry of a non-idempotent request that may have run, and
// against a refusal that reports such a request as not run.
func TestNext(t *testing.T) {
	nonIdempotent := &fleet.Route{Kind: fleet.KindNonIdempotent, MaxAttempts: 3}
	idempotent := &fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}
	stream := &fleet.Route{Kind: fleet.KindStreaming, MaxAttempts: 2}
	resumable := &fleet.Route{Kind: fleet.KindStreaming, MaxAttempts: 2, Resumable: true}
	for _, c := range []struct {
		route   *fleet.Route
		history AttemptCounts
		result  Result
		left    time.Duration
		want    Action
	}{
		{nonIdempotent, AttemptCounts{MayHaveRun: 1}, ResultAnswered, time.Second, ActionDeliver},
		{nonIdempotent, AttemptCounts{MayHaveRun: 1}, ResultServerError, time.Second, ActionDeliver},
		{nonIdempotent, AttemptCounts{MayHaveRun: 1}, ResultLost, time.Second, ActionFail},
		{nonIdempotent, AttemptCounts{NotRun: 1}, ResultNotRun, time.Second, ActionRetry},
		{nonIdempotent, AttemptCounts{NotRun: 1}, ResultNotRun, 0, ActionRefuse},
		{nonIdempotent, AttemptCounts{NotRun: maxNotRunAttempts}, ResultNotSent, time.Second, ActionRefuse},
		{idempotent, AttemptCounts{MayHaveRun: 1}, ResultLost, time.Second, ActionRetry},
		{idempotent, AttemptCounts{MayHaveRun: 2}, ResultLost, time.Second, ActionFail},
		{idempotent, AttemptCounts{MayHaveRun: 1}, ResultServerError, time.Second, ActionRetry},
		{idempotent, AttemptCounts{MayHaveRun: 2}, ResultServerError, time.Second, ActionDeliver},
		{idempotent, AttemptCounts{MayHaveRun: 1, NotRun: maxNotRunAttempts}, ResultNotRun, time.Second, ActionFail},
		{stream, AttemptCounts{MayHaveRun: 1}, ResultLost, time.Second, ActionFail},
		{resumable, AttemptCounts{MayHaveRun: 1}, ResultLost, time.Second, ActionRetry},
	} {
		got := NextAction(c.route, c.history, c.result, c.left)
		assert.Equal(t, got, c.want, "%s %+v %s", c.route.Kind, c.history, c.result)
	}
}

// TestNextNeverRetriesNonIdempotent checks over random histories that a non-idempotent
// request is not retried after an attempt that may have run.
func TestNextNeverRetriesNonIdempotent(t *testing.T) {
	results := []Result{ResultAnswered, ResultServerError, ResultNotRun, ResultNotSent, ResultLost}
	rapid.Check(t, func(t *rapid.T) {
		route := &fleet.Route{Kind: fleet.KindNonIdempotent, MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts")}
		var history AttemptCounts
		for {
			result := rapid.SampledFrom(results).Draw(t, "result")
			history.Add(result)
			action := NextAction(route, history, result, time.Second)
			if action == ActionRetry && history.MayHaveRun > 0 {
				t.Fatalf("retried after %+v", history)
			}
			if action == ActionRefuse && history.MayHaveRun > 0 {
				t.Fatalf("reported as not run after %+v", history)
			}
			if action != ActionRetry {
				return
			}
		}
	})
}

// TestBudgetBoundsAllHosts guards against hosts that together exceed the retry limit in a
// window.
func TestBudgetBoundsAllHosts(t *testing.T) {
	const hosts, slack, ratio = 7, 54, 0.2
	window := 10 * time.Second
	now := time.Unix(1000, 0)
	retries, firsts := 0, 0
	for range hosts {
		b := &Budget{Ratio: ratio, Slack: slack, Window: window, Hosts: func() int { return hosts }}
		for step := range 100 {
			at := now.Add(time.Duration(step) * window / 100)
			b.RecordFirst("svc", at)
			firsts++
			for range 5 {
				if b.Allow("svc", 1, at) {
					retries++
				}
			}
		}
	}
	assert.Assert(t, float64(retries) <= ratio*float64(firsts)+slack, "%d retries for %d requests", retries, firsts)
	assert.Assert(t, retries > 0)
}

// TestBudgetRecovers guards against a budget that stays exhausted after its window.
func TestBudgetRecovers(t *testing.T) {
	b := &Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	for b.Allow("svc", 1, now) {
		continue
	}
	assert.Assert(t, !b.Allow("svc", 1, now.Add(5*time.Second)))
	assert.Assert(t, b.Allow("svc", 1, now.Add(12*time.Second)))
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

// TestPlacementFollowsPrefix guards against requests of one session that go to different
// engines, and against a session that stays on an engine that is overloaded or unreachable.
func TestPlacementFollowsPrefix(t *testing.T) {
	now := time.Unix(1000, 0)
	list := engines(12)
	owner := SelectEngine(list, prompt("r1", "session"), "", nil, now)
	for i := range 20 {
		assert.Equal(t, SelectEngine(list, prompt(fmt.Sprint("r", i), "session"), "", nil, now).ID, owner.ID)
	}
	used := map[api.UpstreamID]int{}
	for i := range 200 {
		used[SelectEngine(list, prompt("r", fmt.Sprint("session", i)), "", nil, now).ID]++
	}
	assert.Equal(t, len(used), 12)
	for i := range list {
		if list[i].Upstream == owner {
			list[i].Health = Health{Running: 30, PendingTokens: 100_000, LastOutcome: now}
		}
	}
	assert.Assert(t, SelectEngine(list, prompt("r1", "session"), "", nil, now).ID != owner.ID)
	for i := range list {
		if list[i].Upstream == owner {
			list[i].Health = Health{CooldownUntil: now.Add(time.Second)}
		}
	}
	assert.Assert(t, SelectEngine(list, prompt("r1", "session"), "", nil, now).ID != owner.ID)
}

// TestLeastBusySpreadsLoad simulates requests that stay in flight for a while. It guards
// against an upstream that gets half of all requests, and against one that fails and still
// gets a tenth.
func TestLeastBusySpreadsLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	list := engines(4)
	for i := range list {
		list[i].Upstream.Slots = 6
	}
	list[3].Health = Health{FailureRate: 0.9, LastOutcome: now}
	got := map[api.UpstreamID]int{}
	for i := range 120 {
		chosen := LeastLoaded(list, api.RequestID(fmt.Sprint(i)), nil, now)
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
	assert.Assert(t, LeastLoaded(nil, "x", nil, now) == nil)
	assert.Equal(t, LeastLoaded(list[:1], "x", map[api.UpstreamID]bool{"e0": true}, now).ID, api.UpstreamID("e0"))
}

// TestRefusalAfterLostResponseIsNotCalledNotRun guards against a request that an upstream may have
// run, and whose retry is refused, being called not run.
func TestRefusalAfterLostResponseIsNotCalledNotRun(t *testing.T) {
	refusal := fault.New(api.KindDeadlineUnreachable, "the stages can't be run in time")
	noUpstream := func(f *fixture, release func()) {
		release()
		full := f.View()
		f.View = func() *directory.View {
			if f.totalRuns() > 0 {
				return &directory.View{Snapshot: full.Snapshot}
			}
			return full
		}
	}
	for name, example := range map[string]struct {
		route  fleet.Route
		change func(f *fixture, release func())
	}{
		"stages of the retry are refused": {fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2, Stages: []fleet.Stage{{Service: "stage"}}}, func(f *fixture, release func()) {
			f.RunStages = func(context.Context, *StageWork) (*StageResults, error) {
				if f.totalRuns() > 0 {
					return nil, refusal
				}
				return &StageResults{Inputs: []fleet.ResultRef{"1.2.3.4:5/r"}, Release: release}, nil
			}
		}},
		"no engine is left":   {fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, noUpstream},
		"no upstream is left": {fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, noUpstream},
	} {
		t.Run(name, func(t *testing.T) {
			released := make(chan struct{})
			lose := func(*bufio.Writer, platform.Request) bool {
				// A retry whose inputs are not released needs no stages.
				<-released
				return false
			}
			f := newFixture(t, example.route, lose, lose)
			example.change(f, sync.OnceFunc(func() { close(released) }))
			_, err := f.serve(t, func(r *fleet.Request) { r.Items = []int{1} })
			assert.Equal(t, f.totalRuns(), 1)
			assert.Equal(t, fault.RunStateOf(err), api.RunUnknown, "%v", err)
		})
	}
}

// TestRequestsLeftOfLimitAreUsed guards against engines that name a limit and get less than it, as
// other engines have the prefixes, while those get more than they can take.
func TestRequestsLeftOfLimitAreUsed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	used := 0
	const requests = 100
	for i := range requests {
		request := &fleet.Request{ID: api.RequestID(fmt.Sprint(i)), Prompt: []fleet.PromptPart{{ID: fmt.Sprint("p", i), Tokens: 6300}, {ID: "own", Tokens: 2000}}}
		candidates := []Candidate{{Upstream: &fleet.Upstream{ID: "limited"}, Limited: true}}
		for n := range 30 {
			candidates = append(candidates, Candidate{Upstream: &fleet.Upstream{ID: api.UpstreamID(fmt.Sprint("u", n))}, Health: Health{Running: 1}})
		}
		if SelectEngine(candidates, request, "", nil, now).ID == "limited" {
			used++
		}
	}
	assert.Equal(t, used, requests)
}
