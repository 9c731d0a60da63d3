package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReportShowsEveryHost guards against a report that shows a dead or draining host as live,
// or the wrong revision.
func TestReportShowsEveryHost(t *testing.T) {
	c := newCluster(t, 4)
	c.commit(true)
	c.run(3 * time.Second)
	// This does the work of Drain, but waits for its exchanges: they read the state of the
	// cluster that the next lines modify.
	c.hosts[1].draining.Store(true)
	c.hosts[1].StartRound(t.Context())()
	c.hosts[2].dead = true
	c.run(10 * time.Second)
	want := map[HostState]int{HostSelf: 1, HostLive: 1, HostDraining: 1, HostDead: 1}
	got := map[HostState]int{}
	for _, report := range c.hosts[0].Report() {
		got[report.State]++
		if report.State == HostLive {
			assert.Equal(t, report.Revision, c.hosts[0].revision())
		}
	}
	assert.DeepEqual(t, got, want)
}
