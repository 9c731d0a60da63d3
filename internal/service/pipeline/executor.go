// Package pipeline runs the stages of a request: it divides the deadline among
// them, retries and hedges within one budget, and resumes broken streams.
package pipeline

import (
	"context"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/kernel"
	"redwingloft/internal/service/retry"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// Request describes one run of a pipeline version.
type Request struct {
	ID        api.RequestID
	Workspace api.WorkspaceName
	Pipeline  api.PipelineName
	// Snapshot is the configuration under which the request runs from start to end.
	Snapshot *document.Snapshot
	Version  *document.Version
	Priority api.Priority
	// Item is the input of the first stage to run; for a resumed request it holds the results of earlier stages.
	Item work.State
	// FirstStage is the index of the first stage to run.
	FirstStage int
	// Partial is the text of the last stage that the caller has already received.
	Partial       string
	PartialTokens int
	// MaxTokens limits the text of the last stage, including Partial; 0 means the limit of the stage.
	MaxTokens int
}

// Observer holds the callbacks of a run, which are called in the goroutine of Run. Nil
// fields are skipped. An error means that the caller has disconnected and ends the run.
type Observer struct {
	// OnLastStage is called before the last stage with its input, from which any host can resume.
	OnLastStage func(stage int, item work.State) error
	// OnToken is called for each part of the response, in order.
	OnToken func(work.Token) error
}

// Result is the complete response of a run. After a failure, Stages ends with the failed stage.
type Result struct {
	// Text is the complete text, including Request.Partial.
	Text   string
	Tokens int
	Stages []api.StageCost
}

// Executor runs requests. Its methods are safe for concurrent use.
type Executor struct {
	Table  *upstream.Table
	Router *route.Router
	// Send sends one attempt; usually upstream.Sender.Do.
	Send func(context.Context, upstream.Attempt) error
	// Budget limits retries and hedges; with nil only the limits of a stage apply.
	Budget *retry.Budget
	// DisableHedging disables hedging.
	DisableHedging bool
	// DataCentre is the data centre of this host.
	DataCentre api.DataCentre

	latency latencyTable
}

// runState tracks whether upstreams may have run or did run a request.
type runState struct {
	// sent is set once an upstream may have received a part of the request.
	sent bool
	// responded is set once an upstream has returned a result or a token.
	responded bool
}

func (s *runState) state() api.RunState {
	switch {
	case s.responded:
		return api.RunYes
	case s.sent:
		return api.RunUnknown
	}
	return api.RunNo
}

// Run runs the stages of a request in order until the deadline of ctx. The run
// state of an error covers this run only, not an earlier one that it resumes.
func (x *Executor) Run(ctx context.Context, request Request, observer Observer) (Result, error) {
	result := Result{Stages: make([]api.StageCost, 0, len(request.Version.Stages)-request.FirstStage)}
	state := &runState{}
	item := request.Item
	last := len(request.Version.Stages) - 1
	for index := request.FirstStage; index <= last; index++ {
		stage := x.newStage(&request, state, index, item)
		if index == last {
			if err := stage.prepareLastStage(observer, item); err != nil {
				return result, err
			}
		}
		output, err := stage.run(ctx)
		result.Stages = append(result.Stages, stage.cost)
		if err != nil {
			return result, err
		}
		item = applyOutput(item, stage.stage, output)
		result.Tokens = output.Tokens
	}
	result.Text = item.Text
	return result, nil
}

func (x *Executor) newStage(request *Request, state *runState, index int, item work.State) *stageRun {
	stage := &request.Version.Stages[index]
	return &stageRun{
		executor: x, request: request, state: state, index: index, stage: stage,
		group:   request.Snapshot.Groups[stage.Group],
		latency: x.latency.getOrCreate(newStageKey(request.Pipeline, stage)),
		input:   work.Input{Stage: stage, Item: item, MaxTokens: stage.MaxTokens},
		cost:    api.StageCost{Stage: stage.Name},
	}
}

// prepareLastStage attaches the observer and the text that the caller has already received to the last stage.
func (r *stageRun) prepareLastStage(observer Observer, item work.State) error {
	if observer.OnLastStage != nil {
		if err := observer.OnLastStage(r.index, item); err != nil {
			return r.withRunState(r.callerGone(err))
		}
	}
	r.emit = observer.OnToken
	r.input.Partial, r.input.PartialTokens = r.request.Partial, r.request.PartialTokens
	r.text.WriteString(r.request.Partial)
	r.tokens = r.request.PartialTokens
	if r.request.MaxTokens > 0 {
		r.input.MaxTokens = r.request.MaxTokens
	}
	return nil
}

// applyOutput returns the item with the output of a stage added.
func applyOutput(item work.State, stage *document.Stage, output work.Output) work.State {
	switch stage.Kind {
	case document.StageEncode:
		item.Vector = output.Vector
	case document.StageRetrieve, document.StageRerank:
		item.Passages = output.Passages
		if stage.TopK > 0 && len(item.Passages) > stage.TopK {
			item.Passages = item.Passages[:stage.TopK]
		}
	case document.StageGenerate:
		item.Text = output.Text
	}
	return item
}

// run runs the stage and returns the accepted output.
func (r *stageRun) run(ctx context.Context) (work.Output, error) {
	codec, err := kernel.CodecFor(r.group)
	if err != nil {
		return work.Output{}, r.withRunState(fault.Wrap(api.KindInternal, err, "stage %s", r.stage.Name))
	}
	r.codec, r.affinity = codec, r.executor.newAffinity(codec, r.input)
	start := time.Now()
	ctx, cancel := r.stageContext(ctx)
	defer cancel()
	output, err := r.runAttempts(ctx)
	now := time.Now()
	r.computeCost(output)
	r.cost.DurationMs = elapsedMs(start, now)
	if err != nil {
		return output, r.withRunState(err)
	}
	if r.request.Partial == "" {
		r.latency.total.Record(now.Sub(start), now)
	}
	if r.stage.Kind == document.StageGenerate {
		output.Text, output.Tokens = r.text.String(), r.tokens
	}
	return output, nil
}
