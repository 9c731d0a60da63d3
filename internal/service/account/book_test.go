package account

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// TestSummaryAddsUp guards against a cost or a request missing from one of the views, and
// against errors of the callers lowering attainment.
func TestSummaryAddsUp(t *testing.T) {
	var accumulator Accumulator
	stages := []api.StageCost{{Stage: "encode", Attempts: 2, DurationMs: 5, Cost: 3, LostCost: 1}, {Stage: "generate", Attempts: 1, DurationMs: 7, Cost: 4}}
	for _, workspace := range []api.WorkspaceName{"b", "a"} {
		key := Key{Workspace: workspace, Pipeline: "plan", Version: "new"}
		accumulator.Add(key, stages, nil)
		accumulator.Add(key, stages[:1], fault.New(api.KindDeadlineExceeded, "late"))
		accumulator.Add(key, nil, fault.New(api.KindBadRequest, "bad"))
	}
	accumulator.Add(Key{Workspace: "a", Service: "bookings"}, nil, errors.New("other"))
	summary := accumulator.Summary()
	assert.Equal(t, summary.Total.Requests, int64(5))
	assert.Equal(t, summary.Total.Attained, int64(2))
	assert.Equal(t, summary.Total.Cost, 20.0)
	assert.Equal(t, summary.Total.LostCost, 4.0)
	assert.Equal(t, len(summary.Lines), 3)
	assert.Equal(t, len(summary.Versions), 2)
	plan := summary.Versions[1]
	assert.Equal(t, plan.Attainment, 0.5)
	assert.DeepEqual(t, plan.Stages, []Stage{
		{Stage: "encode", Runs: 4, Attempts: 8, DurationMs: 20, Cost: 12, LostCost: 4},
		{Stage: "generate", Runs: 2, Attempts: 2, DurationMs: 14, Cost: 8},
	})
	encoded, err := json.Marshal(summary)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(encoded), `"lost_cost":4`), "%s", encoded)
}

// TestLinesAreBounded guards against memory that grows with every workspace and version ever
// seen, and against losing their cost.
func TestLinesAreBounded(t *testing.T) {
	now := time.Now()
	accumulator := Accumulator{Clock: func() time.Time { return now }}
	const total = 2 * maxLines
	for i := range total {
		now = now.Add(time.Second)
		accumulator.Add(Key{Workspace: api.WorkspaceName(fmt.Sprint(i))}, []api.StageCost{{Stage: "s", Cost: 1}}, nil)
	}
	assert.Assert(t, len(accumulator.lines) <= maxLines)
	summary := accumulator.Summary()
	assert.Equal(t, summary.Total.Requests, int64(total))
	assert.Equal(t, summary.Total.Cost, float64(total))
}

// BenchmarkAdd measures recording one request of three stages with the workspaces of the
// target size.
func BenchmarkAdd(b *testing.B) {
	var accumulator Accumulator
	keys := make([]Key, 5100)
	for i := range keys {
		keys[i] = Key{Workspace: api.WorkspaceName(fmt.Sprint(i)), Pipeline: "plan", Version: "new"}
	}
	stages := []api.StageCost{{Stage: "encode"}, {Stage: "retrieve"}, {Stage: "generate"}}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		accumulator.Add(keys[i%len(keys)], stages, nil)
		i++
	}
}
