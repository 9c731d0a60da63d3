package forward

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/logging"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// TestSameReportsDontGatherAllHosts guards against hosts that all send to the upstream that looked
// best in the same stale reports.
func TestSameReportsDontGatherAllHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	list := engines(3)
	for i := range list {
		list[i].Upstream.Slots = 6
		list[i].Health.Measured = &Measured{Load: ReportedLoad{Load: fleet.Load{Running: 2 + i, Slots: 6}, At: now}}
	}
	got := map[api.UpstreamID]int{}
	const requests = 3000
	for i := range requests {
		got[LeastLoadedForOrder(list, api.RequestID(fmt.Sprint(i)), nil, now).ID]++
	}
	assert.Assert(t, got["e0"] > got["e1"] && got["e1"] > got["e2"], "%v", got)
	assert.Assert(t, got["e0"] < requests*3/4 && got["e2"] > requests/20, "%v", got)
}

// TestPaceIsForgotten guards against an upstream that was slow for a moment and gets nothing
// afterwards, and against one that still gets requests while it is slow.
func TestPaceIsForgotten(t *testing.T) {
	var table HealthTable
	list := engines(3)
	now := time.Unix(1000, 0)
	answer := func(u *fleet.Upstream, latency time.Duration) {
		u.Service = "svc"
		table.begin(u, 0, now)
		table.End(u, OutcomeAnswered, latency, now)
	}
	for range 20 {
		for i := range list {
			answer(list[i].Upstream, 15*time.Millisecond)
		}
	}
	for range 3 {
		answer(list[0].Upstream, 75*time.Millisecond)
	}
	count := func() int {
		chosen := 0
		for i := range 300 {
			for k := range list {
				list[k].Health = table.Get(list[k].Upstream)
			}
			if LeastLoaded(list, api.RequestID(fmt.Sprint(i)), nil, now) == list[0].Upstream {
				chosen++
			}
		}
		return chosen
	}
	assert.Assert(t, count() < 10, "%d of 300 requests to a slow upstream", count())
	now = now.Add(5 * time.Second)
	assert.Assert(t, count() > 60, "%d of 300 requests to an upstream that was slow 5 s ago", count())
}

// TestSilenceShowsSlowUpstream guards against further requests to an upstream that answers nothing.
func TestSilenceShowsSlowUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	list := engines(2)
	for i := range list {
		list[i].Health = Health{Service: &MeasuredService{Usual: 15 * time.Millisecond}, Running: 1, SilentSince: now.UnixNano(), LastOutcome: now}
	}
	list[0].Health.SilentSince -= int64(100 * time.Millisecond)
	for i := range 50 {
		assert.Equal(t, LeastLoaded(list, api.RequestID(fmt.Sprint(i)), nil, now).ID, list[1].Upstream.ID)
	}
}

// TestOrdersAvoidLosses guards against orders at an upstream that loses requests, also as the last
// choice after refusals, and against no choice if all do.
func TestOrdersAvoidLosses(t *testing.T) {
	var table HealthTable
	list := engines(3)
	now := time.Unix(1000, 0)
	for range 2 {
		table.begin(list[0].Upstream, 0, now)
		table.End(list[0].Upstream, OutcomeLost, 0, now)
	}
	for range 8 {
		table.begin(list[1].Upstream, 0, now)
		table.End(list[1].Upstream, OutcomeRefused, 0, now)
	}
	for i := range list {
		list[i].Health = table.Get(list[i].Upstream)
	}
	refused := map[api.UpstreamID]bool{list[1].Upstream.ID: true, list[2].Upstream.ID: true}
	for i := range 100 {
		assert.Assert(t, LeastLoadedForOrder(list, api.RequestID(fmt.Sprint(i)), refused, now) != list[0].Upstream)
	}
	assert.Equal(t, LeastLoadedForOrder(list[:1], "r", nil, now), list[0].Upstream)
}

// TestLoadReports guards against reports that do not reach the health of their upstream, and against
// an invalid one that does or that fills the log.
func TestLoadReports(t *testing.T) {
	var log strings.Builder
	report := "2,1,6,300"
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent}, func(w *bufio.Writer, _ platform.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: 1\r\n%s: %s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", wire.HeaderDigest, wire.HeaderRequestID, "id-1", wire.HeaderLoad, report)
		return true
	})
	f.Pool.Health, f.Pool.Log = f.Health, logging.New(&log, "info", "")
	serve := func() ReportedLoad {
		_, err := f.serve(t, nil)
		assert.NilError(t, err)
		return f.Health.Get(&f.upstreams[0].Entry).Measured.Load
	}
	load := serve()
	assert.DeepEqual(t, load.Load, fleet.Load{Running: 2, Waiting: 1, Slots: 6, Pace: 3})
	assert.Assert(t, f.Health.Get(&f.upstreams[0].Entry).Measured.Pace.Value > 1)
	for range 3 {
		report = "2,1,0,0"
		assert.DeepEqual(t, serve().Load, load.Load)
	}
	assert.Equal(t, f.Metrics.Counters()["load.invalid"], int64(3))
	assert.Equal(t, strings.Count(log.String(), "load_report_invalid"), 1)
}
