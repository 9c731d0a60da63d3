// Package pipeline runs the stages of one request: it splits the deadline,
// retries and hedges within one budget, and continues broken streams.
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

// Request is one run of a version.
type Request struct {
	ID        api.RequestID
	Workspace api.WorkspaceName
	Pipeline  api.PipelineName
	// Snapshot is the configuration under which the request runs from start to end.
	Snapshot *document.Snapshot
	Version  *document.Version
	Priority api.Priority
	// Item is the work on entry; a resumed request carries the results of earlier stages.
	Item work.Item
	// First is the index of the stage to start with.
	First int
	// Partial is the text of the last stage that the caller already has.
	Partial       string
	PartialTokens int
	// MaxTokens bounds the text of the last stage, Partial included; 0 means the bound of the stage.
	MaxTokens int
}

// Observer is told of the progress of a run, in the goroutine of Run. Nil fields
// are skipped. An error of an observer means that the caller is gone; it ends the run.
type Observer struct {
	// Prepared is called before the last stage with its input, from which any host can resume.
	Prepared func(stage int, item work.Item) error
	// Token is called for each piece of the answer, in order.
	Token func(work.Token) error
}

// Result is the whole answer of a run. A failed run has the stages up to the failure.
type Result struct {
	// Text is the whole text, Request.Partial included.
	Text   string
	Tokens int
	Stages []api.StageCost
}

// Executor runs requests. All its methods are safe for concurrent use.
type Executor struct {
	Table  *upstream.Table
	Router *route.Router
	// Send sends one attempt; Do of an upstream.Sender.
	Send func(context.Context, upstream.Attempt) error
	// Budget grants retries and hedges; nil grants all within the bounds of a stage.
	Budget *retry.Budget
	// NoHedge turns hedges off.
	NoHedge bool
	// DataCentre is that of this host.
	DataCentre api.DataCentre

	latency latencies
}

// runState is what is known of the upstreams' work on a request.
type runState struct {
	// sent is true once an upstream may have received a part of the request.
	sent bool
	// answered is true once an upstream gave a result or a token.
	answered bool
}

func (s *runState) state() api.RunState {
	switch {
	case s.answered:
		return api.RunYes
	case s.sent:
		return api.RunUnknown
	}
	return api.RunNo
}

// Run runs the stages of a request in order. The deadline is that of ctx. The run
// state of an error covers this run only, not an earlier one that it resumes.
func (x *Executor) Run(ctx context.Context, request Request, observer Observer) (Result, error) {
	result := Result{Stages: make([]api.StageCost, 0, len(request.Version.Stages)-request.First)}
	state := &runState{}
	item := request.Item
	last := len(request.Version.Stages) - 1
	for index := request.First; index <= last; index++ {
		stage := x.newStage(&request, state, index, item)
		if index == last {
			if err := stage.prepareLast(observer, item); err != nil {
				return result, err
			}
		}
		output, err := stage.run(ctx)
		result.Stages = append(result.Stages, stage.cost)
		if err != nil {
			return result, err
		}
		item = advance(item, stage.stage, output)
		result.Tokens = output.Tokens
	}
	result.Text = item.Text
	return result, nil
}

func (x *Executor) newStage(request *Request, state *runState, index int, item work.Item) *stageRun {
	stage := &request.Version.Stages[index]
	return &stageRun{
		executor: x, request: request, state: state, index: index, stage: stage,
		group:    request.Snapshot.Groups[stage.Group],
		measured: x.latency.get(keyOf(request.Pipeline, stage)),
		input:    work.Input{Stage: stage, Item: item, MaxTokens: stage.MaxTokens},
		cost:     api.StageCost{Stage: stage.Name},
	}
}

// prepareLast connects the last stage with the observer and with the text that the caller already has.
func (r *stageRun) prepareLast(observer Observer, item work.Item) error {
	if observer.Prepared != nil {
		if err := observer.Prepared(r.index, item); err != nil {
			return r.withRun(r.callerGone(err))
		}
	}
	r.emit = observer.Token
	r.input.Partial, r.input.PartialTokens = r.request.Partial, r.request.PartialTokens
	r.text.WriteString(r.request.Partial)
	r.tokens = r.request.PartialTokens
	if r.request.MaxTokens > 0 {
		r.input.MaxTokens = r.request.MaxTokens
	}
	return nil
}

// advance adds the output of a stage to the item.
func advance(item work.Item, stage *document.Stage, output work.Output) work.Item {
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

// run runs the stage to its accepted output.
func (r *stageRun) run(ctx context.Context) (work.Output, error) {
	codec, err := kernel.CodecFor(r.group)
	if err != nil {
		return work.Output{}, r.withRun(fault.Wrap(api.KindInternal, err, "stage %s", r.stage.Name))
	}
	r.codec, r.prompt = codec, r.executor.newAffinity(codec, r.input)
	start := time.Now()
	ctx, cancel := r.stageContext(ctx)
	defer cancel()
	output, err := r.race(ctx)
	now := time.Now()
	r.settle(output)
	r.cost.DurationMs = elapsed(start, now)
	if err != nil {
		return output, r.withRun(err)
	}
	if r.request.Partial == "" {
		r.measured.whole.Record(now.Sub(start), now)
	}
	if r.stage.Kind == document.StageGenerate {
		output.Text, output.Tokens = r.text.String(), r.tokens
	}
	return output, nil
}
