package fault

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
)

// TestEveryKindTranslates guards against a kind of the closed list that is answered as another.
func TestEveryKindTranslates(t *testing.T) {
	for kind, answer := range api.Kinds {
		err := fmt.Errorf("outer: %w", New(kind, "what happened"))
		got := ToAPI(err, "id")
		assert.Equal(t, got.Kind, kind)
		assert.Equal(t, got.Run, answer.Run)
		assert.Equal(t, got.Repeatable, answer.Repeatable)
		assert.Assert(t, Is(err, kind))
	}
}

// TestRunStateOverridesDefault guards against a failure after the first stage that is told as not run.
func TestRunStateOverridesDefault(t *testing.T) {
	err := WithRetryAfter(WithRun(New(api.KindNoUpstream, "x"), api.RunYes), time.Second)
	got := ToAPI(err, "id")
	assert.Equal(t, got.Run, api.RunYes)
	assert.Equal(t, got.RetryAfterMs, int64(1000))
}

// TestForeignErrorIsInternal guards against an untyped error that claims the request was not run.
func TestForeignErrorIsInternal(t *testing.T) {
	got := ToAPI(errors.New("x"), "id")
	assert.Equal(t, got.Kind, api.KindInternal)
	assert.Equal(t, got.Run, api.RunUnknown)
}
