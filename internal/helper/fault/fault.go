// Package fault makes the typed errors of the closed list in pkg/api and
// translates them once, at the edge, into answers.
package fault

import (
	"errors"
	"strings"
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

// RetryAfter returns err, an error of this package, with a suggested wait before a repeat.
func RetryAfter(err error, wait time.Duration) error {
	if found := typed(err); found != nil {
		return found.WithProperty(retryAfter, wait)
	}
	return err
}

// Wait returns the suggested wait of err; 0 means that none is suggested.
func Wait(err error) time.Duration {
	wait, _ := property[time.Duration](err, retryAfter)
	return wait
}

// WithFaults returns err with the faults of a refused document.
func WithFaults(err *errorx.Error, faults []api.Fault) *errorx.Error {
	return err.WithProperty(faultsProp, faults)
}

// Is reports whether err is of the given kind.
func Is(err error, kind api.Kind) bool {
	found := typed(err)
	return found != nil && found.IsOfType(types[kind])
}

// KindOf returns the kind of err; an error from elsewhere is internal.
func KindOf(err error) api.Kind {
	name, own := strings.CutPrefix(typeName(err), namespace.FullName()+".")
	if _, known := api.Kinds[api.Kind(name)]; own && known {
		return api.Kind(name)
	}
	return api.KindInternal
}

func typeName(err error) string {
	if found := typed(err); found != nil {
		return found.Type().FullName()
	}
	return ""
}

// typed returns the outermost typed error in the chain of err, or nil.
func typed(err error) *errorx.Error {
	var found *errorx.Error
	if errors.As(err, &found) {
		return found
	}
	return nil
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

// FromAPI returns the error that another host answered with.
func FromAPI(answer *api.Error) error {
	made, known := types[answer.Kind]
	if !known {
		made = types[api.KindInternal]
	}
	err := WithRun(made.New("%s", answer.Message), answer.Run)
	if answer.RetryAfterMs > 0 {
		err = WithRetryAfter(err, time.Duration(answer.RetryAfterMs)*time.Millisecond)
	}
	return err
}

func message(err error) string {
	if found := typed(err); found != nil && found.Message() != "" {
		return found.Message()
	}
	return err.Error()
}

func property[T any](err error, key errorx.Property) (T, bool) {
	var none T
	found := typed(err)
	if found == nil {
		return none, false
	}
	value, ok := found.Property(key)
	if !ok {
		return none, false
	}
	result, ok := value.(T)
	return result, ok
}
