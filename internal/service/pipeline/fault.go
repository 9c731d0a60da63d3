package pipeline

import (
	"context"
	"errors"
	"net/http"

	"github.com/joomcode/errorx"

	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/retry"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// retryReason returns the reason for retrying a failed attempt, and false if a retry would fail as well.
func retryReason(err error) (retry.Reason, bool) {
	var send *upstream.SendError
	if !errors.As(err, &send) {
		return retry.ReasonBroken, true
	}
	switch send.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return retry.ReasonStatus, false
	}
	switch send.Reason {
	case upstream.ReasonCanceled, upstream.ReasonBuild:
		return retry.Reason(send.Reason), false
	}
	return retry.Reason(send.Reason), true
}

// withRunState adds the run state of the request to an error.
func (r *stageRun) withRunState(err error) error {
	return fault.WithRunState(errorx.Cast(err), r.state.state())
}

// contextError returns the error of a stage whose context has ended.
func (r *stageRun) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(api.KindDeadlineExceeded, "the deadline passed in stage %s", r.stage.Name)
	}
	return fault.New(api.KindCallerGone, "the caller disconnected in stage %s", r.stage.Name)
}

func (r *stageRun) callerGone(cause error) error {
	return fault.Wrap(api.KindCallerGone, cause, "the response can't be sent to the caller in stage %s", r.stage.Name)
}

func (r *stageRun) noUpstream() error {
	return fault.New(api.KindNoUpstream, "no upstream of group %s is available", r.stage.Group)
}

// stageError returns the error of a stage whose last attempt failed.
func (r *stageRun) stageError(cause error) error {
	switch {
	case r.streaming() && r.index == len(r.request.Version.Stages)-1:
		return fault.Wrap(api.KindStreamCut, cause, "the stream of stage %s was interrupted", r.stage.Name)
	case upstream.IsErrNotSent(cause):
		return fault.Wrap(api.KindNoUpstream, cause, "no upstream of group %s can be reached", r.stage.Group)
	}
	return fault.Wrap(api.KindStageFailed, cause, "stage %s failed", r.stage.Name)
}
