package retry

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/metric"
)

// TestBudgetBoundsExtraAttempts guards against retries that multiply the load
// when every attempt fails, also under concurrent use.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	start := time.Now()
	budget := &Budget{Metrics: metric.New(), Clock: func() time.Time { return start }}
	var wait sync.WaitGroup
	for range 10 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range 1000 {
				budget.RecordFirst(0.1)
				budget.Allow(ReasonDial)
				budget.Allow(ReasonHedge)
			}
		}()
	}
	wait.Wait()
	counts := budget.Metrics.Counters()
	granted := counts["retry.dial_failed"] + counts["retry.hedge"]
	assert.Assert(t, granted <= 1000+reserveCredit/creditPerAttempt, "granted %d", granted)
	assert.Assert(t, granted >= 1000, "granted %d", granted)
	assert.Equal(t, granted+counts["retry.refused.dial_failed"]+counts["retry.refused.hedge"], int64(20_000))
}

// TestBudgetGrantsMinimum guards against a host with little traffic that can never retry
// again once its credit is used up.
func TestBudgetGrantsMinimum(t *testing.T) {
	now := time.Now()
	budget := &Budget{Clock: func() time.Time { return now }}
	for budget.Allow(ReasonStatus) {
	}
	now = now.Add(freeAttemptInterval)
	assert.Assert(t, budget.Allow(ReasonStatus))
	assert.Assert(t, !budget.Allow(ReasonStatus))
}

// TestBudgetChargeDelaysRetries guards against resumed streams that are not counted
// against the share.
func TestBudgetChargeDelaysRetries(t *testing.T) {
	start := time.Now()
	budget := &Budget{Clock: func() time.Time { return start }}
	for range reserveCredit/creditPerAttempt + 2 {
		budget.Charge(ReasonResume)
	}
	for range 20 {
		budget.RecordFirst(0.1)
	}
	assert.Assert(t, !budget.Allow(ReasonHedge))
	for range 10 {
		budget.RecordFirst(0.1)
	}
	assert.Assert(t, budget.Allow(ReasonHedge))
}
