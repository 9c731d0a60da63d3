// Package fault creates errors of the kinds defined in pkg/api and converts them to and from
// the error body of responses.
package fault

import (
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"redwingloft/pkg/api"
)

var (
	namespace          = errorx.NewNamespace("redwingloft")
	errorTypes         = registerTypes()
	runProperty        = errorx.RegisterProperty("run")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
	faultsProperty     = errorx.RegisterProperty("faults")
)

func registerTypes() map[api.Kind]*errorx.Type {
	registered := make(map[api.Kind]*errorx.Type, len(api.Kinds))
	for kind := range api.Kinds {
		registered[kind] = errorx.NewType(namespace, string(kind))
	}
	return registered
}

// New creates an error of the given kind with the default run state from api.Kinds.
func New(kind api.Kind, format string, args ...any) *errorx.Error {
	return errorTypes[kind].New(format, args...)
}

// Wrap creates an error of the given kind that wraps cause.
func Wrap(kind api.Kind, cause error, format string, args ...any) *errorx.Error {
	return errorTypes[kind].Wrap(cause, format, args...)
}

// WithRun returns err with a run state that overrides the default of its kind.
func WithRun(err *errorx.Error, run api.RunState) *errorx.Error {
	return err.WithProperty(runProperty, run)
}

// WithRetryAfter returns err with a suggested delay before a retry.
func WithRetryAfter(err *errorx.Error, wait time.Duration) *errorx.Error {
	return err.WithProperty(retryAfterProperty, wait)
}

// RetryAfter returns err with a suggested delay before a retry. Errors of other packages are
// returned unchanged.
func RetryAfter(err error, wait time.Duration) error {
	if found := findTyped(err); found != nil {
		return found.WithProperty(retryAfterProperty, wait)
	}
	return err
}

// Wait returns the suggested retry delay of err; 0 means none.
func Wait(err error) time.Duration {
	wait, _ := propertyValue[time.Duration](err, retryAfterProperty)
	return wait
}

// WithFaults returns err with the validation errors of a rejected document.
func WithFaults(err *errorx.Error, faults []api.Fault) *errorx.Error {
	return err.WithProperty(faultsProperty, faults)
}

// Is reports whether err is of the given kind.
func Is(err error, kind api.Kind) bool {
	found := findTyped(err)
	return found != nil && found.IsOfType(errorTypes[kind])
}

// KindOf returns the kind of err. Errors of other packages are of kind api.KindInternal.
func KindOf(err error) api.Kind {
	name, hasPrefix := strings.CutPrefix(typeName(err), namespace.FullName()+".")
	if _, known := api.Kinds[api.Kind(name)]; hasPrefix && known {
		return api.Kind(name)
	}
	return api.KindInternal
}

func typeName(err error) string {
	if found := findTyped(err); found != nil {
		return found.Type().FullName()
	}
	return ""
}

// findTyped returns the outermost errorx error in the chain of err, or nil.
func findTyped(err error) *errorx.Error {
	var found *errorx.Error
	if errors.As(err, &found) {
		return found
	}
	return nil
}

// RunOf returns the run state of err.
func RunOf(err error) api.RunState {
	if run, ok := propertyValue[api.RunState](err, runProperty); ok {
		return run
	}
	return api.Kinds[KindOf(err)].Run
}

// ToAPI converts err to the body of an error response.
func ToAPI(err error, id api.RequestID) *api.Error {
	kind := KindOf(err)
	apiErr := &api.Error{
		Kind:       kind,
		Message:    message(err),
		Run:        RunOf(err),
		Repeatable: api.Kinds[kind].Repeatable,
		RequestID:  id,
	}
	if wait, ok := propertyValue[time.Duration](err, retryAfterProperty); ok {
		apiErr.RetryAfterMs = wait.Milliseconds()
	}
	if faults, ok := propertyValue[[]api.Fault](err, faultsProperty); ok {
		apiErr.Faults = faults
	}
	return apiErr
}

// FromAPI converts the error response of another host to an error.
func FromAPI(apiErr *api.Error) error {
	errorType, known := errorTypes[apiErr.Kind]
	if !known {
		errorType = errorTypes[api.KindInternal]
	}
	err := WithRun(errorType.New("%s", apiErr.Message), apiErr.Run)
	if apiErr.RetryAfterMs > 0 {
		err = WithRetryAfter(err, time.Duration(apiErr.RetryAfterMs)*time.Millisecond)
	}
	return err
}

func message(err error) string {
	if found := findTyped(err); found != nil && found.Message() != "" {
		return found.Message()
	}
	return err.Error()
}

func propertyValue[T any](err error, key errorx.Property) (T, bool) {
	var zero T
	found := findTyped(err)
	if found == nil {
		return zero, false
	}
	value, ok := found.Property(key)
	if !ok {
		return zero, false
	}
	result, ok := value.(T)
	return result, ok
}
