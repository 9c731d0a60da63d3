package cmd

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

const (
	// crashingPart is the part of a prompt that crashes the engines of crashingSite.
	crashingPart = "deadly"
	// contactTime is the time after the fifth crash from which maxLateSends further requests
	// with the part may be sent to engines.
	contactTime  = 3 * time.Second
	crashLimit   = 5
	maxLateSends = 3
	engineCount  = 6
	// prefillTime is the time from a request to the beginning of its response.
	prefillTime = 150 * time.Millisecond
	// eventReadTime is the time in which a host reads the events before a crash.
	eventReadTime = 20 * time.Millisecond
)

// crashingSite is a site with several engines, which close all connections some events after they
// began a response to a prompt with crashingPart.
type crashingSite struct {
	*site
	crashes atomic.Int64
	sent    atomic.Int64
}

func startCrashingSite(t *testing.T, events int) *crashingSite {
	t.Helper()
	s := &crashingSite{site: startSite(t)}
	s.writeUpstream(t, s.engine, "engine", "draining")
	for i := range engineCount {
		var engine *platform.Upstream
		engine = s.startUpstreamAs(t, fmt.Sprint("engine-", i), "engine", func(w *bufio.Writer, run platform.Request) bool {
			id := run.Header.Get(wire.HeaderRequestID)
			if !strings.Contains(run.Header.Get(wire.HeaderPrompt), crashingPart) {
				platform.WriteEvents(w, id, 1, 10, true, time.Millisecond)
				return true
			}
			time.Sleep(prefillTime)
			platform.WriteEvents(w, id, 1, events, false, time.Millisecond)
			_ = w.Flush()
			// A reset discards events that have not been read.
			time.Sleep(eventReadTime)
			s.crashes.Add(1)
			engine.Reset()
			return false
		})
	}
	return s
}

// ask sends a request whose prompt has a common first part, optionally the crashing part, and a
// part of its own. It returns the status, or 0 if the response broke off.
func (s *crashingSite) ask(t *testing.T, address string, crashing bool) int {
	t.Helper()
	number := s.sent.Add(1)
	prompt := fmt.Sprintf("common:800,session-%d:200,own-%d:100", number%3, number)
	if crashing {
		prompt = fmt.Sprintf("common:800,session-%d:200,%s:300,own-%d:100", number%3, crashingPart, number)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/plan/1", strings.NewReader("x"))
	assert.NilError(t, err)
	request.Host = "h"
	for name, value := range map[string]string{
		wire.HeaderRequestID: fmt.Sprint("r", number), wire.HeaderDeadline: "5000", wire.HeaderPrompt: prompt, "Authorization": "Bearer k",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestPromptThatCrashesEnginesIsRefusedAtAllHosts guards against requests with a common part that
// crash one engine after another, also through hosts that have not seen a crash themselves.
func TestPromptThatCrashesEnginesIsRefusedAtAllHosts(t *testing.T) { testCrashingPrompt(t, 0) }

// TestPromptThatCrashesEnginesAfterEventsIsRefusedAtAllHosts guards against the same if the engines
// crash some events after the beginning of the response.
func TestPromptThatCrashesEnginesAfterEventsIsRefusedAtAllHosts(t *testing.T) {
	testCrashingPrompt(t, 2)
}

func testCrashingPrompt(t *testing.T, events int) {
	t.Helper()
	s := startCrashingSite(t, events)
	others := make(chan error, 1)
	_, second := s.startHost(t, "host-2", others)
	first := s.settings.Caller.Listen
	for s.crashes.Load() < crashLimit {
		for range 10 {
			assert.Equal(t, s.ask(t, first, false), http.StatusOK)
			assert.Equal(t, s.ask(t, second.Caller.Listen, false), http.StatusOK)
		}
		if s.ask(t, first, true) == http.StatusServiceUnavailable {
			break
		}
	}
	time.Sleep(contactTime)
	before := s.crashes.Load()
	for range 10 {
		for _, address := range []string{first, second.Caller.Listen} {
			s.ask(t, address, true)
			assert.Equal(t, s.ask(t, address, false), http.StatusOK)
		}
	}
	late := s.crashes.Load() - before
	assert.Assert(t, late <= maxLateSends, "%d requests with the part reached engines", late)
	s.stop(t)
	<-others
}
