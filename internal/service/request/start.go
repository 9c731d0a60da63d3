package request

import (
	"context"
	"errors"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/admission"
	"redwingloft/pkg/api"
)

// startPipeline admits a run and returns it, validated against the configuration under which it starts.
func (s *Service) startPipeline(ctx context.Context, caller Caller, run *preparedRun, body api.RunRequest) (*preparedRun, func(error), error) {
	if err := s.takeToken(ctx, run.workspace); err != nil {
		return run, nil, err
	}
	release, err := s.start(ctx, func() (*admission.Ticket, error) {
		next, err := s.prepare(s.Snapshot(), caller, run.Pipeline, body)
		if err != nil {
			return nil, err
		}
		run = next
		predicted := s.Executor.Predict(&run.Request)
		return &admission.Ticket{
			ID: caller.ID, Workspace: caller.Workspace, Pipeline: run.Pipeline, Priority: caller.Priority,
			Revision: run.Snapshot.Revision, Resumed: run.resumed, Weight: run.workspace.Weight,
			Group: predicted.Group, Time: predicted.Duration, Share: predicted.Share,
		}, nil
	})
	return run, release, err
}

// takeToken takes a token from the workspace's quota.
func (s *Service) takeToken(ctx context.Context, workspace *document.CompiledWorkspace) error {
	if s.Quota == nil {
		return nil
	}
	return s.Quota.Take(ctx, workspace.Name, workspace.RequestsPerSecond, workspace.Burst)
}

// start waits until a ticket may start and returns the function that ends it with
// the error of the request. prepare validates the request against the active
// configuration and creates its ticket; it is called again if the configuration
// changed while the ticket was queued, so that the request starts under the latest
// one. After an error, the request was certainly not started.
func (s *Service) start(ctx context.Context, prepare func() (*admission.Ticket, error)) (func(error), error) {
	for {
		ticket, err := prepare()
		if err != nil {
			return nil, err
		}
		leaveQueue, err := s.enterQueue(ctx, ticket)
		if err != nil {
			return nil, err
		}
		if s.Snapshot().Revision != ticket.Revision {
			if ticket, err = prepare(); err != nil {
				leaveQueue(false)
				return nil, err
			}
		}
		release, held, err := s.checkGate(ticket)
		if err == nil && held == nil {
			return func(err error) { release(); leaveQueue(err == nil) }, nil
		}
		leaveQueue(false)
		if err != nil {
			return nil, err
		}
		if err := waitForHandover(ctx, held); err != nil {
			return nil, err
		}
	}
}

// enterQueue waits in the admission queue, if there is one.
func (s *Service) enterQueue(ctx context.Context, ticket *admission.Ticket) (func(answered bool), error) {
	if s.Queue == nil {
		return func(bool) {}, nil
	}
	return s.Queue.Enter(ctx, ticket)
}

// checkGate calls Gate, if it is set.
func (s *Service) checkGate(ticket *admission.Ticket) (release func(), held <-chan struct{}, err error) {
	if s.Gate == nil {
		return func() {}, nil, nil
	}
	release, held, err = s.Gate(ticket)
	if release == nil {
		release = func() {}
	}
	return release, held, err
}

// waitForHandover waits for the end of a handover without occupying a slot.
func waitForHandover(ctx context.Context, held <-chan struct{}) error {
	select {
	case <-held:
		return nil
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(api.KindHandover, "the workspace was moving to another version until the deadline")
	}
	return fault.WithRunState(fault.New(api.KindCallerGone, "the caller disconnected before the request started"), api.RunNo)
}
