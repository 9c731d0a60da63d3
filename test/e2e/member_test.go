package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/kernel"
	"redwingloft/internal/plugin/etcd"
	"redwingloft/internal/service/configuration"
	"redwingloft/pkg/api"
	"redwingloft/standin/engine"
	"redwingloft/standin/site"
)

// hangTimeout bounds waits for events; no test asserts on how long they take.
const hangTimeout = 60 * time.Second

// startMembers starts a deployment in which all hosts are voters.
func startMembers(t *testing.T, hosts int) *site.Site {
	s := startSite(t, "greenhand", site.Options{Hosts: hosts, Settings: map[string][]string{
		"host": {"drain = 3s"}, "caller": {"address_validity = 1s"}, "peer": {"interval = 200ms"},
	}})
	waitVoters(t, s, hosts)
	return s
}

// waitVoters waits until every host reports the given number of voters.
func waitVoters(t *testing.T, s *site.Site, voters int) {
	t.Helper()
	for _, host := range s.Hosts {
		eventually(t, "all hosts are voters", func() bool {
			return strings.Contains(fetch(host, "/metrics"), fmt.Sprintf("redwingloft_member_voters %d\n", voters))
		})
	}
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", hangTimeout, description)
}

func fetch(host *site.Host, path string) string {
	response, err := http.Get("http://" + host.AdminAddress + path)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}

// commitVersion commits a document that serves the visit plans of a workspace with the
// given version.
func commitVersion(t *testing.T, s *site.Site, version string) {
	t.Helper()
	client, err := etcd.New(kernel.StoreOptions{Endpoints: []string{"http://" + s.KeyValueAddress}})
	assert.NilError(t, err)
	doc := s.Options.Document.Clone()
	for i := range doc.Workspaces {
		if doc.Workspaces[i].Name == "port-of-spain" {
			doc.Workspaces[i].Serves[0].Version = api.VersionName(version)
		}
	}
	operator := &configuration.Service{
		Store: client, Keys: store.Keys{Prefix: doc.Deployment + "/"}, Holder: &document.SnapshotHolder{}, Log: logging.Discard(),
	}
	assert.NilError(t, operator.Refresh(context.Background()))
	_, err = operator.Commit(context.Background(), doc, operator.Holder.Load().Revision, "test", "")
	assert.NilError(t, err)
}

// runVisitPlan requests a visit plan from a host and returns the version that served it,
// or the refusal.
func runVisitPlan(t *testing.T, host *site.Host) (api.VersionName, api.Error) {
	t.Helper()
	status, body := send(t, host, api.PathPipelines+"visit-plan/run", "port-of-spain", "", api.RunRequest{Input: "prune", MaxTokens: 4})
	var refusal api.Error
	var response api.RunAnswer
	if status != http.StatusOK {
		assert.NilError(t, json.Unmarshal(body, &refusal), string(body))
		assert.Equal(t, refusal.Run, api.RunNo, string(body))
		return "", refusal
	}
	assert.NilError(t, json.Unmarshal(body, &response))
	return response.Version, refusal
}

func servesVersion(t *testing.T, host *site.Host, version api.VersionName) func() bool {
	return func() bool {
		got, _ := runVisitPlan(t, host)
		return got == version
	}
}

// cachingCaller is a caller that caches the address list until it expires.
type cachingCaller struct {
	mu         sync.Mutex
	hosts      []api.HostAddress
	validUntil time.Time
	next       int
}

func (c *cachingCaller) nextAddress() (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.validUntil) {
		requestedAt := time.Now()
		response, err := http.Get("http://" + string(c.hosts[0].Address) + api.PathHosts)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		var list api.AddressList
		if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
			return "", err
		}
		c.hosts, c.validUntil = list.Hosts, requestedAt.Add(time.Duration(list.ValidForMs)*time.Millisecond)
	}
	c.next++
	return string(c.hosts[c.next%len(c.hosts)].Address), nil
}

// run sends one request and checks that its response is complete. With many tokens the
// request takes longer than the drain.
func (c *cachingCaller) run(tokens int) error {
	address, err := c.nextAddress()
	if err != nil {
		return err
	}
	body, _ := json.Marshal(api.RunRequest{Input: "water the beds", MaxTokens: tokens})
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+api.PathPipelines+"visit-plan/run", bytes.NewReader(body))
	request.Header.Set(api.HeaderWorkspace, "port-of-spain")
	request.Header.Set("Authorization", "Bearer "+token("port-of-spain"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	var result api.RunAnswer
	if err := json.Unmarshal(data, &result); err != nil || result.Text != engine.Text("water the beds", tokens) {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, data)
	}
	return nil
}

// TestReplaceAllHosts guards against a replacement of hosts that aborts or refuses a
// request.
func TestReplaceAllHosts(t *testing.T) {
	s := startMembers(t, 3)
	caller := &cachingCaller{hosts: []api.HostAddress{{Address: api.Address(s.Hosts[0].CallerAddress)}}}
	var stop atomic.Bool
	var completed atomic.Int64
	failures := make(chan error, 1000)
	var load sync.WaitGroup
	for worker := range 8 {
		load.Go(func() {
			for !stop.Load() {
				if err := caller.run(10 + 300*worker); err != nil {
					failures <- err
					return
				}
				completed.Add(1)
			}
		})
	}
	for i, old := range s.Hosts[:3] {
		replacement, err := s.AddHost(fmt.Sprintf("new-%d", i+1))
		assert.NilError(t, err)
		assert.NilError(t, replacement.WaitReady(hangTimeout))
		before := completed.Load()
		eventually(t, "requests complete", func() bool { return completed.Load() > before+20 || len(failures) > 0 })
		assert.NilError(t, old.Signal(syscall.SIGTERM))
		assert.NilError(t, old.Wait(hangTimeout))
	}
	stop.Store(true)
	load.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	t.Logf("%d requests got a complete response", completed.Load())
}

