package caller

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/logging"
	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

// TestRefusedRequestsAreLoggedWithinTheRate guards against a log line without the fields
// that identify its request, and against an overload that floods the log.
func TestRefusedRequestsAreLoggedWithinTheRate(t *testing.T) {
	var out bytes.Buffer
	h := newHandler()
	h.Log = logging.New(&out, "info", "host-1")
	const requests = 5000
	for range requests {
		r := httptest.NewRequest("POST", api.PathPipelines+"p/run", strings.NewReader("{}"))
		r.Header.Set(api.HeaderRequestID, "id-1")
		r.Header.Set(api.HeaderWorkspace, strings.Repeat("w", 5000))
		serve(t, h, r)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Assert(t, len(lines) >= 50 && len(lines) < requests, "%d lines", len(lines))
	for _, part := range []string{
		"level=warn event=request_refused host=host-1 request_id=id-1 workspace=www", " path=" + api.PathPipelines + "p/run ", " kind=host_isolated run=no ",
	} {
		assert.Assert(t, strings.Contains(lines[0], part), "%q", lines[0])
	}
	assert.Assert(t, len(lines[0]) < 1000, "%d bytes", len(lines[0]))
}

// TestSuccessfulRequestsAreLoggedAtDebug guards against a successful request that is not
// logged at level debug, and one that is logged at level info.
func TestSuccessfulRequestsAreLoggedAtDebug(t *testing.T) {
	var out bytes.Buffer
	caller := request.Caller{ID: "id-1", Workspace: "w"}
	h := &Handler{Log: logging.New(&out, "info", "host-1")}
	h.logRun(caller, time.Now(), &api.RunAnswer{Pipeline: "plan", Version: "new", Tokens: 3})
	assert.Equal(t, out.String(), "")
	h.Log = logging.New(&out, "debug", "host-1")
	h.logRun(caller, time.Now(), &api.RunAnswer{Pipeline: "plan", Version: "new", Tokens: 3})
	h.logCall(caller, time.Now(), "desk", "book", &api.ServiceAnswer{Status: 200})
	run, call, _ := strings.Cut(out.String(), "\n")
	assert.Assert(t, strings.Contains(run, "level=debug event=request_answered host=host-1 request_id=id-1 workspace=w pipeline=plan version=new tokens=3 "), "%q", run)
	assert.Assert(t, strings.Contains(call, "event=request_answered host=host-1 request_id=id-1 workspace=w service=desk call=book status=200 "), "%q", call)
}
