package stage

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/quarantine"
	"redwingloft/internal/service/throttle"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

// stateOf renders all that is reachable from a value, with unexported fields, but not functions.
func stateOf(value any) string {
	var out strings.Builder
	seen := map[uintptr]bool{}
	var render func(v reflect.Value)
	render = func(v reflect.Value) {
		switch v.Kind() {
		case reflect.Pointer, reflect.Interface:
			if v.IsNil() || v.Kind() == reflect.Pointer && seen[v.Pointer()] {
				fmt.Fprint(&out, "*")
				return
			}
			if v.Kind() == reflect.Pointer {
				seen[v.Pointer()] = true
			}
			render(v.Elem())
		case reflect.Struct:
			for i := range v.NumField() {
				fmt.Fprint(&out, v.Type().Field(i).Name, ":")
				render(v.Field(i))
			}
		case reflect.Slice, reflect.Array:
			for i := range v.Len() {
				render(v.Index(i))
			}
		case reflect.Map:
			keys := v.MapKeys()
			sort.Slice(keys, func(i, k int) bool { return fmt.Sprint(keys[i]) < fmt.Sprint(keys[k]) })
			for _, key := range keys {
				fmt.Fprint(&out, key, "=>")
				render(v.MapIndex(key))
			}
		case reflect.Func, reflect.Chan:
		default:
			fmt.Fprint(&out, v)
		}
		fmt.Fprint(&out, ";")
	}
	render(reflect.ValueOf(value))
	return out.String()
}

const explainDocument = `{"version":3,"routes":[
{"name":"plan","host":"h","pathPrefix":"/plan/","kind":"streaming","timeoutMs":6000,"sloMs":1400,"maxAttempts":2,"service":"engine","resumable":true,"stages":[{"service":"stage","after":[],"bytes":1000}]},
{"name":"book","host":"h","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1000,"sloMs":150,"maxAttempts":1,"service":"plain"}],
"services":[{"name":"engine"},{"name":"plain"},{"name":"stage","segments":{"slots":1,"queue":2,"batch":8,"callMs":200,"itemMs":20,"headroomMb":1,"handleS":4}}],
"limits":{},"tenants":[{"name":"w","apiKeys":["secret-key"]}]}`

// explainSite is a host with state of every kind that a decision could change.
type explainSite struct {
	forward   *forward.Service
	client    *Client
	scheduler *Scheduler
	view      *directory.View
	// part is the id of the shared part of the prompt.
	part string
}

