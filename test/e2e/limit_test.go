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
	// limitGrant bounds the tokens of one host that it was granted and has not used:
	// less than one token, and then a grant of 200 ms of its share or for two callers.
	limitGrant = 4.0
	// fallbackSeconds is above the time for which a host uses its share of the rate
	// after its last question to a home host that is dead.
	fallbackSeconds = 2.0
	// floodBound bounds the calls of one caller.
	floodBound = 5000
	// floodTime is long enough for the rate to weigh more than the bursts.
	floodTime = 4 * time.Second
)

// flood calls all hosts from two callers each while f runs. It returns the number of
// admitted calls, the number of refused ones, and the seconds from before the first
// call to after the last.
func flood(t *testing.T, hosts []*site.Host, f func()) (admitted, refused int64, elapsed float64) {
	t.Helper()
	var (
		yes, no atomic.Int64
		stop    atomic.Bool
		wait    sync.WaitGroup
	)
	start := time.Now()
	for _, host := range slices.Concat(hosts, hosts) {
		wait.Go(func() {
			for i := 0; i < floodBound && !stop.Load(); i++ {
				refusal, err := callService(host, "client-records/read", "")
				switch {
				case !assert.Check(t, err):
					return
				case refusal.Kind == "":
					yes.Add(1)
				default:
					no.Add(1)
					assert.Check(t, refusal.Kind == api.KindWorkspaceLimit, "%+v", refusal)
				}
				time.Sleep(4 * time.Millisecond)
			}
		})
	}
	f()
	stop.Store(true)
	wait.Wait()
	return yes.Load(), no.Load(), time.Since(start).Seconds()
}

// checkAdmitted checks the number of admitted calls.
func checkAdmitted(t *testing.T, when string, admitted, refused int64, bound float64) {
	t.Helper()
	t.Logf("%s: %d admitted, %d refused; at most %.0f may be admitted", when, admitted, refused, bound)
	assert.Assert(t, admitted > 0 && refused > 0, when)
	assert.Assert(t, float64(admitted) <= bound, "%s: %d admitted; at most %.0f may be", when, admitted, bound)
}

// liveHosts returns the full ids of the hosts that a host knows as live, itself included.
func liveHosts(t *testing.T, host *site.Host) []api.HostID {
	t.Helper()
	var live []api.HostID
	for _, known := range operatorStatus(t, host).Hosts {
		if known.State == "live" || known.State == "this host" {
			live = append(live, known.Host)
		}
	}
	return live
}

// homeOf returns the id of the home host of a workspace.
func homeOf(workspace string, hosts []api.HostID) api.HostID {
	var hashes []uint64
	for _, host := range hosts {
		hashes = append(hashes, hashing.Of(string(host)))
	}
	return hosts[hashing.Owner(hashing.Of(workspace), hashes)]
}

// TestWorkspaceLimitOverAllHosts guards against a limit that each host applies on
// its own, and against one that is lost with the home host of the workspace. The
// bounds hold for any speed of the machine: they grow with the measured time.
func TestWorkspaceLimitOverAllHosts(t *testing.T) {
	doc := loadDocument(t, "greenhand")
	for i := range doc.Workspaces {
		doc.Workspaces[i].RequestsPerSecond, doc.Workspaces[i].Burst = limitRate, limitBurst
	}
	s := startSite(t, "greenhand", site.Options{Document: doc, Hosts: limitHosts, Settings: map[string][]string{"peer": {"interval = 200ms"}}})
	waitVoters(t, s, limitHosts)
	live := liveHosts(t, s.Hosts[0])
	assert.Equal(t, len(live), limitHosts)

	// Grants are taken from the bucket of the home host, so that those outstanding lower the number.
	admitted, refused, elapsed := flood(t, s.Hosts, func() { time.Sleep(floodTime) })
	checkAdmitted(t, "all hosts", admitted, refused, limitBurst+limitRate*elapsed)

	victim, rest := split(t, s.Hosts, homeOf("port-of-spain", live))
	assert.NilError(t, victim.Kill())
	granted := limitGrant * float64(len(rest))
	admitted, refused, elapsed = flood(t, rest, func() {
		for _, host := range rest {
			eventually(t, "a host knows that the home host is dead", func() bool { return len(liveHosts(t, host)) < limitHosts })
		}
	})
	// Each host serves its share of the rate and of the burst. Where some know of the
	// death before others, the new home host serves the whole rate and burst beside that.
	checkAdmitted(t, "home host killed", admitted, refused, granted+2*(limitBurst+limitRate*elapsed))

	admitted, refused, elapsed = flood(t, rest, func() { time.Sleep(floodTime) })
	checkAdmitted(t, "new home host", admitted, refused, granted+2*limitBurst+limitRate*(elapsed+fallbackSeconds))
}

// split returns the host of a full id and the other hosts.
func split(t *testing.T, hosts []*site.Host, id api.HostID) (one *site.Host, others []*site.Host) {
	t.Helper()
	for _, host := range hosts {
		if operatorStatus(t, host).Host == id {
			one = host
			continue
		}
		others = append(others, host)
	}
	assert.Assert(t, one != nil)
	return one, others
}
