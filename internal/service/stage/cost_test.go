package stage

import (
	"fmt"
	"testing"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
)

// loadedHarness returns a plan of 17 upstreams with 500 jobs, whose 5,000 items of first stages are
// queued.
func loadedHarness() *batchHarness {
	var services []*fleet.Service
	for _, name := range []api.ServiceName{"first", "second", "third"} {
		services = append(services, batchedService(name, 20))
	}
	b := newBatchHarness(services...)
	for i := range 17 {
		b.add(services[i%3].Name, api.DataCentre("a"))
	}
	for i := range 500 {
		b.submitJob(b.job(fmt.Sprint("r", i), i%3, time.Duration(1+i%4)*time.Second, 60*time.Second,
			Spec{Service: "first", Items: 10, ResultBytes: 8000},
			Spec{Service: "second", After: []int{0}, Items: 6, ResultBytes: 60_000}, Spec{Service: "third", After: []int{1}, Items: 10, ResultBytes: 6000}))
	}
	return b
}

// BenchmarkForecast measures the admission of a job beside 500 others.
func BenchmarkForecast(b *testing.B) {
	h := loadedHarness()
	job := h.job("next", 1, 2*time.Second, 60*time.Second, h.jobs["r0"].Job.Stages...)
	for b.Loop() {
		h.forecast(&job, h.now)
	}
}

// BenchmarkDispatch measures the dispatch of calls from a queue of 5,000 items.
func BenchmarkDispatch(b *testing.B) {
	h := loadedHarness()
	for b.Loop() {
		for _, call := range h.dispatch(h.now) {
			h.complete(call, nil, FailureFull, h.now)
			call.Worker.cooldownUntil = time.Time{}
		}
	}
}
