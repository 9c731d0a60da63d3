package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/service/forward"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
)

// runExplain runs the command with the settings of a site's host and returns its output.
func (s *site) runExplain(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := New()
	root.Writer = &out
	err := root.Run(t.Context(), append([]string{"redwingloft", "explain", "--settings", s.path}, args...))
	return out.String(), err
}

// TestExplain guards against an explanation that differs from what the host does, that reaches an upstream
// or that prints a key.
func TestExplain(t *testing.T) {
	s := startSite(t)
	status, _, _ := s.call(t, "/plan/1", "warm", map[string]string{wire.HeaderItems: "2,1"})
	assert.Equal(t, status, http.StatusOK)
	before := len(s.engine.Requests()) + len(s.plain.Requests())
	plan := []string{"--host", "h", "--path", "/plan/1", "--workspace", "w", "--parts", "system:100,own:20", "--tokens", "120,40", "--items", "2,1", "--left", "5s"}
	out, err := s.runExplain(t, plan...)
	assert.NilError(t, err)
	for _, want := range []string{"explain (fixed; weighted choices depend on the id)", `plan of revision 1, streaming: host "h", longest matching prefix "/plan/"`, "this host: accepted", "i-engine", "Admission  run"} {
		assert.Assert(t, strings.Contains(out, want), "%q is not in\n%s", want, out)
	}
	out, err = s.runExplain(t, append(plan, "--output", "json", "--id", "own-id")...)
	assert.NilError(t, err)
	var report forward.Explanation
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.Equal(t, report.Choice, api.UpstreamID("i-engine"))
	assert.Equal(t, report.Request, api.RequestID("own-id"))
	assert.Assert(t, !report.FixedID && *report.Stages.Accepted && report.Engines.Samples == 1)
	assert.Assert(t, !strings.Contains(out, `"k"`), "a key is printed")
	_, err = s.runExplain(t, "--host", "h", "--path", "/book/1", "--workspace", "w")
	assert.NilError(t, err)
	assert.Equal(t, len(s.engine.Requests())+len(s.plain.Requests()), before)

	s.write(t, wire.PrefixEvacuation+"a", "{}")
	s.eventually(t, "the evacuation", func() bool { return s.host.directory.View().Evacuated["a"] })
	out, err = s.runExplain(t, plan...)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "refused, no_upstream") && strings.Contains(out, "left out: evacuated data centre"), out)
	s.stop(t)
}

// TestExplainRejectsBadInput guards against a report on input that was misread.
func TestExplainRejectsBadInput(t *testing.T) {
	s := startSite(t)
	for _, test := range []struct{ args, want string }{
		{"--host other --path /plan/1 --workspace w", "no route matches this host and path"},
		{"--host h --path /other/ --workspace w", "no route matches this host and path"},
		{"--host h --path plan --workspace w", "does not start with a slash"},
		{"--host h --path /plan/1 --workspace other", `no workspace with a key has the name "other"`},
		{"--host h --path /plan/1", "needs a workspace"},
		{"--host h --path /plan/1 --workspace w --parts system", `invalid prompt part "system"`},
		{"--host h --path /plan/1 --workspace w --parts system:-5", `invalid prompt part "system:-5"`},
		{"--host h --path /plan/1 --workspace w --parts :5", "a prompt part has no id"},
		{"--host h --path /plan/1 --workspace w --tokens=-1,2", `"-1" is not a non-negative integer`},
		{"--host h --path /plan/1 --workspace w --tokens 5", "is not the prompt tokens and the maximum output tokens"},
		{"--host h --path /plan/1 --workspace w --items 1,-2", `"-2" is not a non-negative integer`},
		{"--host h --path /plan/1 --workspace w --items 1", "items for 1 stages, but the route has 2"},
		{"--host h --path /plan/1 --workspace w --left=-1s", "is not positive"},
		{"--host h --path /plan/1 --workspace w --output xml", "unknown output format"},
		{"--path /plan/1", `"host" not set`},
		{"--host h --path /plan/1 extra", `unexpected argument "extra"`},
	} {
		out, err := s.runExplain(t, strings.Fields(test.args)...)
		assert.ErrorContains(t, err, test.want, test.args)
		assert.Assert(t, !strings.Contains(out, "Choice"), test.args)
	}
	address := s.settings.Admin.Listen
	for query, want := range map[string]int{
		"host=h&path=/book/1&workspace=w": http.StatusOK, "host=h&path=/book/1&workspace=w&left_ms=NaN": http.StatusBadRequest, "host=h&host=i&path=/book/1": http.StatusBadRequest,
		"host=h&path=/book/1&key=k": http.StatusBadRequest, "host=i&path=/book/1": http.StatusNotFound,
	} {
		response, err := http.Get("http://" + address + "/explain?" + query)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, want, query)
	}
	s.stop(t)
	_, err := s.runExplain(t, "--host", "h", "--path", "/book/1")
	assert.ErrorContains(t, err, "ask the host")
}

