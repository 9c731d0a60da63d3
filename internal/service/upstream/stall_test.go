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

// tokenStreamer is a handler that sends one token, and another for each value in more.
type tokenStreamer struct {
	// opened receives a value for each token sent; each value in more lets one stream
	// send a token.
	opened chan struct{}
	more   chan struct{}
}

func (s *tokenStreamer) serve(w http.ResponseWriter, r *http.Request) {
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

// stream runs an attempt that reads tokens until the stream ends; the channel receives
// its error, and tokens counts the tokens.
func (f *fakeUpstream) stream(tokens *atomic.Int64) <-chan error {
	ended := make(chan error, 1)
	read := func(_ int, _ http.Header, body io.Reader) error {
		lines := bufio.NewScanner(body)
		for lines.Scan() {
			tokens.Add(1)
		}
		return errors.Join(io.ErrUnexpectedEOF, lines.Err())
	}
	go func() { ended <- f.send(context.Background(), Attempt{Read: read}) }()
	return ended
}

// waitUntil waits until condition holds.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for the condition")
		}
		time.Sleep(time.Millisecond)
	}
}

func assertReason(t *testing.T, ended <-chan error, want Reason) {
	t.Helper()
	select {
	case err := <-ended:
		assert.Equal(t, ReasonOf(err), want)
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for the end of the attempt")
	}
}

// newStallingUpstream starts a streaming upstream. The returned function advances the
// sender's clock so that every waiting attempt is stalled.
func newStallingUpstream(t *testing.T) (*fakeUpstream, *tokenStreamer, func()) {
	s := &tokenStreamer{opened: make(chan struct{}, 16), more: make(chan struct{})}
	f := newFakeUpstream(t, s.serve)
	offset := &atomic.Int64{}
	f.sender.Clock = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	return f, s, func() { offset.Add(int64(maxStallTimeout + time.Second)) }
}

// TestSilentGenerationRetires guards against streams that wait forever on silent
// connections while new connections work, and against new attempts on the silent ones.
func TestSilentGenerationRetires(t *testing.T) {
	f, s, stall := newStallingUpstream(t)
	var tokens atomic.Int64
	first, second := f.stream(&tokens), f.stream(&tokens)
	waitFor(t, s.opened)
	waitFor(t, s.opened)
	waitUntil(t, func() bool { return tokens.Load() == 2 })
	old := f.instance.pool.current
	assert.NilError(t, f.injector.Set(injection.Fault{Mode: injection.ModeStall}))
	f.sender.checkStalls(context.Background()).Wait()
	assert.Equal(t, f.instance.pool.current, old) // not stalled yet
	stall()
	f.sender.checkStalls(context.Background()).Wait()
	assertReason(t, first, ReasonSilent)
	assertReason(t, second, ReasonSilent)
	assert.Equal(t, f.table.State(f.instance), StateHealthy)
	third := f.stream(&tokens)
	waitFor(t, s.opened)
	waitUntil(t, func() bool { return tokens.Load() == 3 })
	assert.Assert(t, f.instance.pool.current != old)
	f.CloseClientConnections()
	assertReason(t, third, ReasonBroken)
}

// TestSingleSilentConnection guards against canceling active streams because another
// connection to the same upstream went silent.
func TestSingleSilentConnection(t *testing.T) {
	f, s, stall := newStallingUpstream(t)
	var one, two atomic.Int64
	first := f.stream(&one)
	waitFor(t, s.opened)
	second := f.stream(&two)
	waitFor(t, s.opened)
	waitUntil(t, func() bool { return one.Load() == 1 && two.Load() == 1 })
	// token lets one of the streams send a token, and waits until it is read.
	token := func() {
		want := one.Load() + two.Load() + 1
		s.more <- struct{}{}
		waitFor(t, s.opened)
		waitUntil(t, func() bool { return one.Load()+two.Load() == want })
	}
	// A connection shows that older ones work only if it was open before they began to
	// wait, so both streams read a token while both connections are open.
	for one.Load() == 1 || two.Load() == 1 {
		token()
	}
	before := one.Load()
	stall()
	// Only one of the two streams gets the token; the other one stays silent.
	token()
	f.sender.checkStalls(context.Background()).Wait()
	ended, open := first, second
	if one.Load() > before {
		ended, open = second, first
	}
	assertReason(t, ended, ReasonSilent)
	assert.Equal(t, len(open), 0)
	f.CloseClientConnections()
	assertReason(t, open, ReasonBroken)
}

// TestFrozenUpstreamIsSuspect guards against a stream that keeps waiting for an upstream
// that does not respond on new connections either.
func TestFrozenUpstreamIsSuspect(t *testing.T) {
	f, s, stall := newStallingUpstream(t)
	var tokens atomic.Int64
	ended := f.stream(&tokens)
	waitFor(t, s.opened)
	waitUntil(t, func() bool { return tokens.Load() == 1 })
	assert.NilError(t, f.injector.Set(injection.Fault{Mode: injection.ModeFreeze}))
	stall()
	f.sender.checkStalls(context.Background()).Wait()
	assertReason(t, ended, ReasonSilent)
	assert.Equal(t, f.table.State(f.instance), StateSuspect)
	// The prober ejects it, and restores it when it responds again.
	f.sender.probeDueInstances(context.Background(), f.table)
	assert.Equal(t, f.table.State(f.instance), StateEjected)
	f.injector.Clear()
	waitUntil(t, func() bool {
		f.sender.probeDueInstances(context.Background(), f.table)
		return f.table.State(f.instance) == StateHealthy
	})
}

// TestSlowReaderIsNotStalled guards against a slow caller whose upstream is considered
// silent.
func TestSlowReaderIsNotStalled(t *testing.T) {
	f, _, stall := newStallingUpstream(t)
	err := f.send(context.Background(), Attempt{Read: func(_ int, _ http.Header, body io.Reader) error {
		_, err := body.Read(make([]byte, 16))
		assert.NilError(t, err)
		stall()
		assert.Equal(t, len(f.sender.stalledAttempts()), 0)
		return io.ErrShortBuffer
	}})
	assert.Equal(t, ReasonOf(err), ReasonReadFailed)
}

// TestStallTimeoutFollowsWaits guards against a stall timeout outside its bounds, and
// against one that never recovers from a burst of slow responses.
func TestStallTimeoutFollowsWaits(t *testing.T) {
	m := &waitMeter{}
	assert.Equal(t, m.stallTimeout(), maxStallTimeout)
	for range minWaitSamples {
		m.observe(2 * time.Millisecond)
	}
	assert.Equal(t, m.stallTimeout(), minStallTimeout)
	for range 2 * waitWindowSamples {
		m.observe(100 * time.Millisecond)
	}
	assert.Assert(t, m.stallTimeout() > 350*time.Millisecond && m.stallTimeout() < 450*time.Millisecond, m.stallTimeout().String())
	for range waitBatchSamples {
		m.observe(2 * maxWait)
	}
	assert.Equal(t, m.stallTimeout(), maxStallTimeout)
	for range 3 * waitWindowSamples {
		m.observe(2 * time.Millisecond)
	}
	assert.Equal(t, m.stallTimeout(), minStallTimeout)
}
