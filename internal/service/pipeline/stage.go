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
	// maxFailures bounds the failed attempts of a stage in a row without a token.
	maxFailures = 4
	// maxAttempts bounds all attempts of a stage; those of a stream that gets on
	// between failures may exceed maxFailures.
	maxAttempts = 16
	// maxHedgeMedians bounds the hedge delay in medians.
	maxHedgeMedians = 4
	// minHedgeDelay keeps scheduling jitter from sending hedges.
	minHedgeDelay = 2 * time.Millisecond
	// samePause is the wait before an upstream is tried again because there is no other; it doubles.
	samePause = 20 * time.Millisecond
)

// stageRun is one stage of one request. Only the goroutine of Run touches it.
type stageRun struct {
	executor *Executor
	request  *Request
	state    *runState
	index    int
	stage    *document.Stage
	group    *document.Group
	codec    kernel.Codec
	prompt   affinity
	measured *stageLatency
	// input is the input of the next attempt.
	input work.Input
	// emit gets the tokens of the last stage; nil elsewhere.
	emit func(work.Token) error
	cost api.StageCost

	// current is the attempt that the stage waits for; hedge runs beside it.
	current, hedge *attempt
	// timer fires when a hedge is due; nil where none may be sent.
	timer *time.Timer
	// text and tokens are the received answer, Request.Partial included.
	text   strings.Builder
	tokens int
	// failures counts failed attempts in a row without a token.
	failures int
	tried    []*upstream.Instance
	charges  []charge
	// losers are canceled attempts whose result was not waited for.
	losers []loser
}

type loser struct {
	*attempt
	canceled time.Time
}

// race runs attempts until one is accepted.
func (r *stageRun) race(ctx context.Context) (work.Output, error) {
	if r.complete() {
		return work.Output{}, nil
	}
	if err := r.launchFirst(ctx); err != nil {
		return work.Output{}, err
	}
	defer r.stopTimer()
	for {
		var output work.Output
		var end bool
		var err error
		select {
		case token := <-r.current.emitted():
			err = r.pass(r.current, token)
		case token := <-r.hedge.emitted():
			err = r.pass(r.hedge, token)
		case result := <-r.current.finished():
			output, end, err = r.finish(ctx, r.current, result)
		case result := <-r.hedge.finished():
			output, end, err = r.finish(ctx, r.hedge, result)
		case <-r.hedgeDue():
			r.sendHedge(ctx)
		case <-ctx.Done():
			err = r.timedOut(ctx)
		}
		if err != nil {
			r.abandon()
			return output, err
		}
		if end {
			return output, nil
		}
	}
}

// complete reports whether the text has its full length, as when a stream breaks
// between its last token and its end. The bound left would be 0, which upstreams
// read as no bound.
func (r *stageRun) complete() bool {
	return r.stage.Kind == document.StageGenerate && r.input.MaxTokens > 0 && r.tokens >= r.input.MaxTokens
}

