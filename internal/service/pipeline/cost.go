package pipeline

import (
	"time"

	"redwingloft/internal/data/work"
	"redwingloft/internal/service/upstream"
)

// charge is what one attempt used of an upstream.
type charge struct {
	seconds float64
	// prompt counts the uncached prompt tokens, where reported is true.
	prompt   int
	reported bool
	// tokens counts the generated tokens.
	tokens int
	// lost is true where no part of the result was used.
	lost bool
}

// charge accounts for an attempt with a result. One that was not sent has used nothing.
// The dial and the wait for a connection are not part of the occupied time.
func (r *stageRun) charge(from *attempt, result attemptResult, lost bool) {
	if result.err != nil && upstream.IsErrNotSent(result.err) {
		return
	}
	r.charges = append(r.charges, charge{
		seconds: result.occupied.Seconds(), reported: result.output.PromptTokens > 0,
		prompt: result.output.PromptTokens - result.output.CachedTokens,
		tokens: max(result.output.Tokens, from.passed), lost: lost,
	})
}

// settle computes the cost of the stage. A canceled attempt that has not returned
// yet is charged up to its cancellation, which ends the upstream's work.
func (r *stageRun) settle(accepted work.Output) {
	for _, lost := range r.losers {
		select {
		case result := <-lost.done:
			r.charge(lost.attempt, result, true)
		default:
			r.charges = append(r.charges, charge{seconds: lost.canceled.Sub(lost.start).Seconds(), lost: true})
		}
	}
	for _, c := range r.charges {
		amount := r.price(c, accepted)
		r.cost.Cost += amount
		if c.lost {
			r.cost.LostCost += amount
		}
	}
}

// price returns the cost of a charge. A broken or canceled attempt does not report
// its prompt, which was that of the accepted one.
func (r *stageRun) price(c charge, accepted work.Output) float64 {
	prompt := c.prompt
	if !c.reported {
		prompt = accepted.PromptTokens - accepted.CachedTokens
	}
	tokens := float64(prompt+c.tokens) / 1000
	return c.seconds*float64(r.group.CostPerSecond) + tokens*float64(r.group.CostPerThousandTokens)
}

// elapsed returns the milliseconds from start to end.
func elapsed(start, end time.Time) float64 { return float64(end.Sub(start).Microseconds()) / 1000 }
