package fault

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
)

// TestEveryKindTranslates guards against an error kind that is missing or is reported as another
// kind.
func TestEveryKindTranslates(t *testing.T) {
	for kind, info := range api.Kinds {
		err := fmt.Errorf("outer: %w", New(kind, "what happened"))
		got := ToAPI(err, "id")
		assert.Equal(t, got.Kind, kind)
		assert.Equal(t, got.Run, info.Run)
		assert.Equal(t, got.Repeatable, info.Repeatable)
		assert.Assert(t, Is(err, kind))
	}
}

// TestRunStateOverridesDefault guards against a failure after the first stage that is reported as
// not run.
func TestRunStateOverridesDefault(t *testing.T) {
	err := WithRetryAfter(WithRunState(New(api.KindNoUpstream, "x"), api.RunYes), time.Second)
	got := ToAPI(err, "id")
	assert.Equal(t, got.Run, api.RunYes)
	assert.Equal(t, got.RetryAfterMs, int64(1000))
}

// TestUntypedErrorIsInternal guards against an untyped error that is reported as not run.
func TestUntypedErrorIsInternal(t *testing.T) {
	got := ToAPI(errors.New("x"), "id")
	assert.Equal(t, got.Kind, api.KindInternal)
	assert.Equal(t, got.Run, api.RunUnknown)
}
