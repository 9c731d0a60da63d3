package forward

import (
	"net/http"
	"time"

	"redwingloft/internal/data/fleet"
)

// Result is the result of one attempt at an upstream.
type Result string

// The results of an attempt.
const (
	// ResultAnswered: the upstream sent a complete and unaltered response.
	ResultAnswered Result = "answered"
	// ResultServerError: the upstream sent a complete response with a 5xx status.
	ResultServerError Result = "server_error"
	// ResultNotRun: the upstream reported that it did not run the request.
	ResultNotRun Result = "not_run"
	// ResultNotSent: no connection was established, so the request was not sent.
	ResultNotSent Result = "not_sent"
	// ResultLost: the upstream may have run the request, but there is no usable response.
	ResultLost Result = "lost"
)

// Action is the next step after an attempt.
type Action string

// The actions after an attempt.
const (
	// ActionDeliver forwards the upstream's response to the caller.
	ActionDeliver Action = "deliver"
	// ActionRetry makes another attempt.
	ActionRetry Action = "retry"
	// ActionRefuse returns an error that states that the request was not run.
	ActionRefuse Action = "refuse"
	// ActionFail returns an error that states that the request may have run.
	ActionFail Action = "fail"
)

const (
	// maxNotRunAttempts bounds the attempts per request that did not run at an upstream.
	maxNotRunAttempts = 4
	// minAttemptTime is the time that must be left for a retry; a response takes about this long.
	minAttemptTime = 30 * time.Millisecond
)

// AttemptCounts counts the attempts of one request by whether they may have run.
type AttemptCounts struct {
	// MayHaveRun counts the attempts that may have run.
	MayHaveRun int
	// NotRun counts the attempts that did not run.
	NotRun int
}

// Add counts the result of one more attempt.
func (h *AttemptCounts) Add(result Result) {
	if result == ResultNotRun || result == ResultNotSent {
		h.NotRun++
	} else {
		h.MayHaveRun++
	}
}

// NextAction returns the action after the last attempt in history. A request that may have run
// is retried only if its route is repeatable, and at most route.MaxAttempts times in total.
// The caller has to charge a retry to the retry budget.
func NextAction(route *fleet.Route, history AttemptCounts, result Result, left time.Duration) Action {
	enoughTime := left >= minAttemptTime
	switch result {
	case ResultAnswered:
		return ActionDeliver
	case ResultServerError:
		if enoughTime && route.Repeatable() && history.MayHaveRun < route.MaxAttempts {
			return ActionRetry
		}
		return ActionDeliver
	case ResultNotRun, ResultNotSent:
		if enoughTime && history.NotRun < maxNotRunAttempts {
			return ActionRetry
		}
		return finalAction(history)
	}
	if enoughTime && route.Repeatable() && history.MayHaveRun < route.MaxAttempts {
		return ActionRetry
	}
	return finalAction(history)
}

// finalAction returns the action for a request that got no usable response.
func finalAction(history AttemptCounts) Action {
	if history.MayHaveRun > 0 {
		return ActionFail
	}
	return ActionRefuse
}

// classify returns the result for a received response.
func classify(status int, reply fleet.ResponseInfo) Result {
	switch {
	case reply.NotRun:
		return ResultNotRun
	case reply.Encoded || !reply.HasDigest || impliesNotRun(status):
		// The response was altered by an intermediary, or its status would imply that the
		// request was not run.
		return ResultLost
	case status >= http.StatusInternalServerError:
		return ResultServerError
	}
	return ResultAnswered
}

// impliesNotRun reports whether callers take a status to mean that the request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
