package forward

import (
	"bufio"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
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
	}{
		"without a response": {func(*bufio.Writer, platform.Request) bool { return false }, 1},
		"in chunks, without an event": {func(w *bufio.Writer, run platform.Request) bool {
			platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 0, false, 0)
			return false
		}, 1},
		"without a length, without an event": {func(w *bufio.Writer, run platform.Request) bool {
			writeHead(w, run, "")
			return false
		}, 1},
		"without a length, within an event": {func(w *bufio.Writer, run platform.Request) bool {
			writeHead(w, run, "id: 1\ndata: cu")
			return false
		}, 1},
		"after progress": {func(w *bufio.Writer, run platform.Request) bool {
			platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, false, 0)
			return false
		}, 0},
		"refused": {func(w *bufio.Writer, run platform.Request) bool {
			platform.WriteNotRun(w, run.Header.Get(wire.HeaderRequestID))
			return true
		}, 0},
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
			}
			assert.Equal(t, losses, example.losses)
		})
	}
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
