package pipeline

import (
	"time"

	"redwingloft/internal/data/work"
	"redwingloft/internal/service/upstream"
)

// charge is the upstream usage of one attempt.
type charge struct {
	seconds float64
	// promptTokens is the number of uncached prompt tokens, valid only if promptReported is set.
	promptTokens   int
	promptReported bool
	// generatedTokens is the number of generated tokens.
	generatedTokens int
	// lost is set if no part of the result was used.
	lost bool
}

// addCharge records the usage of an attempt that has returned. An attempt that was not sent
// is free. Dialing and waiting for a connection are not part of the elapsed time.
func (r *stageRun) addCharge(a *attempt, result attemptResult, lost bool) {
	if result.err != nil && upstream.IsErrNotSent(result.err) {
		return
	}
	r.charges = append(r.charges, charge{
		seconds: result.elapsed.Seconds(), promptReported: result.output.PromptTokens > 0,
		promptTokens:    result.output.PromptTokens - result.output.CachedTokens,
		generatedTokens: max(result.output.Tokens, a.receivedTokens), lost: lost,
	})
}

// computeCost computes the cost of the stage. A canceled attempt that has not returned
// yet is charged up to its cancellation, which stops the work at the upstream.
func (r *stageRun) computeCost(accepted work.Output) {
	for _, lost := range r.losers {
		select {
		case result := <-lost.done:
			r.addCharge(lost.attempt, result, true)
		default:
			r.charges = append(r.charges, charge{seconds: lost.canceled.Sub(lost.start).Seconds(), lost: true})
		}
	}
	for _, c := range r.charges {
		amount := r.chargeCost(c, accepted)
		r.cost.Cost += amount
		if c.lost {
			r.cost.LostCost += amount
		}
	}
}

// chargeCost returns the cost of a charge. A failed or canceled attempt does not report
// its prompt tokens, so those of the accepted attempt are used.
func (r *stageRun) chargeCost(c charge, accepted work.Output) float64 {
	prompt := c.promptTokens
	if !c.promptReported {
		prompt = accepted.PromptTokens - accepted.CachedTokens
	}
	tokens := float64(prompt+c.generatedTokens) / 1000
	return c.seconds*float64(r.group.CostPerSecond) + tokens*float64(r.group.CostPerThousandTokens)
}

// elapsedMs returns the milliseconds from start to end.
func elapsedMs(start, end time.Time) float64 { return float64(end.Sub(start).Microseconds()) / 1000 }
