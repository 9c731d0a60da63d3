package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/standin/injection"
)

// streamer is a handler that sends one token and then waits for more orders.
type streamer struct {
	// opened gets a value for each request; more lets each stream send a token.
	opened chan struct{}
	more   chan struct{}
}

func (s *streamer) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	for {
		_, _ = io.WriteString(w, "token\n")
		_ = http.NewResponseController(w).Flush()
		s.opened <- struct{}{}
		select {
		case <-s.more:
		case <-r.Context().Done():
			return
		}
	}
}

// stream runs an attempt that reads tokens until it ends, and returns its error and tokens.
func (f *fake) stream(tokens *atomic.Int64) <-chan error {
	ended := make(chan error, 1)
	read := func(_ int, _ http.Header, body io.Reader) error {
		lines := bufio.NewScanner(body)
		for lines.Scan() {
			tokens.Add(1)
		}
		return errors.Join(io.ErrUnexpectedEOF, lines.Err())
	}
	go func() { ended <- f.do(context.Background(), Attempt{Read: read}) }()
	return ended
}

// until waits until condition holds.
func until(t *testing.T, condition func() bool) {
	t.Helper()
	end := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(end) {
			t.Fatal("the condition did not come true")
		}
		time.Sleep(time.Millisecond)
	}
}

func wantReason(t *testing.T, ended <-chan error, want Reason) {
	t.Helper()
	select {
	case err := <-ended:
		assert.Equal(t, ReasonOf(err), want)
	case <-time.After(bound):
		t.Fatal("the attempt did not end")
	}
}

// newStallFake starts a streaming upstream. The function that it returns makes the
// sender's clock run ahead, by which every waiting attempt is stalled.
func newStallFake(t *testing.T) (*fake, *streamer, func()) {
	s := &streamer{opened: make(chan struct{}, 16), more: make(chan struct{})}
	f := newFake(t, s.serve)
	ahead := &atomic.Int64{}
	f.sender.Clock = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	return f, s, func() { ahead.Add(int64(maxStall + time.Second)) }
}

// TestSilentGenerationRetires guards against streams that wait for ever on
// connections that went silent while new ones work, and against new attempts on them.
func TestSilentGenerationRetires(t *testing.T) {
	f, s, stall := newStallFake(t)
	var tokens atomic.Int64
	first, second := f.stream(&tokens), f.stream(&tokens)
	waitFor(t, s.opened)
	waitFor(t, s.opened)
	until(t, func() bool { return tokens.Load() == 2 })
	old := f.instance.pool.current
	assert.NilError(t, f.injector.Set(injection.Fault{Mode: injection.ModeSilence}))
	f.sender.examineStalls(context.Background()).Wait()
	assert.Equal(t, f.instance.pool.current, old) // not stalled yet
	stall()
	f.sender.examineStalls(context.Background()).Wait()
	wantReason(t, first, ReasonSilent)
	wantReason(t, second, ReasonSilent)
	assert.Equal(t, f.table.State(f.instance), StateHealthy)
	third := f.stream(&tokens)
	waitFor(t, s.opened)
	until(t, func() bool { return tokens.Load() == 3 })
	assert.Assert(t, f.instance.pool.current != old)
	f.CloseClientConnections()
	wantReason(t, third, ReasonBroken)
}

// TestSingleSilentConnection guards against streams that progress and are ended
// because one connection of the same upstream went silent.
func TestSingleSilentConnection(t *testing.T) {
	f, s, stall := newStallFake(t)
	var one, two atomic.Int64
	first := f.stream(&one)
	waitFor(t, s.opened)
	second := f.stream(&two)
	waitFor(t, s.opened)
	until(t, func() bool { return one.Load() == 1 && two.Load() == 1 })
	// token lets one of the streams send a token, and waits until it is read.
	token := func() {
		want := one.Load() + two.Load() + 1
		s.more <- struct{}{}
		waitFor(t, s.opened)
		until(t, func() bool { return one.Load()+two.Load() == want })
	}
	// A connection shows that older ones work only if it was open before they began to
	// wait, so both streams read a token while both connections are open.
	for one.Load() == 1 || two.Load() == 1 {
		token()
	}
	before := one.Load()
	stall()
	// One of the two gets the token; the other one stays silent.
	token()
	f.sender.examineStalls(context.Background()).Wait()
	ended, open := first, second
	if one.Load() > before {
		ended, open = second, first
	}
	wantReason(t, ended, ReasonSilent)
	assert.Equal(t, len(open), 0)
	f.CloseClientConnections()
	wantReason(t, open, ReasonBroken)
}

// TestFrozenUpstreamIsSuspect guards against a stream that waits for an upstream
// that also leaves new connections unanswered.
func TestFrozenUpstreamIsSuspect(t *testing.T) {
	f, s, stall := newStallFake(t)
	var tokens atomic.Int64
	ended := f.stream(&tokens)
	waitFor(t, s.opened)
	until(t, func() bool { return tokens.Load() == 1 })
	assert.NilError(t, f.injector.Set(injection.Fault{Mode: injection.ModeFreeze}))
	stall()
	f.sender.examineStalls(context.Background()).Wait()
	wantReason(t, ended, ReasonSilent)
	assert.Equal(t, f.table.State(f.instance), StateSuspect)
	// The prober ejects it, and returns it when it answers again.
	f.sender.probeDue(context.Background(), f.table)
	assert.Equal(t, f.table.State(f.instance), StateEjected)
	f.injector.Clear()
	until(t, func() bool {
		f.sender.probeDue(context.Background(), f.table)
		return f.table.State(f.instance) == StateHealthy
	})
}

// TestSlowReaderIsNoStall guards against a caller that reads slowly and makes its
// upstream look silent.
func TestSlowReaderIsNoStall(t *testing.T) {
	f, _, stall := newStallFake(t)
	err := f.do(context.Background(), Attempt{Read: func(_ int, _ http.Header, body io.Reader) error {
		_, err := body.Read(make([]byte, 16))
		assert.NilError(t, err)
		stall()
		assert.Equal(t, len(f.sender.stalled()), 0)
		return io.ErrShortBuffer
	}})
	assert.Equal(t, ReasonOf(err), ReasonReader)
}

// TestStallTimeFollowsGaps guards against a stall time outside its bounds or one
// that a burst of slow answers changes for good.
func TestStallTimeFollowsGaps(t *testing.T) {
	m := &gapMeter{}
	assert.Equal(t, m.stall(), maxStall)
	for range minGaps {
		m.observe(2 * time.Millisecond)
	}
	assert.Equal(t, m.stall(), minStall)
	for range 2 * gapWindow {
		m.observe(100 * time.Millisecond)
	}
	assert.Assert(t, m.stall() > 350*time.Millisecond && m.stall() < 450*time.Millisecond, m.stall().String())
	for range gapBatch {
		m.observe(2 * maxGap)
	}
	assert.Equal(t, m.stall(), maxStall)
	for range 3 * gapWindow {
		m.observe(2 * time.Millisecond)
	}
	assert.Equal(t, m.stall(), minStall)
}
