package cmd

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// replace replaces an upstream of the site by one that runs requests and adds a header field to its responses.
func (s *site) replace(t *testing.T, old *platform.Upstream, service, status, field string) *platform.Upstream {
	t.Helper()
	u := s.startUpstreamAs(t, service+"-2", service, func(w *bufio.Writer, run platform.Request) bool {
		body := `{"items":[{"handle":"127.0.0.1:1/a"}]}`
		fmt.Fprintf(w, "HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, wire.HeaderRequestID,
			run.Header.Get(wire.HeaderRequestID), wire.HeaderDigest, field, len(body), body)
		return true
	})
	s.writeUpstream(t, old, service, "draining")
	s.eventually(t, "the replacement", func() bool {
		ready := s.host.directory.View().Ready(api.ServiceName(service))
		return len(ready) == 1 && ready[0].ID == u.Entry.ID
	})
	return u
}

// checkSilence checks that an upstream whose responses have a status and a field gets no second request or stage call.
func checkSilence(t *testing.T, status string, first int, field string) {
	t.Helper()
	s := startSite(t)
	for path, old := range map[string]*platform.Upstream{"/book/1": s.plain, "/plan/1": s.stage} {
		service := strings.TrimPrefix(string(old.Entry.ID), "i-")
		u := s.replace(t, old, service, status, field)
		items := map[string]string{wire.HeaderItems: "1,0", wire.HeaderItemKey: "k"}
		code, body, _ := s.call(t, path, "a", items)
		assert.Equal(t, code, first, body)
		s.writeUpstream(t, u, service, "ready")
		for i := range 20 {
			time.Sleep(20 * time.Millisecond)
			code, _, header := s.call(t, path, fmt.Sprint("b", i), items)
			assert.Equal(t, code, http.StatusServiceUnavailable, path)
			assert.Assert(t, header.Get("Retry-After") != "")
		}
		work := slices.DeleteFunc(u.Requests(), func(run platform.Request) bool { return run.Path == wire.PathStageFree })
		assert.Equal(t, len(work), 1, path)
	}
	s.stop(t)
}

// TestLeavingUpstreamGetsNoMoreRequests guards against requests and stage calls to an upstream that announced its shutdown.
func TestLeavingUpstreamGetsNoMoreRequests(t *testing.T) {
	checkSilence(t, "200 OK", http.StatusOK, "Server-Leaving: 1")
}

// TestPausedUpstreamGetsNoMoreRequests guards against requests and stage calls to an upstream that asked for a pause.
func TestPausedUpstreamGetsNoMoreRequests(t *testing.T) {
	checkSilence(t, "503 Busy", http.StatusServiceUnavailable, wire.HeaderNotRun+": 1\r\nRetry-After: 9")
}
