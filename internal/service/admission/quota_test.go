package admission

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// TestQuotaHoldsOverAllHosts guards against a limit that grows with the number of hosts: in
// any order of requests, all hosts together stay within it.
func TestQuotaHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		clock := func() time.Time { return now }
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		home := &Quota{Clock: clock, Limit: func(api.WorkspaceName) (float64, float64) { return rate, burst }}
		hosts := []*Quota{home}
		for range 3 {
			hosts = append(hosts, &Quota{
				Clock: clock, Hosts: func() int { return 4 }, IsHome: func(api.WorkspaceName) bool { return false },
				Grant: func(_ context.Context, w api.WorkspaceName, want float64) (float64, error) {
					return home.IssueGrant(w, want), nil
				},
			})
		}
		start, admitted := now, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			err := hosts[rapid.IntRange(0, 3).Draw(t, "host")].Take(context.Background(), "w", rate, burst)
			if err == nil {
				admitted++
				continue
			}
			assert.Equal(t, fault.KindOf(err), api.KindWorkspaceLimit)
			assert.Equal(t, fault.RunStateOf(err), api.RunNo)
		}
		bound := burst + rate*now.Sub(start).Seconds()
		assert.Assert(t, float64(admitted) <= bound+0.001, "%d admitted, the limit is %g", admitted, bound)
	})
}

// TestQuotaFallsBackToLocalShare guards against a host that refuses everything, or nothing,
// while the home host is unreachable.
func TestQuotaFallsBackToLocalShare(t *testing.T) {
	now := time.Now()
	asked := 0
	q := &Quota{
		Clock: func() time.Time { return now }, Hosts: func() int { return 4 }, IsHome: func(api.WorkspaceName) bool { return false },
		Grant: func(context.Context, api.WorkspaceName, float64) (float64, error) {
			asked++
			return 0, errors.New("unreachable")
		},
	}
	admitted := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if q.Take(t.Context(), "w", 40, 40) == nil {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 100 && admitted <= 112, "%d admitted of 400 for all hosts", admitted)
	assert.Assert(t, asked <= 11, "%d grant requests in 10 s", asked)
}

// TestQuotaAsksOnceAtATime guards against one grant request to the home host for each request
// of a burst.
func TestQuotaAsksOnceAtATime(t *testing.T) {
	var asked, inFlight atomic.Int64
	q := &Quota{
		IsHome: func(api.WorkspaceName) bool { return false },
		Grant: func(_ context.Context, _ api.WorkspaceName, want float64) (float64, error) {
			asked.Add(1)
			assert.Equal(t, inFlight.Add(1), int64(1))
			time.Sleep(5 * time.Millisecond)
			inFlight.Add(-1)
			return want, nil
		},
	}
	var wait sync.WaitGroup
	for range 200 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			assert.Check(t, q.Take(t.Context(), "w", 10, 10))
		}()
	}
	wait.Wait()
	assert.Assert(t, asked.Load() <= 20, "%d grant requests for 200 requests", asked.Load())
}

// TestQuotaMemoryIsBounded guards against keeping the buckets of workspaces that were removed
// long ago.
func TestQuotaMemoryIsBounded(t *testing.T) {
	now := time.Now()
	q := &Quota{Clock: func() time.Time { return now }}
	for i := range 5 * minSweepBuckets {
		now = now.Add(time.Second)
		assert.NilError(t, q.Take(t.Context(), api.WorkspaceName(fmt.Sprint(i)), 1, 1))
	}
	assert.Assert(t, len(q.buckets) <= minSweepBuckets, "%d buckets", len(q.buckets))
}

// BenchmarkQuota measures taking one token at the home host with the workspaces of the target
// size.
func BenchmarkQuota(b *testing.B) {
	q := &Quota{}
	names := workspaceNames()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		_ = q.Take(context.Background(), names[i%len(names)], 1e6, 1e6)
		i++
	}
}