// TestConfigurationChangeWhileHostFrozen guards against a host that resumes after a
// configuration change and serves the old version.
func TestConfigurationChangeWhileHostFrozen(t *testing.T) {
	s := startMembers(t, 3)
	frozen := s.Hosts[1]
	assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
	commitVersion(t, s, "new")
	eventually(t, "the others serve the new version", servesVersion(t, s.Hosts[0], "new"))
	assert.NilError(t, frozen.Signal(syscall.SIGCONT))
	eventually(t, "the frozen host serves the new version", func() bool {
		version, _ := runVisitPlan(t, frozen)
		assert.Assert(t, version != "old")
		return version == "new"
	})
}

// TestKilledHost guards against a dead host that stays in the address lists or blocks a
// configuration change.
func TestKilledHost(t *testing.T) {
	s := startMembers(t, 3)
	assert.NilError(t, s.Hosts[2].Kill())
	for _, host := range s.Hosts[:2] {
		eventually(t, "the dead host is not listed", func() bool {
			response, err := http.Get("http://" + host.CallerAddress + api.PathHosts)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			return !strings.Contains(string(body), s.Hosts[2].CallerAddress)
		})
	}
	commitVersion(t, s, "new")
	for _, host := range s.Hosts[:2] {
		eventually(t, "the change is active", servesVersion(t, host, "new"))
	}
}

// TestHostJoinsDuringStoreOutage guards against hosts that stop serving without the store
// and a new host that can't start without it.
func TestHostJoinsDuringStoreOutage(t *testing.T) {
	s := startMembers(t, 3)
	assert.NilError(t, s.KeyValue.Signal(syscall.SIGSTOP))
	joined, err := s.AddHost("joined")
	assert.NilError(t, err)
	assert.NilError(t, joined.WaitReady(hangTimeout))
	// All requests must succeed for twice the freshness period.
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
		for _, host := range s.Hosts {
			version, refusal := runVisitPlan(t, host)
			assert.Equal(t, version, api.VersionName("old"), "%s: %v", host.ID, refusal)
		}
	}
	assert.NilError(t, s.KeyValue.Signal(syscall.SIGCONT))
	commitVersion(t, s, "new")
	for _, host := range s.Hosts {
		eventually(t, "the change is active", servesVersion(t, host, "new"))
	}
}

// TestSecondSignalEndsDrain guards against a host that can't be stopped while it drains.
func TestSecondSignalEndsDrain(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 1, Settings: map[string][]string{"host": {"drain = 10m"}}})
	host := s.Hosts[0]
	assert.NilError(t, host.Signal(syscall.SIGTERM))
	eventually(t, "the drain starts", func() bool { return strings.Contains(fetch(host, "/readyz"), "draining") })
	version, _ := runVisitPlan(t, host)
	assert.Equal(t, version, api.VersionName("old"))
	assert.NilError(t, host.Signal(syscall.SIGTERM))
	assert.NilError(t, host.Wait(hangTimeout))
}

// versionChange is a change to a target version under load.
type versionChange struct {
	target api.VersionName
	// served is true once a host has served a request with the target version.
	served atomic.Bool
}

// TestVersionChangesUnderLoad guards against a host that starts a request with the old
// version after another host has served one with the new version.
func TestVersionChangesUnderLoad(t *testing.T) {
	s := startMembers(t, 3)
	var current atomic.Pointer[versionChange]
	current.Store(&versionChange{target: "old"})
	var stop atomic.Bool
	var load sync.WaitGroup
	var staleResponses atomic.Int64
	for worker := range 12 {
		load.Go(func() {
			for !stop.Load() {
				change := current.Load()
				wasServed := change.served.Load()
				version, _ := runVisitPlan(t, s.Hosts[worker%len(s.Hosts)])
				switch {
				case current.Load() != change:
				case version == change.target:
					change.served.Store(true)
				case wasServed && version != "":
					staleResponses.Add(1)
					t.Errorf("served version %q after version %q", version, change.target)
				}
			}
		})
	}
	for range 3 {
		for _, version := range []api.VersionName{"new", "old"} {
			// A host that is paused for less than the freshness period may serve the old
			// version for a moment after it resumes, so the others have to wait for it.
			current.Store(&versionChange{target: version})
			assert.NilError(t, s.Hosts[2].Signal(syscall.SIGSTOP))
			commitVersion(t, s, string(version))
			time.Sleep(time.Second)
			assert.NilError(t, s.Hosts[2].Signal(syscall.SIGCONT))
			for _, host := range s.Hosts {
				eventually(t, "the version change is complete", servesVersion(t, host, version))
			}
		}
	}
	stop.Store(true)
	load.Wait()
	assert.Equal(t, staleResponses.Load(), int64(0))
	for _, line := range strings.Split(fetch(s.Hosts[0], "/metrics"), "\n") {
		if strings.HasPrefix(line, "redwingloft_handover_wait") {
			t.Log(line)
		}
	}
}
