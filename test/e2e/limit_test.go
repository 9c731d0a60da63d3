package e2e

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/hashing"
	"redwingloft/pkg/api"
	"redwingloft/standin/site"
)

const (
	limitRate  = 40.0
	limitBurst = 8.0
	limitHosts = 4
	// maxUnusedGrant bounds the tokens that one host was granted and has not used: less than one
	// token, plus a grant for 200 ms of its share or for two callers.
	maxUnusedGrant = 4.0
	// fallbackSeconds exceeds the time for which a host uses its local share of the rate after
	// its last request to a dead home host.
	fallbackSeconds = 2.0
	// maxFloodCalls bounds the calls of one caller.
	maxFloodCalls = 5000
	// floodDuration is long enough for the rate to outweigh the bursts.
	floodDuration = 4 * time.Second
)

// flood sends calls to each host from two callers while during runs. It returns the number
// of admitted calls, the number of refused ones, and the seconds from before the first
// call to after the last.
func flood(t *testing.T, hosts []*site.Host, during func()) (admitted, refused int64, elapsed float64) {
	t.Helper()
	var (
		admittedCount, refusedCount atomic.Int64
		stop                        atomic.Bool
		wait                        sync.WaitGroup
	)
	start := time.Now()
	for _, host := range slices.Concat(hosts, hosts) {
		wait.Go(func() {
			for i := 0; i < maxFloodCalls && !stop.Load(); i++ {
				refusal, err := callService(host, "client-records/read", "")
				switch {
				case !assert.Check(t, err):
					return
				case refusal.Kind == "":
					admittedCount.Add(1)
				default:
					refusedCount.Add(1)
					assert.Check(t, refusal.Kind == api.KindWorkspaceLimit, "%+v", refusal)
				}
				time.Sleep(4 * time.Millisecond)
			}
		})
	}
	during()
	stop.Store(true)
	wait.Wait()
	return admittedCount.Load(), refusedCount.Load(), time.Since(start).Seconds()
}

// checkAdmitted checks that some calls were admitted, some were refused, and no more than
// maxAdmitted were admitted.
func checkAdmitted(t *testing.T, phase string, admitted, refused int64, maxAdmitted float64) {
	t.Helper()
	t.Logf("%s: %d admitted, %d refused; at most %.0f may be admitted", phase, admitted, refused, maxAdmitted)
	assert.Assert(t, admitted > 0 && refused > 0, phase)
	assert.Assert(t, float64(admitted) <= maxAdmitted, "%s: %d admitted; at most %.0f may be", phase, admitted, maxAdmitted)
}

// liveHosts returns the full IDs of the hosts that a host reports as live, including
// itself.
func liveHosts(t *testing.T, host *site.Host) []api.HostID {
	t.Helper()
	var live []api.HostID
	for _, entry := range operatorStatus(t, host).Hosts {
		if entry.State == "live" || entry.State == "this host" {
			live = append(live, entry.Host)
		}
	}
	return live
}

// homeHost returns the ID of the home host of a workspace.
func homeHost(workspace string, hosts []api.HostID) api.HostID {
	var hashes []uint64
	for _, host := range hosts {
		hashes = append(hashes, hashing.Of(string(host)))
	}
	return hosts[hashing.Owner(hashing.Of(workspace), hashes)]
}

// TestWorkspaceLimitAcrossHosts guards against a limit that each host applies on its own,
// and against one that is lost when the home host of the workspace dies. The bounds grow
// with the measured time, so they hold on a machine of any speed.
func TestWorkspaceLimitAcrossHosts(t *testing.T) {
	doc := loadDocument(t, "greenhand")
	for i := range doc.Workspaces {
		doc.Workspaces[i].RequestsPerSecond, doc.Workspaces[i].Burst = limitRate, limitBurst
	}
	s := startSite(t, "greenhand", site.Options{Document: doc, Hosts: limitHosts, Settings: map[string][]string{"peer": {"interval = 200ms"}}})
	waitVoters(t, s, limitHosts)
	live := liveHosts(t, s.Hosts[0])
	assert.Equal(t, len(live), limitHosts)

	// Grants are deducted from the bucket of the home host, so outstanding grants lower the count.
	admitted, refused, elapsed := flood(t, s.Hosts, func() { time.Sleep(floodDuration) })
	checkAdmitted(t, "all hosts", admitted, refused, limitBurst+limitRate*elapsed)

	victim, rest := splitHosts(t, s.Hosts, homeHost("port-of-spain", live))
	assert.NilError(t, victim.Kill())
	granted := maxUnusedGrant * float64(len(rest))
	admitted, refused, elapsed = flood(t, rest, func() {
		for _, host := range rest {
			eventually(t, "a host detects that the home host is dead", func() bool { return len(liveHosts(t, host)) < limitHosts })
		}
	})
	// Each host admits its local share of the rate and of the burst. While only some hosts
	// have detected the failure, the new home host also grants the whole rate and burst.
	checkAdmitted(t, "home host killed", admitted, refused, granted+2*(limitBurst+limitRate*elapsed))

	admitted, refused, elapsed = flood(t, rest, func() { time.Sleep(floodDuration) })
	checkAdmitted(t, "new home host", admitted, refused, granted+2*limitBurst+limitRate*(elapsed+fallbackSeconds))
}

// splitHosts returns the host with the given full ID and the other hosts.
func splitHosts(t *testing.T, hosts []*site.Host, id api.HostID) (selected *site.Host, others []*site.Host) {
	t.Helper()
	for _, host := range hosts {
		if operatorStatus(t, host).Host == id {
			selected = host
			continue
		}
		others = append(others, host)
	}
	assert.Assert(t, selected != nil)
	return selected, others
}
