// Package request implements the caller interface: running pipelines and calling
// services.
package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/secret"
	"redwingloft/internal/service/account"
	"redwingloft/internal/service/admission"
	"redwingloft/internal/service/order"
	"redwingloft/internal/service/pipeline"
	"redwingloft/internal/service/route"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// Caller holds the identity, deadline and priority of a request.
type Caller struct {
	ID         api.RequestID
	Workspace  api.WorkspaceName
	Credential string
	// Timeout is the remaining time; 0 means the deadline of the pipeline or call.
	Timeout  time.Duration
	Priority api.Priority
}

// Service authenticates, admits and runs the requests of callers.
type Service struct {
	// Snapshot returns the active configuration, or nil before the first one.
	Snapshot func() *document.Snapshot
	// Gate is called right before a ticket starts; nil admits all. It must not block.
	// It returns a function to call when the request has ended, which may be nil, or
	// an error that refuses the request as not run, or a channel that is closed when
	// the ticket may be submitted again, as during a handover. It must hold back a
	// ticket whose Revision is lower than the latest one it has received.
	Gate func(ticket *admission.Ticket) (release func(), held <-chan struct{}, err error)
	// Queue limits concurrent requests; nil starts all immediately.
	Queue *admission.Queue
	// Quota limits the request rates of workspaces; nil means no limits.
	Quota *admission.Quota
	// Accumulator adds up the outcomes and costs of requests; may be nil.
	Accumulator *account.Accumulator
	// ResumeKey signs resume tokens; all hosts of a site share it.
	ResumeKey []byte
	Executor  *pipeline.Executor
	Orders    *order.Coordinator
	Table     *upstream.Table
	Router    *route.Router
	Sender    *upstream.Sender
	// DataCentre is the data centre of this host.
	DataCentre api.DataCentre

	tracker requestTracker
}

// StreamCallbacks holds the callbacks for the events of a streamed response. Nil fields are skipped.
type StreamCallbacks struct {
	OnAccepted func(api.AcceptedEvent) error
	OnToken    func(number uint64, event api.TokenEvent) error
}

// RunResponse is the complete response of a pipeline with the number of its token events.
type RunResponse struct {
	api.RunAnswer
	Events uint64
}

// DoneEvent returns the final event of a streamed response.
func (a *RunResponse) DoneEvent() api.DoneEvent {
	sum := sha256.Sum256([]byte(a.Text))
	return api.DoneEvent{Events: a.Events, TextSHA256: hex.EncodeToString(sum[:]), Tokens: a.Tokens, Stages: a.Stages}
}

// resumePoint is the content of a resume token, from which any host can resume a stream.
type resumePoint struct {
	Workspace api.WorkspaceName `json:"workspace"`
	Pipeline  api.PipelineName  `json:"pipeline"`
	Version   api.VersionName   `json:"version"`
	Stage     int               `json:"stage"`
	Item      work.State        `json:"item"`
	MaxTokens int               `json:"max_tokens,omitempty"`
}

// Owner returns the workspace of a caller, or an error if its credential is not valid. The workspace is empty
// while the host has no configuration.
func (s *Service) Owner(caller Caller) (api.WorkspaceName, error) {
	snapshot := s.Snapshot()
	if snapshot == nil {
		return "", nil
	}
	workspace, err := s.authenticate(snapshot, caller)
	if err != nil {
		return "", err
	}
	return workspace.Name, nil
}

// authenticate checks the credential of a caller and returns its workspace.
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
func (s *Service) RunPipeline(ctx context.Context, caller Caller, name api.PipelineName, body api.RunRequest, stream StreamCallbacks) (*RunResponse, error) {
	ctx, exit, err := s.tracker.enter(ctx)
	if err != nil {
		return nil, err
	}
	defer exit()
	answer, err := s.runPipeline(ctx, caller, name, body, stream)
	return answer, givenUpError(ctx, err)
}

