// Package fault makes the typed errors of the closed list in pkg/api and
// translates them once, at the edge, into answers.
package fault

import (
	"time"

	"github.com/joomcode/errorx"

	"redwingloft/pkg/api"
)

var (
	namespace   = errorx.NewNamespace("redwingloft")
	types       = registerTypes()
	runProperty = errorx.RegisterProperty("run")
	retryAfter  = errorx.RegisterProperty("retry_after")
	faultsProp  = errorx.RegisterProperty("faults")
)

func registerTypes() map[api.Kind]*errorx.Type {
	all := make(map[api.Kind]*errorx.Type, len(api.Kinds))
	for kind := range api.Kinds {
		all[kind] = errorx.NewType(namespace, string(kind))
	}
	return all
}

// New makes an error of the given kind with the run state of the kinds table.
func New(kind api.Kind, format string, args ...any) *errorx.Error {
	return types[kind].New(format, args...)
}

// Wrap makes an error of the given kind that keeps cause.
func Wrap(kind api.Kind, cause error, format string, args ...any) *errorx.Error {
	return types[kind].Wrap(cause, format, args...)
}

// WithRun returns err with a run state other than the default of its kind.
func WithRun(err *errorx.Error, run api.RunState) *errorx.Error {
	return err.WithProperty(runProperty, run)
}

// WithRetryAfter returns err with a suggested wait before a repeat.
func WithRetryAfter(err *errorx.Error, wait time.Duration) *errorx.Error {
	return err.WithProperty(retryAfter, wait)
}

// WithFaults returns err with the faults of a refused document.
func WithFaults(err *errorx.Error, faults []api.Fault) *errorx.Error {
	return err.WithProperty(faultsProp, faults)
}

// Is reports whether err is of the given kind.
func Is(err error, kind api.Kind) bool {
	return errorx.IsOfType(err, types[kind])
}

// KindOf returns the kind of err; an error from elsewhere is internal.
func KindOf(err error) api.Kind {
	if typed := errorx.Cast(err); typed != nil {
		kind := api.Kind(typed.Type().FullName()[len("redwingloft."):])
		if _, known := api.Kinds[kind]; known {
			return kind
		}
	}
	return api.KindInternal
}

// RunOf returns the run state of err.
func RunOf(err error) api.RunState {
	if run, ok := property[api.RunState](err, runProperty); ok {
		return run
	}
	return api.Kinds[KindOf(err)].Run
}

// ToAPI translates err into the body of an answer.
func ToAPI(err error, id api.RequestID) *api.Error {
	kind := KindOf(err)
	answer := &api.Error{
		Kind:       kind,
		Message:    message(err),
		Run:        RunOf(err),
		Repeatable: api.Kinds[kind].Repeatable,
		RequestID:  id,
	}
	if wait, ok := property[time.Duration](err, retryAfter); ok {
		answer.RetryAfterMs = wait.Milliseconds()
	}
	if faults, ok := property[[]api.Fault](err, faultsProp); ok {
		answer.Faults = faults
	}
	return answer
}

func message(err error) string {
	if typed := errorx.Cast(err); typed != nil && typed.Message() != "" {
		return typed.Message()
	}
	return err.Error()
}

func property[T any](err error, key errorx.Property) (T, bool) {
	var none T
	typed := errorx.Cast(err)
	if typed == nil {
		return none, false
	}
	value, ok := typed.Property(key)
	if !ok {
		return none, false
	}
	result, ok := value.(T)
	return result, ok
}
