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

// refusingEndpoint is a store endpoint at which nothing listens.
const refusingEndpoint = "http://127.0.0.1:1"

// oneCentre puts all hosts in one data centre, of which two hosts read the store,
// and cuts the host cutOff from the store.
func oneCentre(id string) map[string][]string {
	settings := map[string][]string{"host": {"data_centre = tt-south-a"}}
	if id == cutOff {
		settings["store"] = []string{"endpoints = " + refusingEndpoint}
	}
	return settings
}

// cutOff is the id of the last of four hosts.
const cutOff = "host-4"

// startOneCentre starts three hosts with the store, of which two read it, and one without.
func startOneCentre(t *testing.T) *site.Site {
	t.Helper()
	s := startSite(t, "greenhand", site.Options{
		Hosts: 4, HostSettings: oneCentre, Settings: map[string][]string{"peer": {"interval = 200ms"}},
	})
	waitVoters(t, s, 3)
	return s
}

// revision returns the revision in force at a host.
func revision(t *testing.T, host *site.Host) api.Revision {
	t.Helper()
	return operatorStatus(t, host).Revision
}

// commitWeight changes one workspace through an operator's command line at a host.
func commitWeight(t *testing.T, s *site.Site, host *site.Host, weight float64) api.Revision {
	t.Helper()
	doc, base := s.Options.Document.Clone(), revision(t, host)
	doc.Workspaces[0].Weight = weight
	encoded, err := json.Marshal(doc)
	assert.NilError(t, err)
	var answer console.CommitResponse
	code, err := operate(host, http.MethodPost, console.PathConfig, console.CommitRequest{Document: encoded, Base: base}, &answer)
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusOK)
	assert.Equal(t, answer.Revision, base+1)
	return answer.Revision
}

// waitRevision waits until a revision is in force at all hosts. At no host may the
// revision in force ever fall.
func waitRevision(t *testing.T, s *site.Site, wanted api.Revision) {
	t.Helper()
	for _, host := range s.Hosts {
		last := api.Revision(0)
		eventually(t, "revision "+strconv.FormatUint(uint64(wanted), 10)+" is in force at "+string(host.ID), func() bool {
			now := revision(t, host)
			assert.Assert(t, now >= last, "%s went from revision %d to %d", host.ID, last, now)
			last = now
			return now >= wanted
		})
	}
}

var revisionField = regexp.MustCompile(`revision="?(\d+)`)

// assertRising checks by its log that a host put only higher revisions in force.
func assertRising(t *testing.T, host *site.Host) {
	t.Helper()
	data, err := os.ReadFile(host.Log)
	assert.NilError(t, err)
	last, lines := uint64(0), 0
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, "configuration_in_force") {
			continue
		}
		found := revisionField.FindStringSubmatch(line)
		assert.Assert(t, found != nil, line)
		number, err := strconv.ParseUint(found[1], 10, 64)
		assert.NilError(t, err)
		assert.Assert(t, number > last, "%s put revision %d in force after %d", host.ID, number, last)
		last, lines = number, lines+1
	}
	assert.Assert(t, lines > 0, "%s logged no revision", host.ID)
}

// storeOut refuses new connections to the key-value service and silences the open ones.
func storeOut(t *testing.T, s *site.Site) {
	t.Helper()
	for _, mode := range []injection.Mode{injection.ModeRefuse, injection.ModeSilence} {
		assert.NilError(t, fleet.Inject(s.KeyValueControl, s.KeyValueAddress, injection.Fault{Mode: mode}))
	}
}

// storeCalls returns the number of calls that the key-value service received by path.
func storeCalls(t *testing.T, s *site.Site) map[string]int64 {
	t.Helper()
	response, err := http.Get("http://" + s.KeyValueAddress + "/calls")
	assert.NilError(t, err)
	defer response.Body.Close()
	calls := map[string]int64{}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&calls))
	return calls
}

// TestChangeReachesHostsWithoutTheStore guards against a change that stays on the
// hosts which read the store, against whole copies where one part changed, and
// against a new host that can't start, or starts on an older revision, during an
// outage of the store.
func TestChangeReachesHostsWithoutTheStore(t *testing.T) {
	s := startOneCentre(t)
	apart := s.Hosts[3]
	parts, bytes := counter(t, apart, "configuration_parts_from_peer"), counter(t, apart, "configuration_bytes_from_peer")
	committed := commitWeight(t, s, s.Hosts[0], 3)
	storeOut(t, s)
	waitRevision(t, s, committed)
	// The change touches the part of one workspace, which is a small share of the document.
	assert.Equal(t, counter(t, apart, "configuration_parts_from_peer")-parts, int64(1))
	fetched := counter(t, apart, "configuration_bytes_from_peer") - bytes
	assert.Assert(t, fetched > 0 && fetched*4 < bytes, "%d bytes after %d at the start", fetched, bytes)
	assert.Equal(t, counter(t, apart, "configuration_parts_from_store"), int64(0))

	added, err := s.AddHost("added")
	assert.NilError(t, err)
	assert.NilError(t, added.WaitReady(time.Minute))
	assert.Equal(t, revision(t, added), committed)
	assert.Equal(t, counter(t, added, "configuration_parts_from_store"), int64(0))
	for _, host := range s.Hosts {
		assertRising(t, host)
	}
}

// TestStoreThatLostItsData guards against hosts that follow a key-value service
// which is restarted without data, or comes back with an older manifest, and
// against a new host that becomes ready on that manifest.
func TestStoreThatLostItsData(t *testing.T) {
	s := startOneCentre(t)
	client, err := etcd.New(kernel.StoreOptions{Endpoints: []string{"http://" + s.KeyValueAddress}})
	assert.NilError(t, err)
	keys := store.Keys{Prefix: s.Options.Document.Deployment + "/"}
	old, err := client.Get(t.Context(), keys.Manifest())
	assert.NilError(t, err)
	parts, err := client.List(t.Context(), keys.PartsPrefix(), "", 0)
	assert.NilError(t, err)
	commitWeight(t, s, s.Hosts[0], 3)
	newest := commitWeight(t, s, s.Hosts[0], 4)
	waitRevision(t, s, newest)

	assert.NilError(t, s.RestartKeyValue())
	txn := store.Txn{Puts: []store.Put{{Key: keys.Manifest(), Value: old.Value}}}
	for _, part := range parts {
		txn.Puts = append(txn.Puts, store.Put{Key: part.Key, Value: part.Value})
	}
	eventually(t, "a host reads the empty store and watches it", func() bool { return storeCalls(t, s)["/v3/watch"] > 0 })
	waitRevision(t, s, newest)
	result, err := client.Txn(t.Context(), txn)
	assert.NilError(t, err)
	assert.Assert(t, result.Applied)
	eventually(t, "a host reads the older manifest", func() bool {
		refused := int64(0)
		for _, host := range s.Hosts {
			refused += counter(t, host, "configuration_lower_revision")
			assert.Assert(t, revision(t, host) >= newest, "%s went back", host.ID)
		}
		return refused > 0
	})
	added, err := s.AddHost("added")
	assert.NilError(t, err)
	assert.NilError(t, added.WaitReady(time.Minute))
	assert.Equal(t, revision(t, added), newest)
	waitRevision(t, s, commitWeight(t, s, s.Hosts[1], 5))
	for _, host := range s.Hosts {
		assertRising(t, host)
		assert.Equal(t, revision(t, host), newest+1)
	}
}
