package request

import (
	"context"
	"errors"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/admission"
	"redwingloft/pkg/api"
)

// startPipeline admits a run and returns it as checked against the configuration under which it starts.
func (s *Service) startPipeline(ctx context.Context, caller Caller, run *preparedRun, body api.RunRequest) (*preparedRun, func(error), error) {
	if err := s.take(ctx, run.workspace); err != nil {
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
			Group: predicted.Group, Time: predicted.Time, Share: predicted.Share,
		}, nil
	})
	return run, release, err
}

// take takes a token of the workspace's quota.
func (s *Service) take(ctx context.Context, workspace *document.CompiledWorkspace) error {
	if s.Quota == nil {
		return nil
	}
	return s.Quota.Take(ctx, workspace.Name, workspace.RequestsPerSecond, workspace.Burst)
}

// start waits until a ticket may start and returns the function that ends it with
// the error of the request. Prepare checks the request against the configuration in
// force and makes its ticket; it is called again where the configuration changed
// while the ticket waited, so that the request starts under the newest. Every error
// is certain: nothing was started.
func (s *Service) start(ctx context.Context, prepare func() (*admission.Ticket, error)) (func(error), error) {
	for {
		ticket, err := prepare()
		if err != nil {
			return nil, err
		}
		leave, err := s.enter(ctx, ticket)
		if err != nil {
			return nil, err
		}
		if s.Snapshot().Revision != ticket.Revision {
			if ticket, err = prepare(); err != nil {
				leave(false)
				return nil, err
			}
		}
		release, held, err := s.pass(ticket)
		if err == nil && held == nil {
			return func(err error) { release(); leave(err == nil) }, nil
		}
		leave(false)
		if err != nil {
			return nil, err
		}
		if err := wait(ctx, held); err != nil {
			return nil, err
		}
	}
}

// enter waits in the queue.
func (s *Service) enter(ctx context.Context, ticket *admission.Ticket) (func(answered bool), error) {
	if s.Queue == nil {
		return func(bool) {}, nil
	}
	return s.Queue.Enter(ctx, ticket)
}

// pass asks the gate.
func (s *Service) pass(ticket *admission.Ticket) (release func(), held <-chan struct{}, err error) {
	if s.Gate == nil {
		return func() {}, nil, nil
	}
	release, held, err = s.Gate(ticket)
	if release == nil {
		release = func() {}
	}
	return release, held, err
}

// wait waits for the end of a handover, without a slot.
func wait(ctx context.Context, held <-chan struct{}) error {
	select {
	case <-held:
		return nil
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(api.KindHandover, "the workspace was moving to another version until the deadline")
	}
	return fault.WithRun(fault.New(api.KindCallerGone, "the caller left before the start"), api.RunNo)
}
