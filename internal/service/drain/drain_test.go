package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// await fails the test if a function has not been called in time.
func await(t *testing.T, called <-chan struct{}) {
	t.Helper()
	select {
	case <-called:
	case <-time.After(10 * time.Second):
		t.Fatal("the function was not called")
	}
}

// TestWorkIsBoundedBeforeAndAfterBegin guards against work that outlives the drain because it began before
// the signal to stop, or after the time that is reserved for what follows it.
func TestWorkIsBoundedBeforeAndAfterBegin(t *testing.T) {
	var s Schedule
	before, after := make(chan struct{}), make(chan struct{})
	s.BeforeEnd(time.Second, func() { close(before) })
	s.Begin(Times{End: clock.Now().Add(time.Second)})
	s.BeforeEnd(2*time.Second, func() { close(after) })
	await(t, before)
	await(t, after)
}

// TestStoppedWorkIsNotCancelled guards against a response that is cancelled after it has begun.
func TestStoppedWorkIsNotCancelled(t *testing.T) {
	var s Schedule
	called, last := make(chan struct{}, 2), make(chan struct{})
	s.BeforeEnd(0, func() { called <- struct{}{} })()
	stop := s.BeforeEnd(0, func() { called <- struct{}{} })
	s.Begin(Times{End: clock.Now().Add(50 * time.Millisecond)})
	stop()
	s.BeforeEnd(0, func() { close(last) })
	await(t, last)
	assert.Equal(t, len(called), 0)
}

// TestBound guards against a deadline that is later than the drain allows, or is bounded without one.
func TestBound(t *testing.T) {
	now := clock.Now()
	deadline := now.Add(5 * time.Second)
	var none *Schedule
	assert.Equal(t, none.Bound(deadline, time.Second), deadline)
	none.BeforeEnd(0, func() {})()
	var s Schedule
	assert.Equal(t, s.Bound(deadline, time.Second), deadline)
	s.Begin(Times{End: now.Add(4 * time.Second)})
	assert.Equal(t, s.Bound(deadline, time.Second), now.Add(3*time.Second))
	assert.Equal(t, s.Bound(now, time.Second), now)
	s.Begin(Times{End: now.Add(time.Minute)})
	assert.Equal(t, s.Bound(deadline, time.Second), now.Add(3*time.Second), "a second signal moved the end")
}

// TestRefusalIsNotRun guards against a refusal that callers don't take as one that may be repeated elsewhere.
func TestRefusalIsNotRun(t *testing.T) {
	for _, cause := range []error{nil, ErrEnded} {
		err := Refusal(cause)
		assert.Equal(t, fault.KindOf(err), api.KindDraining)
		assert.Equal(t, api.Kinds[fault.KindOf(err)].Run, api.RunNo)
		assert.Assert(t, fault.RetryDelay(err) > 0)
	}
}