// newExplainSite returns a host of a fleet with more hosts in another data centre.
func newExplainSite(t *testing.T, others int) *explainSite {
	t.Helper()
	state := directory.State{Decoder: directory.Decoder{
		DocumentKey: platform.KeyDocument, Document: platform.DecodeDocument, UpstreamPrefix: platform.PrefixUpstream, Upstream: platform.DecodeUpstream,
		HostPrefix: "hosts/", EvacuationPrefix: platform.PrefixEvacuation,
	}}
	entries := []store.Entry{
		{Key: platform.KeyDocument, Value: []byte(explainDocument), Version: 1},
		{Key: "hosts/a", Value: []byte(`{"id":"a","data_centre":"z","started":1}`), Version: 2},
		{Key: platform.PrefixEvacuation + "gone", Value: []byte("{}"), Version: 3},
	}
	add := func(id, service, zone, state string, cold int) {
		value := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:1","zone":%q,"version":"v1","slots":4,"state":%q,"coldLeftMs":%d,"callSeq":1,"born":1}`, service, zone, state, cold)
		entries = append(entries, store.Entry{Key: platform.PrefixUpstream + id, Value: []byte(value), Version: store.Version(len(entries) + 1)})
	}
	add("free", "engine", "z", "ready", 0)
	add("other", "engine", "y", "ready", 0)
	add("limited", "engine", "z", "ready", 0)
	add("cold", "engine", "z", "ready", 60_000)
	add("paused", "engine", "z", "ready", 0)
	add("unreachable", "engine", "z", "ready", 0)
	add("leaving", "engine", "z", "draining", 0)
	add("evacuated", "engine", "gone", "ready", 0)
	add("p1", "plain", "z", "ready", 0)
	add("p2", "plain", "z", "ready", 0)
	add("s1", "stage", "z", "ready", 0)
	for i := range others {
		value := fmt.Sprintf(`{"id":"y%d","data_centre":"y","started":2}`, i)
		entries = append(entries, store.Entry{Key: fmt.Sprint("hosts/y", i), Value: []byte(value), Version: store.Version(len(entries) + 1)})
	}
	if others > 0 {
		add("s2", "stage", "y", "ready", 0)
	}
	state.Replace(entries, store.Version(len(entries)+1), clock.Now(), time.Time{})
	s := &explainSite{view: state.View(), part: "shared"}
	view := func() *directory.View { return s.view }
	limits := &throttle.Table{
		Self: "a", Hosts: func() []fleet.Host { return s.view.Hosts }, Log: logging.Discard(), Metrics: metric.New(),
		ColdBound: func(service api.ServiceName) (int, bool) { return 4, service == "engine" },
	}
	now := clock.Now()
	rate := 1.0
	limits.UpdateHosts(now.Add(-time.Minute))
	limits.Observe(s.upstream("limited"), &rate, now)
	// A host of a large fleet has no share of the limit.
	assert.Equal(t, limits.Take(s.upstream("limited"), now), others == 0)
	for limits.Take(s.upstream("cold"), now) {
	}
	limits.Pause(s.upstream("paused"), time.Minute, now)
	health := &forward.HealthTable{}
	health.Begin(s.upstream("free"), 500)
	health.Begin(s.upstream("unreachable"), 0)
	health.End(s.upstream("unreachable"), forward.OutcomeUnreachable, 0, now)
	health.ReportLoad(s.upstream("p1"), &fleet.Load{Running: 3, Slots: 4, Pace: 1.5}, now)
	for range 20 {
		health.RecordFirstEvent(s.upstream("free"), &forward.FirstEvent{Tokens: 1000, Read: 1000, Took: 90 * time.Millisecond, Route: "plan"}, now)
	}
	s.scheduler = &Scheduler{
		Log: logging.Discard(), Metrics: metric.New(), View: view, Budget: &forward.Budget{Window: time.Second}, Throttle: limits, Forecasts: &GroupForecasts{},
		Upstreams: func(v *directory.View) []*fleet.Upstream { return UpstreamsInGroup(v, slices.Max(Groups(v))) }, Role: func(*directory.View) Role { return RoleScheduler },
	}
	s.client = &Client{Self: "a", View: view, Log: logging.Discard(), Metrics: metric.New(), Forecasts: s.scheduler.Forecasts, Local: func(Group) *Scheduler { return s.scheduler }}
	s.client.Forecasts.Learn(jobKind(0, []Spec{{Service: "stage"}}), []GroupForecast{{"z", 10, 20, 5000}, {"y", 30, 40, 100}}, now)
	s.forward = &forward.Service{
		View: view, Pool: &forward.Pool{Throttle: limits, Metrics: metric.New()}, Health: health, Budget: &forward.Budget{Ratio: 1, Slack: 1, Window: time.Second}, Log: logging.Discard(),
		Metrics: metric.New(), Prompts: &quarantine.Tracker{}, RunStages: s.client.Prepare, DataCentre: "z",
	}
	return s
}

func (s *explainSite) upstream(id api.UpstreamID) *fleet.Upstream {
	for _, service := range []api.ServiceName{"engine", "plain", "stage"} {
		for _, upstream := range s.view.Registered(service) {
			if upstream.ID == id {
				return upstream
			}
		}
	}
	return nil
}

func (s *explainSite) explain(t *testing.T, path string, items ...int) *forward.Explanation {
	t.Helper()
	request := &fleet.Request{
		ID: "r", Host: "h", Path: path, Received: clock.Now(), Items: items, CallerTimeout: 5 * time.Second,
		Prompt: []fleet.PromptPart{{ID: s.part, Tokens: 1000}, {ID: "own", Tokens: 10}}, PromptTokens: 1010,
	}
	report, err := s.forward.Explain(t.Context(), request, "w", func(work *forward.StageWork, limits *throttle.Table) (*forward.StageReport, error) {
		return s.client.Explain(work, limits, func(Group) *Scheduler { return s.scheduler })
	})
	assert.NilError(t, err)
	return report
}

// occupy queues jobs whose calls never end, so that the next one is refused.
func (s *explainSite) occupy(t *testing.T) {
	t.Helper()
	s.scheduler.mu.Lock()
	defer s.scheduler.mu.Unlock()
	s.scheduler.refresh()
	now := clock.Now()
	for i := range 50 {
		job := Job{Request: api.RequestID(fmt.Sprint("queued-", i)), Target: now.Add(time.Minute), Deadline: now.Add(time.Minute), Workspace: "w", Stages: []Spec{{Service: "stage", ResultBytes: 1000, Items: 8}}}
		assert.Assert(t, s.scheduler.plan.admit(&job, now).accepted)
		s.scheduler.plan.submit(job, now, func(Outcome, error) {})
	}
}

