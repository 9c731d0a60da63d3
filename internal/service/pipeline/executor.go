// Package pipeline runs the stages of one request.
package pipeline

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/kernel"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// maxAttempts bounds the attempts of one stage.
const maxAttempts = 3

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
	// MaxTokens bounds the text of the last stage; 0 means the bound of the stage.
	MaxTokens int
}

// Observer is told of the progress of a run. Nil fields are skipped.
type Observer struct {
	// Prepared is called before the last stage with its input, from which any host can resume.
	Prepared func(stage int, item work.Item) error
	// Token is called for each piece of the answer, in order.
	Token func(work.Token) error
}

// Result is the whole answer of a run.
type Result struct {
	// Text is the whole text, Request.Partial included.
	Text   string
	Tokens int
	Stages []api.StageCost
}

// Executor runs requests.
type Executor struct {
	Table  *upstream.Table
	Router *route.Router
	Sender *upstream.Sender
	// DataCentre is that of this host.
	DataCentre api.DataCentre
}

// Run runs the stages of a request in order. The deadline is that of ctx.
func (x *Executor) Run(ctx context.Context, request Request, observer Observer) (Result, error) {
	result := Result{}
	item := request.Item
	last := len(request.Version.Stages) - 1
	for index := request.First; index <= last; index++ {
		stage := &request.Version.Stages[index]
		run := stageRun{executor: x, request: &request, stage: stage, input: work.Input{Stage: stage, Item: item, MaxTokens: stage.MaxTokens}}
		if index == last {
			if err := prepare(&run, &request, observer, index, item); err != nil {
				return result, err
			}
		}
		output, err := run.do(ctx)
		result.Stages = append(result.Stages, run.cost)
		if err != nil {
			return result, err
		}
		item = advance(item, stage, output)
		result.Tokens = run.input.PartialTokens + output.Tokens
	}
	result.Text = item.Text
	return result, nil
}

func prepare(run *stageRun, request *Request, observer Observer, index int, item work.Item) error {
	if observer.Prepared != nil {
		if err := observer.Prepared(index, item); err != nil {
			return err
		}
	}
	run.emit = observer.Token
	run.input.Partial, run.input.PartialTokens = request.Partial, request.PartialTokens
	if request.MaxTokens > 0 {
		run.input.MaxTokens = request.MaxTokens
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

// stageRun is one stage of one request.
type stageRun struct {
	executor *Executor
	request  *Request
	stage    *document.Stage
	input    work.Input
	// emit gets the tokens of the last stage; nil elsewhere.
	emit  func(work.Token) error
	cost  api.StageCost
	tried []*upstream.Instance
}

func (r *stageRun) do(ctx context.Context) (work.Output, error) {
	start := time.Now()
	r.cost.Stage = r.stage.Name
	defer func() { r.cost.DurationMs = float64(time.Since(start).Microseconds()) / 1000 }()
	group := r.request.Snapshot.Groups[r.stage.Group]
	codec, err := kernel.CodecFor(group)
	if err != nil {
		return work.Output{}, fault.Wrap(api.KindInternal, err, "stage %s", r.stage.Name)
	}
	var last error
	prompt := r.executor.newAffinity(codec, r.input)
	for range maxAttempts {
		instance := r.executor.Router.Pick(r.executor.Table.Group(group.Name), prompt.query(r.request.Snapshot, r.tried))
		if instance == nil {
			break
		}
		r.tried = append(r.tried, instance)
		r.cost.Attempts++
		answered := prompt.routed(instance)
		output, err := r.attempt(ctx, instance, codec)
		if err == nil {
			answered(output)
			output.Text = r.input.Partial + output.Text
			return output, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		r.input.Partial += output.Text
		r.input.PartialTokens += output.Tokens
	}
	return work.Output{}, r.failure(ctx, last)
}

func (r *stageRun) attempt(ctx context.Context, instance *upstream.Instance, codec kernel.Codec) (work.Output, error) {
	var output work.Output
	input := r.input
	emit := func(token work.Token) error {
		if r.emit == nil {
			return nil
		}
		return r.emit(token)
	}
	err := r.executor.Sender.Do(ctx, upstream.Attempt{
		Instance: instance,
		Build: func(ctx context.Context, base string) (*http.Request, error) {
			return codec.Request(ctx, base, input)
		},
		Read: func(_ int, _ http.Header, body io.Reader) error {
			var err error
			output, err = codec.Read(body, input, emit)
			return err
		},
	})
	return output, err
}

func (r *stageRun) failure(ctx context.Context, last error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.New(api.KindDeadlineExceeded, "the deadline passed in stage %s", r.stage.Name)
	case ctx.Err() != nil:
		return fault.New(api.KindCallerGone, "the caller left in stage %s", r.stage.Name)
	case last == nil:
		return fault.New(api.KindNoUpstream, "no upstream of group %s is available", r.stage.Group)
	}
	return fault.Wrap(api.KindStageFailed, last, "stage %s failed", r.stage.Name)
}