func (r *stageRun) launchFirst(ctx context.Context) error {
	if ctx.Err() != nil {
		return r.timedOut(ctx)
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
	return r.executor.Router.Pick(r.executor.Table.AvailableInstances(r.group.Name), r.prompt.query(r.request.Snapshot, avoid))
}

func (r *stageRun) launch(ctx context.Context, instance *upstream.Instance) *attempt {
	r.input.Partial, r.input.PartialTokens = r.text.String(), r.tokens
	r.tried = append(r.tried, instance)
	r.cost.Attempts++
	ctx, cancel := context.WithCancel(ctx)
	launched := &attempt{
		instance: instance, cancel: cancel, start: time.Now(), answered: r.prompt.routed(instance),
		tokens: make(chan work.Token), done: make(chan attemptResult, 1),
	}
	go launched.run(ctx, r.executor.Send, r.codec, r.input)
	return launched
}

// startTimer starts the wait for a hedge of the current attempt, where one may be sent.
func (r *stageRun) startTimer() {
	r.stopTimer()
	if r.executor.NoHedge || r.streaming() {
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

// hedgeDue returns the channel of the timer; nil, which blocks, where none runs.
func (r *stageRun) hedgeDue() <-chan time.Time {
	if r.timer == nil {
		return nil
	}
	return r.timer.C
}

// streaming reports whether a part of the text was received or passed on.
func (r *stageRun) streaming() bool { return r.text.Len() > 0 || r.tokens > 0 }

// sendHedge starts a second attempt beside the current one where the budget allows it.
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

// pass takes a token. The first one decides between the attempts.
func (r *stageRun) pass(from *attempt, token work.Token) error {
	if from.passed == 0 {
		r.measureFirst(from, time.Now())
	}
	r.prefer(from)
	from.passed += token.Count
	r.text.WriteString(token.Text)
	r.tokens += token.Count
	r.failures = 0
	r.state.answered = true
	if r.emit == nil {
		return nil
	}
	if err := r.emit(token); err != nil {
		return r.callerGone(err)
	}
	return nil
}

// measureFirst records the time of an attempt to its first token or result. A
// continued stream has a longer prompt and is left out.
func (r *stageRun) measureFirst(from *attempt, now time.Time) {
	if !r.streaming() {
		r.measured.first.Record(now.Sub(from.start), now)
	}
}

// prefer makes an attempt the current one and cancels the other.
func (r *stageRun) prefer(winner *attempt) {
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

// finish takes the result of an attempt. End is true where the stage is done.
func (r *stageRun) finish(ctx context.Context, from *attempt, result attemptResult) (output work.Output, end bool, err error) {
	if result.err == nil {
		if from.passed == 0 {
			r.measureFirst(from, result.end)
		}
		r.prefer(from)
		r.current = nil
		r.state.answered = true
		from.answered(result.output)
		r.charge(from, result, false)
		return result.output, true, nil
	}
	r.fail(from, result)
	if r.current != nil {
		return work.Output{}, false, nil
	}
	if r.complete() {
		return result.output, true, nil
	}
	return work.Output{}, false, r.retry(ctx, result.err)
}

// fail accounts for a failed attempt and leaves the other one, if any, as the current.
func (r *stageRun) fail(from *attempt, result attemptResult) {
	if from == r.current {
		r.current = r.hedge
	}
	r.hedge = nil
	r.failures++
	r.state.sent = r.state.sent || !upstream.IsErrNotSent(result.err)
	r.charge(from, result, from.passed == 0)
}

// retry starts the next attempt after a failure, or returns the error of the stage.
func (r *stageRun) retry(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return r.timedOut(ctx)
	}
	reason, repeatable := reasonOf(cause)
	if !repeatable || r.failures >= maxFailures || r.cost.Attempts >= maxAttempts {
		return r.failed(cause)
	}
	instance, err := r.pickAgain(ctx)
	if err != nil {
		return err
	}
	switch {
	case instance == nil:
		return r.failed(cause)
	case r.streaming():
		// The caller has a part of the text: the rest is owed, whatever the budget says.
		r.executor.Budget.Charge(retry.ReasonResume)
	case !r.executor.Budget.Allow(reason):
		return r.failed(cause)
	}
	r.current = r.launch(ctx, instance)
	r.startTimer()
	return nil
}

// pickAgain returns an upstream that was not tried or, after a pause, any.
func (r *stageRun) pickAgain(ctx context.Context) (*upstream.Instance, error) {
	if instance := r.pick(r.tried); instance != nil {
		return instance, nil
	}
	pause := time.NewTimer(samePause << max(r.failures-1, 0))
	defer pause.Stop()
	select {
	case <-pause.C:
		return r.pick(nil), nil
	case <-ctx.Done():
		return nil, r.timedOut(ctx)
	}
}

// abandon cancels the attempts under way and takes their results: they tell
// whether the request was sent, and a canceled send returns at once.
func (r *stageRun) abandon() {
	for _, under := range []*attempt{r.current, r.hedge} {
		if under == nil {
			continue
		}
		under.cancel()
		result := <-under.done
		r.state.sent = r.state.sent || result.err == nil || !upstream.IsErrNotSent(result.err)
		r.charge(under, result, under.passed == 0)
	}
	r.current, r.hedge = nil, nil
}
