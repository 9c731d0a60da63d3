// Package request holds the actions behind the caller interface: running a
// pipeline and calling a plain service.
package request

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/data/work"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/secret"
	"redwingloft/internal/service/order"
	"redwingloft/internal/service/pipeline"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// maxServiceReply bounds the answer of a plain service.
const maxServiceReply = 8 << 20

// Caller is the identity and the bounds that come with every request.
type Caller struct {
	ID         api.RequestID
	Workspace  api.WorkspaceName
	Credential string
	// Deadline is the time left; 0 means the deadline of the pipeline or call.
	Deadline time.Duration
	Priority api.Priority
}

// Service runs requests.
type Service struct {
	// Snapshot returns the configuration in force, or nil before the first.
	Snapshot func() *document.Snapshot
	// Begin waits until a request of the workspace and pipeline may start and returns the
	// snapshot under which it runs to its end; nil means Snapshot. It is called right
	// before the first stage, after the wait in the queue, because a request counts as
	// started from then on.
	Begin func(context.Context, api.WorkspaceName, api.PipelineName) (*document.Snapshot, error)
	// Gate refuses a request that this host may not start now; nil admits all.
	// Release is called when the request has ended.
	Gate func(ctx context.Context, workspace *document.CompiledWorkspace, pipeline api.PipelineName) (release func(), err error)
	// Key seals resume tokens; all hosts of a site share it.
	Key      []byte
	Executor *pipeline.Executor
	Orders   *order.Desk
	Table    *upstream.Table
	Router   *route.Router
	Sender   *upstream.Sender
}

// Stream receives the events of a streamed answer. Nil fields are skipped.
type Stream struct {
	Accepted func(api.AcceptedEvent) error
	Token    func(number uint64, event api.TokenEvent) error
}

// Answer is the whole answer of a pipeline with the number of its token events.
type Answer struct {
	api.RunAnswer
	Events uint64
}

// Done returns the terminal event of a streamed answer.
func (a *Answer) Done() api.DoneEvent {
	sum := sha256.Sum256([]byte(a.Text))
	return api.DoneEvent{Events: a.Events, TextSHA256: hex.EncodeToString(sum[:]), Tokens: a.Tokens, Stages: a.Stages}
}

// resumePoint is the sealed state from which any host continues a stream.
type resumePoint struct {
	Workspace api.WorkspaceName `json:"workspace"`
	Pipeline  api.PipelineName  `json:"pipeline"`
	Version   api.VersionName   `json:"version"`
	Stage     int               `json:"stage"`
	Item      work.Item         `json:"item"`
	MaxTokens int               `json:"max_tokens,omitempty"`
}

// authenticate returns the workspace of a caller.
func (s *Service) authenticate(snapshot *document.Snapshot, caller Caller) (*document.CompiledWorkspace, error) {
	if snapshot == nil {
		return nil, fault.New(api.KindHostIsolated, "this host has no configuration yet")
	}
	workspace := snapshot.Workspaces[caller.Workspace]
	if workspace == nil {
		return nil, fault.New(api.KindUnauthorized, "the workspace or its credential is not valid")
	}
	for _, hash := range workspace.CredentialHashes {
		if secret.TokenMatches(caller.Credential, hash) {
			return workspace, nil
		}
	}
	return nil, fault.New(api.KindUnauthorized, "the workspace or its credential is not valid")
}

// RunPipeline runs a pipeline for a caller.
func (s *Service) RunPipeline(ctx context.Context, caller Caller, name api.PipelineName, body api.RunRequest, stream Stream) (*Answer, error) {
	snapshot := s.Snapshot()
	workspace, err := s.authenticate(snapshot, caller)
	if err != nil {
		return nil, err
	}
	declared, version := snapshot.Pipelines[name], workspace.Versions[name]
	if declared == nil || version == nil {
		return nil, fault.New(api.KindNotFound, "no pipeline %q serves workspace %q", name, caller.Workspace)
	}
	ctx, cancel := context.WithTimeout(ctx, bound(caller.Deadline, declared.Deadline))
	defer cancel()
	release, err := s.admit(ctx, workspace, name)
	if err != nil {
		return nil, err
	}
	defer release()
	run, err := s.start(ctx, caller, name, body)
	if err != nil {
		return nil, err
	}
	events := uint64(0)
	if body.Resume != nil {
		events = body.Resume.LastEvent
	}
	result, err := s.Executor.Run(ctx, run, s.observer(&run, stream, &events))
	if err != nil {
		return nil, err
	}
	answer := &Answer{Events: events}
	answer.RunAnswer = api.RunAnswer{
		RequestID: caller.ID, Pipeline: name, Version: run.Version.Name,
		Text: result.Text, Tokens: result.Tokens, Stages: result.Stages,
	}
	return answer, nil
}

