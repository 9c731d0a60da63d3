package e2e

import (
	"encoding/json"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/internal/kernel"
	"redwingloft/internal/plugin/etcd"
	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
	"redwingloft/standin/fleet"
	"redwingloft/standin/injection"
	"redwingloft/standin/site"
)

// unreachableEndpoint is a store endpoint on which nothing listens.
const unreachableEndpoint = "http://127.0.0.1:1"

// singleDataCentreSettings puts all hosts in one data centre, where two hosts read the
// store, and gives disconnectedHost an unreachable store endpoint.
func singleDataCentreSettings(id string) map[string][]string {
	settings := map[string][]string{"host": {"data_centre = tt-south-a"}}
	if id == disconnectedHost {
		settings["store"] = []string{"endpoints = " + unreachableEndpoint}
	}
	return settings
}

// disconnectedHost is the ID of the last of four hosts, which can't reach the store.
const disconnectedHost = "host-4"

// startSingleDataCentre starts three hosts that can reach the store, two of which read it,
// and one that can't reach it.
func startSingleDataCentre(t *testing.T) *site.Site {
	t.Helper()
	s := startSite(t, "greenhand", site.Options{
		Hosts: 4, HostSettings: singleDataCentreSettings, Settings: map[string][]string{"peer": {"interval = 200ms"}},
	})
	waitVoters(t, s, 3)
	return s
}

// activeRevision returns the active revision of a host.
func activeRevision(t *testing.T, host *site.Host) api.Revision {
	t.Helper()
	return operatorStatus(t, host).Revision
}

// commitWeight commits a new weight for one workspace through the operator API of a host.
func commitWeight(t *testing.T, s *site.Site, host *site.Host, weight float64) api.Revision {
	t.Helper()
	doc, base := s.Options.Document.Clone(), activeRevision(t, host)
	doc.Workspaces[0].Weight = weight
	encoded, err := json.Marshal(doc)
	assert.NilError(t, err)
	var response console.CommitResponse
	code, err := sendOperatorRequest(host, http.MethodPost, console.PathConfig, console.CommitRequest{Document: encoded, Base: base}, &response)
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusOK)
	assert.Equal(t, response.Revision, base+1)
	return response.Revision
}

// waitRevision waits until the revision is active on all hosts. It fails if the active
// revision of a host ever decreases.
func waitRevision(t *testing.T, s *site.Site, want api.Revision) {
	t.Helper()
	for _, host := range s.Hosts {
		last := api.Revision(0)
		eventually(t, "revision "+strconv.FormatUint(uint64(want), 10)+" is active on "+string(host.ID), func() bool {
			current := activeRevision(t, host)
			assert.Assert(t, current >= last, "%s went from revision %d to %d", host.ID, last, current)
			last = current
			return current >= want
		})
	}
}

var revisionField = regexp.MustCompile(`revision="?(\d+)`)

// assertRevisionsIncrease checks in the log of a host that each revision it activated was
// higher than the one before.
func assertRevisionsIncrease(t *testing.T, host *site.Host) {
	t.Helper()
	data, err := os.ReadFile(host.Log)
	assert.NilError(t, err)
	last, lines := uint64(0), 0
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, "configuration_in_force") {
			continue
		}
		match := revisionField.FindStringSubmatch(line)
		assert.Assert(t, match != nil, line)
		number, err := strconv.ParseUint(match[1], 10, 64)
		assert.NilError(t, err)
		assert.Assert(t, number > last, "%s activated revision %d after %d", host.ID, number, last)
		last, lines = number, lines+1
	}
	assert.Assert(t, lines > 0, "%s logged no revision", host.ID)
}

// injectStoreOutage makes the key-value service refuse new connections and stalls the open
// ones.
func injectStoreOutage(t *testing.T, s *site.Site) {
	t.Helper()
	for _, mode := range []injection.Mode{injection.ModeRefuse, injection.ModeStall} {
		assert.NilError(t, fleet.Inject(s.KeyValueControlAddress, s.KeyValueAddress, injection.Fault{Mode: mode}))
	}
}