// TestExplainTable guards against a table whose columns do not line up or that lacks a reason.
func TestExplainTable(t *testing.T) {
	accepted, age, cost, slots := false, int64(120), 31.5, 2
	report := &forward.Explanation{
		Host: "host-1", DataCentre: "a", Request: "explain", FixedID: true, Workspace: "w", Rank: 4, EngineRank: 4, LeftMs: 5000,
		Route:     forward.RouteReport{Name: "plan", Revision: 7, Host: "h", PathPrefix: "/plan/", Kind: fleet.KindStreaming, Service: "engine", Services: 2},
		Admission: forward.AdmissionReport{Verdict: forward.VerdictRefused, Kind: api.KindDeadlineUnreachable, Reason: "too late", RetryAfterMs: 700},
		Stages: &forward.StageReport{
			Group: "a", Scheduler: "host-1", Local: true, Accepted: &accepted, Reason: "time", OnTimeMs: 900, LateMs: 4000, TargetMs: 1400, LeftMs: 4950,
			Forecasts: []forward.StageForecastReport{{Group: "b", OnTimeMs: 800, LateMs: 3500, AgeMs: 90, Refuses: true}},
		},
		Engines: &forward.EngineForecastReport{Samples: 3, WindowMs: 3000, NewestMs: 10, ReadMs: 5, FirstEventMs: 5, LeftMs: 5000},
		Candidates: []forward.CandidateReport{
			{Upstream: "e-1", DataCentre: "a", State: fleet.StateReady, Running: 2, EntryAgeMs: &age, Terms: []forward.Term{{Name: "tokens", Value: 100}, {Name: "read", Value: 31.5, Unit: "ms"}}, Cost: &cost},
			{Upstream: "e-long", DataCentre: "b", State: fleet.StateReady, LeftOut: []forward.Obstacle{{Reason: "cold limit used up", LeftMs: 40}}, ColdLeftMs: 900, ColdSlots: &slots, ColdIntervalMs: 1500},
		},
	}
	var out bytes.Buffer
	assert.NilError(t, writeExplanation(&out, report))
	assert.Equal(t, "\n"+out.String(), `
Host       host-1 in a
Request    explain (fixed; weighted choices depend on the id)
Route      plan of revision 7, streaming: host "h", longest matching prefix "/plan/"
Service    engine (1 of 2, by weights and the request id)
Workspace  w
Rank       4 (4 at engines; 0 is the most urgent)
Time left  5000 ms
Admission  refused, deadline_unreachable: too late; retry after 700 ms
Stages     group a, scheduled by host-1; target in 1400 ms, deadline in 4950 ms
           this host: refused (time); 900 ms on time, 4000 ms as a late job
           forecast of group b, 90 ms old: 800 ms on time, 3500 ms as a late job; refuses: true
Engines    3 responses in the last 3000 ms (newest 10 ms old), 0 too late for this request from 0 engines; refuses: false
           first event in at least 5 ms (stages 0, wait 0, reading 5) of 5000 ms left
Choice     none
Runner-up  none

UPSTREAM  DATA CENTRE  STATE  RUNNING  AGE ms (ENTRY/LAST/LOAD/PACE)  TOKENS  READ ms  COST  NOTE
e-1       a            ready  2        120/-/-/-                      100     31.5     31.5  -
e-long    b            ready  0        -/-/-/-                        -       -        -     left out: cold limit used up for 40 ms; cold for 900 ms, this host may send 2 requests in 1500 ms
`)
}
