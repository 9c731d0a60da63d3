package forward

import (
	"bufio"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// TestExplainedChoiceIsServed guards against an explanation that names another upstream than the one that
// gets the request.
func TestExplainedChoiceIsServed(t *testing.T) {
	stream := func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 3, true, 0)
		return true
	}
	for kind, handle := range map[fleet.Kind]func(*bufio.Writer, platform.Request) bool{
		fleet.KindIdempotent: respondOK, fleet.KindNonIdempotent: respondOK, fleet.KindStreaming: stream,
	} {
		f := newFixture(t, fleet.Route{Kind: kind}, handle, handle, handle, handle)
		chosen := map[api.UpstreamID]bool{}
		for i := range 30 {
			request := newRequest()
			request.ID = api.RequestID(fmt.Sprint("id-", i))
			report, err := f.Explain(t.Context(), request, "w", nil)
			assert.NilError(t, err)
			assert.Equal(t, report.Admission.Verdict, VerdictRun)
			assert.Assert(t, report.RunnerUp != "" && report.RunnerUp != report.Choice)
			before := map[api.UpstreamID]int{}
			for _, u := range f.upstreams {
				before[u.Entry.ID] = len(u.Requests())
			}
			_, err = f.serve(t, func(r *fleet.Request) {
				r.ID = request.ID
				r.Header.Set(wire.HeaderRequestID, string(r.ID))
			})
			assert.NilError(t, err, "%s %d", kind, i)
			for _, u := range f.upstreams {
				assert.Equal(t, len(u.Requests())-before[u.Entry.ID] == 1, u.Entry.ID == report.Choice, "%s of %s, %s is named", u.Entry.ID, kind, report.Choice)
			}
			chosen[report.Choice] = true
		}
		assert.Assert(t, len(chosen) > 1, kind)
	}
}

// TestExplainRejectsUnknownRequests guards against a report on a request that could not be sent.
func TestExplainRejectsUnknownRequests(t *testing.T) {
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, respondOK)
	for workspace, want := range map[api.WorkspaceName]string{"": "needs a workspace", "other": `no workspace with a key has the name "other"`} {
		_, err := f.Explain(t.Context(), newRequest(), workspace, nil)
		assert.ErrorContains(t, err, want)
		assert.Equal(t, fault.KindOf(err), api.KindBadRequest)
	}
	request := newRequest()
	request.Path = "/unknown/"
	_, err := f.Explain(t.Context(), request, "w", nil)
	assert.Equal(t, fault.KindOf(err), api.KindNotFound)
}