// start returns the run of a request under the snapshot that Begin gives. A stream
// that is resumed finishes on its own version and waits for no handover.
func (s *Service) start(ctx context.Context, caller Caller, name api.PipelineName, body api.RunRequest) (pipeline.Request, error) {
	held := name
	if body.Resume != nil {
		held = ""
	}
	snapshot, err := s.begin(ctx, caller.Workspace, held)
	if err != nil {
		return pipeline.Request{}, err
	}
	workspace, err := s.authenticate(snapshot, caller)
	if err != nil {
		return pipeline.Request{}, err
	}
	version := workspace.Versions[name]
	if version == nil {
		return pipeline.Request{}, fault.New(api.KindNotFound, "no pipeline %q serves workspace %q", name, caller.Workspace)
	}
	run := pipeline.Request{
		ID: caller.ID, Workspace: caller.Workspace, Pipeline: name, Snapshot: snapshot, Version: version,
		Priority: caller.Priority, Item: work.Item{Input: body.Input}, MaxTokens: body.MaxTokens,
	}
	if body.Resume != nil {
		err = s.resume(&run, body.Resume)
	}
	return run, err
}

func (s *Service) begin(ctx context.Context, workspace api.WorkspaceName, name api.PipelineName) (*document.Snapshot, error) {
	if s.Begin == nil {
		return s.Snapshot(), nil
	}
	return s.Begin(ctx, workspace, name)
}

func (s *Service) admit(ctx context.Context, workspace *document.CompiledWorkspace, name api.PipelineName) (func(), error) {
	if s.Gate == nil {
		return func() {}, nil
	}
	return s.Gate(ctx, workspace, name)
}

func (s *Service) observer(run *pipeline.Request, stream Stream, events *uint64) pipeline.Observer {
	observer := pipeline.Observer{}
	if stream.Accepted != nil {
		observer.Prepared = func(stage int, item work.Item) error {
			point := resumePoint{run.Workspace, run.Pipeline, run.Version.Name, stage, item, run.MaxTokens}
			payload, err := json.Marshal(point)
			if err != nil {
				return err
			}
			return stream.Accepted(api.AcceptedEvent{
				RequestID: run.ID, Version: run.Version.Name, ResumeToken: secret.Seal(s.Key, payload),
			})
		}
	}
	if stream.Token != nil {
		observer.Token = func(token work.Token) error {
			*events++
			return stream.Token(*events, api.TokenEvent{Text: token.Text, Tokens: token.Count})
		}
	}
	return observer
}

// resume puts the state of a cut stream into run. The request finishes on the version on which it started.
func (s *Service) resume(run *pipeline.Request, resume *api.ResumeRequest) error {
	payload, err := secret.Open(s.Key, resume.Token)
	if err != nil {
		return fault.New(api.KindResumeInvalid, "the resume token is not valid")
	}
	var point resumePoint
	if err := json.Unmarshal(payload, &point); err != nil {
		return fault.New(api.KindResumeInvalid, "the resume token is not valid")
	}
	if point.Workspace != run.Workspace || point.Pipeline != run.Pipeline {
		return fault.New(api.KindResumeInvalid, "the resume token belongs to another workspace or pipeline")
	}
	version := run.Snapshot.Version(point.Pipeline, point.Version)
	if version == nil || point.Stage >= len(version.Stages) {
		return fault.New(api.KindResumeInvalid, "version %q of the stream is no longer configured", point.Version)
	}
	run.Version, run.First, run.Item, run.MaxTokens = version, point.Stage, point.Item, point.MaxTokens
	run.Partial, run.PartialTokens = resume.Text, int(resume.LastEvent)
	return nil
}

// bound returns the smaller of the caller's and the configured deadline.
func bound(asked time.Duration, configured document.Milliseconds) time.Duration {
	if asked <= 0 || asked > configured.Duration() {
		return configured.Duration()
	}
	return asked
}

