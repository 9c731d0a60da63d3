package pipeline

import (
	"context"
	"strings"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	"redwingloft/internal/kernel"
	"redwingloft/internal/service/retry"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

const (
	// maxFailures limits the consecutive failed attempts of a stage without a token.
	maxFailures = 4
	// maxAttempts limits all attempts of a stage; a stream that makes progress
	// between failures may exceed maxFailures.
	maxAttempts = 16
	// maxHedgeMedians is the maximum hedge delay as a multiple of the median.
	maxHedgeMedians = 4
	// minHedgeDelay prevents hedges due to scheduling jitter.
	minHedgeDelay = 2 * time.Millisecond
	// sameUpstreamDelay is the delay before a retry at the same upstream if there is no other one; it doubles.
	sameUpstreamDelay = 20 * time.Millisecond
)

// stageRun is the execution of one stage of a request. Only the goroutine of Run uses it.
type stageRun struct {
	executor *Executor
	request  *Request
	state    *runState
	index    int
	stage    *document.Stage
	group    *document.Group
	codec    kernel.Codec
	affinity affinity
	latency  *stageLatency
	// input is the input of the next attempt.
	input work.Input
	// emit receives the tokens of the last stage; nil for the other stages.
	emit func(work.Token) error
	cost api.StageCost

	// current is the attempt in progress; hedge runs in parallel to it.
	current, hedge *attempt
	// timer fires when a hedge is due; nil if none may be sent.
	timer *time.Timer
	// text and tokens are the response received so far, including Request.Partial.
	text   strings.Builder
	tokens int
	// failures is the number of consecutive failed attempts without a token.
	failures int
	tried    []*upstream.Instance
	charges  []charge
	// losers are canceled attempts whose results were not awaited.
	losers []loser
}

type loser struct {
	*attempt
	canceled time.Time
}

// runAttempts runs attempts, with hedges and retries, until one is accepted.
func (r *stageRun) runAttempts(ctx context.Context) (work.Output, error) {
	if r.complete() {
		return work.Output{}, nil
	}
	if err := r.launchFirst(ctx); err != nil {
		return work.Output{}, err
	}
	defer r.stopTimer()
	for {
		var output work.Output
		var done bool
		var err error
		select {
		case token := <-r.current.tokenChan():
			err = r.handleToken(r.current, token)
		case token := <-r.hedge.tokenChan():
			err = r.handleToken(r.hedge, token)
		case result := <-r.current.resultChan():
			output, done, err = r.handleResult(ctx, r.current, result)
		case result := <-r.hedge.resultChan():
			output, done, err = r.handleResult(ctx, r.hedge, result)
		case <-r.hedgeTimerChan():
			r.sendHedge(ctx)
		case <-ctx.Done():
			err = r.contextError(ctx)
		}
		if err != nil {
			r.cancelAttempts()
			return output, err
		}
		if done {
			return output, nil
		}
	}
}

// complete reports whether the text has reached its maximum length, as when a stream
// breaks after its last token. The remaining limit would be 0, which upstreams read
// as unlimited.
func (r *stageRun) complete() bool {
	return r.stage.Kind == document.StageGenerate && r.input.MaxTokens > 0 && r.tokens >= r.input.MaxTokens
}

func (r *stageRun) launchFirst(ctx context.Context) error {
	if ctx.Err() != nil {
		return r.contextError(ctx)
	}
	instance := r.pick(r.tried)
	if instance == nil {
		return r.noUpstream()
	}
	r.executor.Budget.RecordFirst(r.request.Snapshot.Limits.RetryShare)
	r.current = r.launch(ctx, instance)
	r.startTimer()
	return nil
}

func (r *stageRun) pick(avoid []*upstream.Instance) *upstream.Instance {
	return r.executor.Router.Pick(r.executor.Table.AvailableInstances(r.group.Name), r.affinity.query(r.request.Snapshot, avoid))
}

func (r *stageRun) launch(ctx context.Context, instance *upstream.Instance) *attempt {
	r.input.Partial, r.input.PartialTokens = r.text.String(), r.tokens
	r.tried = append(r.tried, instance)
	r.cost.Attempts++
	ctx, cancel := context.WithCancel(ctx)
	launched := &attempt{
		instance: instance, cancel: cancel, start: time.Now(), recordResponse: r.affinity.recordRoute(instance),
		tokens: make(chan work.Token), done: make(chan attemptResult, 1),
	}
	go launched.run(ctx, r.executor.Send, r.codec, r.input)
	return launched
}

// startTimer starts the hedge timer of the current attempt if a hedge may be sent.
func (r *stageRun) startTimer() {
	r.stopTimer()
	if r.executor.DisableHedging || r.streaming() {
		return
	}
	if delay := r.hedgeDelay(); delay > 0 {
		r.timer = time.NewTimer(delay)
	}
}

func (r *stageRun) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
}

