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

// WithRunState returns err with a run state that overrides the default of its kind.
func WithRunState(err *errorx.Error, run api.RunState) *errorx.Error {
	return err.WithProperty(runProperty, run)
}

// WithRetryAfter returns err with a suggested delay before a retry.
func WithRetryAfter(err *errorx.Error, delay time.Duration) *errorx.Error {
	return err.WithProperty(retryAfterProperty, delay)
}

// AddRetryAfter returns err with a suggested delay before a retry. Errors of other packages are
// returned unchanged.
func AddRetryAfter(err error, delay time.Duration) error {
	if typedErr := findTyped(err); typedErr != nil {
		return typedErr.WithProperty(retryAfterProperty, delay)
	}
	return err
}

// RetryDelay returns the suggested retry delay of err; 0 means none.
func RetryDelay(err error) time.Duration {
	delay, _ := propertyValue[time.Duration](err, retryAfterProperty)
	return delay
}

// WithFaults returns err with the validation errors of a rejected document.
func WithFaults(err *errorx.Error, faults []api.Fault) *errorx.Error {
	return err.WithProperty(faultsProperty, faults)
}

// Is reports whether err is of the given kind.
func Is(err error, kind api.Kind) bool {
	typedErr := findTyped(err)
	return typedErr != nil && typedErr.IsOfType(errorTypes[kind])
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
	if typedErr := findTyped(err); typedErr != nil {
		return typedErr.Type().FullName()
	}
	return ""
}

// findTyped returns the outermost errorx error in the chain of err, or nil.
func findTyped(err error) *errorx.Error {
	var typedErr *errorx.Error
	if errors.As(err, &typedErr) {
		return typedErr
	}
	return nil
}

// RunStateOf returns the run state of err.
func RunStateOf(err error) api.RunState {
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
		Run:        RunStateOf(err),
		Repeatable: api.Kinds[kind].Repeatable,
		RequestID:  id,
	}
	if delay, ok := propertyValue[time.Duration](err, retryAfterProperty); ok {
		apiErr.RetryAfterMs = delay.Milliseconds()
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
	err := WithRunState(errorType.New("%s", apiErr.Message), apiErr.Run)
	if apiErr.RetryAfterMs > 0 {
		err = WithRetryAfter(err, time.Duration(apiErr.RetryAfterMs)*time.Millisecond)
	}
	return err
}

func message(err error) string {
	if typedErr := findTyped(err); typedErr != nil && typedErr.Message() != "" {
		return typedErr.Message()
	}
	return err.Error()
}

func propertyValue[T any](err error, key errorx.Property) (T, bool) {
	var zero T
	typedErr := findTyped(err)
	if typedErr == nil {
		return zero, false
	}
	value, ok := typedErr.Property(key)
	if !ok {
		return zero, false
	}
	result, ok := value.(T)
	return result, ok
}
