package forward

import (
	"bufio"
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/quarantine"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

func withPrompt(request *fleet.Request) {
	request.Prompt = []fleet.PromptPart{{ID: "first", Tokens: 800}, {ID: "second", Tokens: 300}, {ID: "own", Tokens: 100}}
}

// writeHead writes the header of a stream that has neither a length nor chunks, and the text.
func writeHead(w *bufio.Writer, run platform.Request, text string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n\r\n%s", wire.HeaderRequestID,
		run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest, text)
}

// TestLostResponsesAreEvidence guards against a crash of an engine that is not recorded, or a
// response of a sound prompt that is.
func TestLostResponsesAreEvidence(t *testing.T) {
	for name, example := range map[string]struct {
		handle func(*bufio.Writer, platform.Request) bool
		losses int
		// events is the number of events before the loss.
		events int
	}{
		"without a response": {func(*bufio.Writer, platform.Request) bool { return false }, 1, 0},
		"in chunks, without an event": {func(w *bufio.Writer, run platform.Request) bool {
			platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 0, false, 0)
			return false
		}, 1, 0},
		"without a length, without an event": {func(w *bufio.Writer, run platform.Request) bool {
			writeHead(w, run, "")
			return false
		}, 1, 0},
		"without a length, within an event": {func(w *bufio.Writer, run platform.Request) bool {
			writeHead(w, run, "id: 1\ndata: cu")
			return false
		}, 1, 0},
		"after some events": {func(w *bufio.Writer, run platform.Request) bool {
			platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, false, 0)
			return false
		}, 1, 3},
		"refused": {func(w *bufio.Writer, run platform.Request) bool {
			platform.WriteNotRun(w, run.Header.Get(wire.HeaderRequestID))
			return true
		}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, example.handle)
			f.Prompts = &quarantine.Tracker{}
			_, err := f.serve(t, withPrompt)
			assert.Assert(t, err != nil)
			losses := 0
			if report := f.Prompts.Report("host", clock.Now()); report != nil {
				losses = len(report.Losses)
				assert.DeepEqual(t, report.Losses[0].Parts, []string{"first", "second"})
				assert.Equal(t, report.Losses[0].Events, example.events)
			}
			assert.Equal(t, losses, example.losses)
		})
	}
}

// failingWriter is the connection of a caller that disconnects after the header of the response.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// TestCallerThatLeavesIsNoEvidence guards against a caller's broken connection that is taken for a
// crash of the engine, or for a failure after which another engine is tried.
func TestCallerThatLeavesIsNoEvidence(t *testing.T) {
	answer := func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, true, 0)
		return true
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, answer, answer)
	f.Prompts = &quarantine.Tracker{}
	request := newRequest()
	withPrompt(request)
	assert.Assert(t, IsAborted(f.Serve(context.Background(), request, failingWriter{httptest.NewRecorder()})))
	assert.Assert(t, f.Prompts.Report("host", clock.Now()) == nil)
	assert.Equal(t, f.totalRuns(), 1)
	for _, observed := range f.Health.Observations() {
		assert.Equal(t, observed.Failed, 0)
	}
}

// TestEndOfLeavingEngineIsNoEvidence guards against responses that an engine breaks off as it
// exits and that are taken for those of a crash.
func TestEndOfLeavingEngineIsNoEvidence(t *testing.T) {
	var leave func()
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, false, 0)
		leave()
		return false
	})
	var left atomic.Bool
	leave = func() { left.Store(true) }
	view, empty := f.View, directory.State{}
	f.View = func() *directory.View {
		if left.Load() {
			return empty.View()
		}
		return view()
	}
	f.Prompts = &quarantine.Tracker{}
	_, err := f.serve(t, withPrompt)
	assert.Assert(t, IsAborted(err))
	assert.Assert(t, f.Prompts.Report("host", clock.Now()) == nil)
}

// TestQuarantinedPromptIsNotRetried guards against a retry of a request whose prompt is
// quarantined meanwhile, and against the claim that it was not run.
func TestQuarantinedPromptIsNotRetried(t *testing.T) {
	var crashed atomic.Bool
	crash := func(*bufio.Writer, platform.Request) bool {
		crashed.Store(true)
		return false
	}
	until := clock.Now().Add(time.Minute)
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 3}, crash, crash, crash)
	f.Prompts = &quarantine.Tracker{Stored: func() map[string]fleet.QuarantinedPart {
		if !crashed.Load() {
			return nil
		}
		return map[string]fleet.QuarantinedPart{"second": {Part: "second", Until: until}}
	}}
	_, err := f.serve(t, withPrompt)
	assert.Equal(t, f.totalRuns(), 1)
	assert.Equal(t, fault.RunStateOf(err), api.RunUnknown)

	_, err = f.serve(t, withPrompt)
	assert.Equal(t, f.totalRuns(), 1)
	assert.Equal(t, fault.KindOf(err), api.KindPromptQuarantined)
	assert.Equal(t, fault.RunStateOf(err), api.RunNo)
	assert.Assert(t, fault.RetryDelay(err) > 50*time.Second && fault.RetryDelay(err) <= time.Minute)
}