// hedgeTimerChan returns the channel of the hedge timer, or nil, which blocks forever, without one.
func (r *stageRun) hedgeTimerChan() <-chan time.Time {
	if r.timer == nil {
		return nil
	}
	return r.timer.C
}

// streaming reports whether a part of the text was received, in this run or an earlier one.
func (r *stageRun) streaming() bool { return r.text.Len() > 0 || r.tokens > 0 }

// sendHedge starts a second attempt in parallel to the current one if the budget allows it.
func (r *stageRun) sendHedge(ctx context.Context) {
	if r.hedge != nil || r.streaming() {
		return
	}
	instance := r.pick(r.tried)
	if instance == nil || !r.executor.Budget.Allow(retry.ReasonHedge) {
		return
	}
	r.hedge = r.launch(ctx, instance)
}

// handleToken adds a token to the response and emits it. The first token selects its attempt.
func (r *stageRun) handleToken(a *attempt, token work.Token) error {
	if a.receivedTokens == 0 {
		r.recordFirstToken(a, time.Now())
	}
	r.selectAttempt(a)
	a.receivedTokens += token.Count
	r.text.WriteString(token.Text)
	r.tokens += token.Count
	r.failures = 0
	r.state.responded = true
	if r.emit == nil {
		return nil
	}
	if err := r.emit(token); err != nil {
		return r.callerGone(err)
	}
	return nil
}

// recordFirstToken records the time of an attempt to its first token or result. A
// resumed stream is excluded, as its prompt is longer.
func (r *stageRun) recordFirstToken(a *attempt, now time.Time) {
	if !r.streaming() {
		r.latency.firstToken.Record(now.Sub(a.start), now)
	}
}

// selectAttempt makes an attempt the current one and cancels the other one.
func (r *stageRun) selectAttempt(winner *attempt) {
	other := r.hedge
	if winner == r.hedge {
		other = r.current
	}
	r.current, r.hedge = winner, nil
	if other != nil {
		other.cancel()
		r.state.sent = true
		r.losers = append(r.losers, loser{other, time.Now()})
	}
}

// handleResult processes the result of an attempt. It returns true if the stage is done.
func (r *stageRun) handleResult(ctx context.Context, a *attempt, result attemptResult) (output work.Output, done bool, err error) {
	if result.err == nil {
		if a.receivedTokens == 0 {
			r.recordFirstToken(a, result.end)
		}
		r.selectAttempt(a)
		r.current = nil
		r.state.responded = true
		a.recordResponse(result.output)
		r.addCharge(a, result, false)
		return result.output, true, nil
	}
	r.recordFailure(a, result)
	if r.current != nil {
		return work.Output{}, false, nil
	}
	if r.complete() {
		return result.output, true, nil
	}
	return work.Output{}, false, r.retry(ctx, result.err)
}

// recordFailure records a failed attempt and makes the other one, if any, the current one.
func (r *stageRun) recordFailure(a *attempt, result attemptResult) {
	if a == r.current {
		r.current = r.hedge
	}
	r.hedge = nil
	r.failures++
	r.state.sent = r.state.sent || !upstream.IsErrNotSent(result.err)
	r.addCharge(a, result, a.receivedTokens == 0)
}

// retry starts the next attempt after a failure, or returns the error of the stage.
func (r *stageRun) retry(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return r.contextError(ctx)
	}
	reason, retryable := retryReason(cause)
	if !retryable || r.failures >= maxFailures || r.cost.Attempts >= maxAttempts {
		return r.stageError(cause)
	}
	instance, err := r.pickForRetry(ctx)
	if err != nil {
		return err
	}
	switch {
	case instance == nil:
		return r.stageError(cause)
	case r.streaming():
		// The caller already has a part of the text, so a resume ignores the budget.
		r.executor.Budget.Charge(retry.ReasonResume)
	case !r.executor.Budget.Allow(reason):
		return r.stageError(cause)
	}
	r.current = r.launch(ctx, instance)
	r.startTimer()
	return nil
}

// pickForRetry returns an upstream without an attempt so far or, after a delay, any upstream.
func (r *stageRun) pickForRetry(ctx context.Context) (*upstream.Instance, error) {
	if instance := r.pick(r.tried); instance != nil {
		return instance, nil
	}
	delay := time.NewTimer(sameUpstreamDelay << max(r.failures-1, 0))
	defer delay.Stop()
	select {
	case <-delay.C:
		return r.pick(nil), nil
	case <-ctx.Done():
		return nil, r.contextError(ctx)
	}
}

// cancelAttempts cancels the attempts in progress and waits for their results, which show
// whether the request was sent. A canceled send returns at once.
func (r *stageRun) cancelAttempts() {
	for _, a := range []*attempt{r.current, r.hedge} {
		if a == nil {
			continue
		}
		a.cancel()
		result := <-a.done
		r.state.sent = r.state.sent || result.err == nil || !upstream.IsErrNotSent(result.err)
		r.addCharge(a, result, a.receivedTokens == 0)
	}
	r.current, r.hedge = nil, nil
}