// CallService calls a plain service for a caller. Calls that may not be repeated go through the order desk.
func (s *Service) CallService(ctx context.Context, caller Caller, service api.ServiceName, name api.CallName, key string, body []byte) (*api.ServiceAnswer, error) {
	snapshot := s.Snapshot()
	workspace, err := s.authenticate(snapshot, caller)
	if err != nil {
		return nil, err
	}
	declared := snapshot.Services[service]
	if declared == nil || !workspace.Allowed[service] || declared.CallsByName[name] == nil {
		return nil, fault.New(api.KindNotFound, "no call %q of service %q is open to workspace %q", name, service, caller.Workspace)
	}
	call := declared.CallsByName[name]
	ctx, cancel := context.WithTimeout(ctx, bound(caller.Deadline, call.Deadline))
	defer cancel()
	release, err := s.admit(ctx, workspace, "")
	if err != nil {
		return nil, err
	}
	defer release()
	if _, err := s.begin(ctx, caller.Workspace, ""); err != nil {
		return nil, err
	}
	var outcome order.Outcome
	if call.Repeatable {
		outcome, err = s.send(ctx, declared.Group, call, body, "", 0)
	} else {
		placed := order.Order{Workspace: caller.Workspace, Service: service, Call: name, Key: key, Body: body}
		outcome, err = s.Orders.Call(ctx, placed)
	}
	if err != nil {
		return nil, err
	}
	return &api.ServiceAnswer{RequestID: caller.ID, Status: outcome.Status, Body: jsonBody(outcome.Body), Replayed: outcome.Replayed}, nil
}

// SendOrder sends an order once; it is the Send of the order desk.
func (s *Service) SendOrder(ctx context.Context, placed order.Order, fencing store.Version) (order.Outcome, error) {
	snapshot := s.Snapshot()
	declared := snapshot.Services[placed.Service]
	if declared == nil || declared.CallsByName[placed.Call] == nil {
		return order.Outcome{}, fault.New(api.KindNotFound, "call %q of service %q is no longer configured", placed.Call, placed.Service)
	}
	return s.send(ctx, declared.Group, declared.CallsByName[placed.Call], placed.Body, placed.Key, fencing)
}

func (s *Service) send(ctx context.Context, group api.GroupName, call *document.Call, body []byte, key string, fencing store.Version) (order.Outcome, error) {
	instance := s.Router.Pick(s.Table.Group(group), route.Query{})
	if instance == nil {
		return order.Outcome{}, fault.New(api.KindNoUpstream, "no upstream of group %s is available", group)
	}
	var outcome order.Outcome
	err := s.Sender.Do(ctx, upstream.Attempt{
		Instance:  instance,
		Exclusive: key != "",
		AnyStatus: true,
		Build: func(ctx context.Context, base string) (*http.Request, error) {
			request, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, bytes.NewReader(body))
			if err != nil {
				return nil, err
			}
			request.Header.Set("Content-Type", "application/json")
			if key != "" {
				request.Header.Set(api.HeaderIdempotencyKey, key)
				request.Header.Set(api.HeaderFencing, strconv.FormatInt(int64(fencing), 10))
			}
			return request, nil
		},
		Read: func(status int, _ http.Header, body io.Reader) error {
			data, err := io.ReadAll(io.LimitReader(body, maxServiceReply))
			outcome = order.Outcome{Status: status, Body: data}
			return err
		},
	})
	if err != nil {
		return order.Outcome{}, sendFault(ctx, err, key != "")
	}
	return outcome, nil
}

// sendFault maps a failed send. An order whose bytes may have arrived has an unknown outcome.
func sendFault(ctx context.Context, err error, isOrder bool) error {
	switch {
	case upstream.IsErrNotSent(err):
		return fault.Wrap(api.KindNoUpstream, err, "the upstream can't be reached")
	case isOrder:
		return fault.Wrap(api.KindOrderOutcomeUnknown, err, "the order was sent and no answer arrived")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Wrap(api.KindDeadlineExceeded, err, "the deadline passed")
	}
	return fault.Wrap(api.KindStageFailed, err, "the service failed")
}

// jsonBody returns body where it is JSON and as a JSON string otherwise.
func jsonBody(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