// TestExplainChangesNothing guards against an explanation that takes a token, promises a time to a caller,
// counts work or evidence, or drops what was known.
func TestExplainChangesNothing(t *testing.T) {
	s := newExplainSite(t, 0)
	check := func(verdict forward.Verdict, path string, items ...int) *forward.Explanation {
		before := stateOf(s)
		report := s.explain(t, path, items...)
		assert.Equal(t, stateOf(s), before)
		assert.Equal(t, report.Admission.Verdict, verdict, "%+v", report.Admission)
		return report
	}
	check(forward.VerdictRun, "/book/1")
	report := check(forward.VerdictRun, "/plan/1", 4)
	assert.Assert(t, *report.Stages.Accepted && report.Stages.Local && report.Stages.OnTimeMs > 0)
	assert.Equal(t, report.Engines.Samples, 20)
	s.occupy(t)
	report = check(forward.VerdictRefused, "/plan/1", 4)
	assert.Equal(t, report.Admission.Kind, api.KindDeadlineUnreachable)
	assert.Assert(t, report.Admission.RetryAfterMs > 0 && report.Stages.Reason == string(refusedTime))

	// The state that is compared contains all of these.
	before := stateOf(s)
	now := clock.Now()
	s.forward.Pool.Throttle.RetryDelay([]*fleet.Upstream{s.upstream("paused")}, now)
	promised := stateOf(s)
	assert.Assert(t, promised != before)
	s.forward.Budget.RecordFirst("engine", now)
	assert.Assert(t, stateOf(s) != promised)
}

// TestExplainAdmitsLikeScheduler guards against a report that differs from the decision that follows it.
func TestExplainAdmitsLikeScheduler(t *testing.T) {
	for _, busy := range []bool{false, true} {
		s := newExplainSite(t, 0)
		if busy {
			s.occupy(t)
		}
		report := s.explain(t, "/plan/1", 4)
		s.scheduler.Pool = &forward.Pool{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errors.ErrUnsupported }, Metrics: metric.New(), Throttle: s.scheduler.Throttle}
		s.scheduler.mu.Lock()
		s.scheduler.refresh()
		now := clock.Now()
		job := Job{Request: "r", Workspace: "w", Target: now.Add(1400 * time.Millisecond), Deadline: now.Add(5*time.Second - engineReserve), Stages: []Spec{{Service: "stage", ResultBytes: 1000, Items: 4}}}
		d := s.scheduler.plan.admit(&job, now)
		s.scheduler.mu.Unlock()
		assert.Equal(t, *report.Stages.Accepted, d.accepted)
		assert.Equal(t, report.Stages.OnTimeMs, d.onTime.Milliseconds())
	}
}

// TestExplainNamesReasons guards against an upstream that is left out without the reason.
func TestExplainNamesReasons(t *testing.T) {
	report := newExplainSite(t, 0).explain(t, "/plan/1", 4)
	reasons := map[api.UpstreamID]string{}
	for _, c := range report.Candidates {
		for _, obstacle := range slices.Concat(c.LeftOut, c.LastResort) {
			reasons[c.Upstream] += obstacle.Reason
			if obstacle.LeftMs > 0 {
				reasons[c.Upstream] += " until"
			}
		}
		assert.Equal(t, c.Cost != nil, len(c.LeftOut) == 0, c.Upstream)
	}
	assert.DeepEqual(t, reasons, map[api.UpstreamID]string{
		"limited": "rate limit used up until", "cold": "cold limit used up until", "paused": "paused until", "unreachable": "cooldown until",
		"leaving": "leaving", "evacuated": "evacuated data centre",
	})
	assert.Assert(t, slices.Contains([]api.UpstreamID{"free", "other"}, report.Choice), report.Choice)
	assert.Assert(t, report.RunnerUp != report.Choice && slices.Contains([]api.UpstreamID{"free", "other"}, report.RunnerUp), report.RunnerUp)
}

// TestExplainOfGroups guards against a verdict on stages that another host schedules, and against a
// refusal by one group that is taken for that of the request.
func TestExplainOfGroups(t *testing.T) {
	s := newExplainSite(t, maxSingleGroupHosts)
	s.occupy(t)
	seen := map[string]bool{}
	for i := range 8 {
		s.part = fmt.Sprint("part-", i)
		before := stateOf(s)
		report := s.explain(t, "/plan/1", 4)
		assert.Equal(t, stateOf(s), before)
		assert.Equal(t, report.Admission.Verdict, forward.VerdictOther)
		first, last := report.Stages, report.Stages
		seen[first.Group] = true
		if first.Group == "z" {
			assert.Assert(t, first.Local && !*first.Accepted && first.Other != nil)
			last = first.Other
		}
		assert.Equal(t, last.Group, "y")
		assert.Assert(t, !last.Local && last.Accepted == nil && strings.HasPrefix(string(last.Scheduler), "y"), last.Scheduler)
		assert.Assert(t, slices.ContainsFunc(last.Forecasts, func(f forward.StageForecastReport) bool {
			return f.Group == "y" && f.OnTimeMs == 30 && f.AgeMs >= 100 && !f.Refuses
		}))
	}
	assert.Equal(t, len(seen), 2, "only some groups are covered")
}