func (s *Service) runPipeline(ctx context.Context, caller Caller, name api.PipelineName, body api.RunRequest, stream StreamCallbacks) (*RunResponse, error) {
	run, err := s.prepare(s.Snapshot(), caller, name, body)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, effectiveDeadline(caller.Timeout, run.Snapshot.Pipelines[name].Deadline))
	defer cancel()
	key := account.Key{Workspace: caller.Workspace, Pipeline: name, Version: run.Version.Name}
	run, release, err := s.startPipeline(ctx, caller, run, body)
	if err != nil {
		s.Accumulator.Add(key, nil, err)
		return nil, err
	}
	defer func() { release(err) }()
	events := run.events
	result, err := s.Executor.Run(ctx, run.Request, s.observer(&run.Request, stream, &events))
	key.Version = run.Version.Name
	s.Accumulator.Add(key, result.Stages, err)
	if err != nil {
		return nil, err
	}
	answer := &RunResponse{Events: events}
	answer.RunAnswer = api.RunAnswer{
		RequestID: caller.ID, Pipeline: name, Version: run.Version.Name,
		Text: result.Text, Tokens: result.Tokens, Stages: result.Stages,
	}
	return answer, nil
}

// preparedRun is a run that was validated against one configuration.
type preparedRun struct {
	pipeline.Request
	workspace *document.CompiledWorkspace
	resumed   bool
	// events is the number of token events that the caller has already received.
	events uint64
}

// prepare validates a run against a configuration.
func (s *Service) prepare(snapshot *document.Snapshot, caller Caller, name api.PipelineName, body api.RunRequest) (*preparedRun, error) {
	workspace, err := s.authenticate(snapshot, caller)
	if err != nil {
		return nil, err
	}
	version := workspace.Versions[name]
	if snapshot.Pipelines[name] == nil || version == nil {
		return nil, fault.New(api.KindNotFound, "pipeline %q does not exist or is not allowed for workspace %q", name, caller.Workspace)
	}
	run := &preparedRun{workspace: workspace, resumed: body.Resume != nil, Request: pipeline.Request{
		ID: caller.ID, Workspace: caller.Workspace, Pipeline: name, Snapshot: snapshot, Version: version,
		Priority: caller.Priority, Item: work.State{Input: body.Input}, MaxTokens: body.MaxTokens,
	}}
	if body.Resume != nil {
		run.events = body.Resume.LastEvent
		return run, s.resume(&run.Request, body.Resume)
	}
	return run, nil
}

func (s *Service) observer(run *pipeline.Request, stream StreamCallbacks, events *uint64) pipeline.Observer {
	observer := pipeline.Observer{}
	if stream.OnAccepted != nil {
		observer.OnLastStage = func(stage int, item work.State) error {
			point := resumePoint{run.Workspace, run.Pipeline, run.Version.Name, stage, item, run.MaxTokens}
			payload, err := json.Marshal(point)
			if err != nil {
				return err
			}
			return stream.OnAccepted(api.AcceptedEvent{
				RequestID: run.ID, Version: run.Version.Name, ResumeToken: secret.Seal(s.ResumeKey, payload),
			})
		}
	}
	if stream.OnToken != nil {
		observer.OnToken = func(token work.Token) error {
			*events++
			return stream.OnToken(*events, api.TokenEvent{Text: token.Text, Tokens: token.Count})
		}
	}
	return observer
}

// resume restores the state of an interrupted stream in run. The request finishes on the version on which it started.
func (s *Service) resume(run *pipeline.Request, resume *api.ResumeRequest) error {
	payload, err := secret.Open(s.ResumeKey, resume.Token)
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
	run.Version, run.FirstStage, run.Item, run.MaxTokens = version, point.Stage, point.Item, point.MaxTokens
	run.Partial, run.PartialTokens = resume.Text, int(resume.LastEvent)
	return nil
}

// effectiveDeadline returns the smaller of the requested and the configured deadline.
func effectiveDeadline(requested time.Duration, configured document.Milliseconds) time.Duration {
	if requested <= 0 || requested > configured.Duration() {
		return configured.Duration()
	}
	return requested
}