// storeCalls returns the number of calls that the key-value service received, by path.
func storeCalls(t *testing.T, s *site.Site) map[string]int64 {
	t.Helper()
	response, err := http.Get("http://" + s.KeyValueAddress + "/calls")
	assert.NilError(t, err)
	defer response.Body.Close()
	calls := map[string]int64{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&calls))
	return calls
}

// TestCommitReachesHostsWithoutStore guards against a change that only reaches the hosts
// that read the store, against full copies where one part changed, and against a new host
// that can't start, or starts on an older revision, during a store outage.
func TestCommitReachesHostsWithoutStore(t *testing.T) {
	s := startSingleDataCentre(t)
	disconnected := s.Hosts[3]
	parts, bytes := counter(t, disconnected, "configuration_parts_from_peer"), counter(t, disconnected, "configuration_bytes_from_peer")
	committed := commitWeight(t, s, s.Hosts[0], 3)
	injectStoreOutage(t, s)
	waitRevision(t, s, committed)
	// The change affects only the part of one workspace, a small share of the document.
	assert.Equal(t, counter(t, disconnected, "configuration_parts_from_peer")-parts, int64(1))
	fetched := counter(t, disconnected, "configuration_bytes_from_peer") - bytes
	assert.Assert(t, fetched > 0 && fetched*4 < bytes, "fetched %d bytes for the change and %d bytes at startup", fetched, bytes)
	assert.Equal(t, counter(t, disconnected, "configuration_parts_from_store"), int64(0))

	added, err := s.AddHost("added")
	assert.NilError(t, err)
	assert.NilError(t, added.WaitReady(time.Minute))
	assert.Equal(t, activeRevision(t, added), committed)
	assert.Equal(t, counter(t, added, "configuration_parts_from_store"), int64(0))
	for _, host := range s.Hosts {
		assertRevisionsIncrease(t, host)
	}
}

// TestStoreDataLoss guards against hosts that follow a key-value service which is
// restarted without data or returns an older manifest, and against a new host that becomes
// ready on that manifest.
func TestStoreDataLoss(t *testing.T) {
	s := startSingleDataCentre(t)
	client, err := etcd.New(kernel.StoreOptions{Endpoints: []string{"http://" + s.KeyValueAddress}})
	assert.NilError(t, err)
	keys := store.Keys{Prefix: s.Options.Document.Deployment + "/"}
	oldManifest, err := client.Get(t.Context(), keys.Manifest())
	assert.NilError(t, err)
	parts, err := client.List(t.Context(), keys.PartsPrefix(), "", 0)
	assert.NilError(t, err)
	commitWeight(t, s, s.Hosts[0], 3)
	newest := commitWeight(t, s, s.Hosts[0], 4)
	waitRevision(t, s, newest)

	assert.NilError(t, s.RestartKeyValue())
	txn := store.Txn{Puts: []store.Put{{Key: keys.Manifest(), Value: oldManifest.Value}}}
	for _, part := range parts {
		txn.Puts = append(txn.Puts, store.Put{Key: part.Key, Value: part.Value})
	}
	eventually(t, "a host reads the empty store and watches it", func() bool { return storeCalls(t, s)["/v3/watch"] > 0 })
	waitRevision(t, s, newest)
	result, err := client.Txn(t.Context(), txn)
	assert.NilError(t, err)
	assert.Assert(t, result.Applied)
	eventually(t, "a host reads the older manifest", func() bool {
		rejected := int64(0)
		for _, host := range s.Hosts {
			rejected += counter(t, host, "configuration_lower_revision")
			assert.Assert(t, activeRevision(t, host) >= newest, "%s went back to an older revision", host.ID)
		}
		return rejected > 0
	})
	added, err := s.AddHost("added")
	assert.NilError(t, err)
	assert.NilError(t, added.WaitReady(time.Minute))
	assert.Equal(t, activeRevision(t, added), newest)
	waitRevision(t, s, commitWeight(t, s, s.Hosts[1], 5))
	for _, host := range s.Hosts {
		assertRevisionsIncrease(t, host)
		assert.Equal(t, activeRevision(t, host), newest+1)
	}
}
