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

// hangTimeout bounds waits for events; no test judges how long they take.
const hangTimeout = 60 * time.Second

// startMembers starts a deployment whose hosts are all voters.
func startMembers(t *testing.T, hosts int) *site.Site {
	s := startSite(t, "greenhand", site.Options{Hosts: hosts, Settings: map[string][]string{
		"host": {"drain = 3s"}, "caller": {"address_validity = 1s"}, "peer": {"interval = 200ms"},
	}})
	waitVoters(t, s, hosts)
	return s
}

// waitVoters waits until every host knows the given number of voters.
func waitVoters(t *testing.T, s *site.Site, voters int) {
	t.Helper()
	for _, host := range s.Hosts {
		eventually(t, "all hosts are voters", func() bool {
			return strings.Contains(fetch(host, "/metrics"), fmt.Sprintf("redwingloft_member_voters %d\n", voters))
		})
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("not within %s: %s", hangTimeout, what)
}

func fetch(host *site.Host, path string) string {
	response, err := http.Get("http://" + host.Admin + path)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}

// commitVersion moves a workspace's visit plans to a version.
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

// plan asks a host for a visit plan and returns the version that made it, or the refusal.
func plan(t *testing.T, host *site.Host) (api.VersionName, api.Error) {
	t.Helper()
	status, body := send(t, host, api.PathPipelines+"visit-plan/run", "port-of-spain", "", api.RunRequest{Input: "prune", MaxTokens: 4})
	var refusal api.Error
	var answer api.RunAnswer
	if status != http.StatusOK {
		assert.NilError(t, json.Unmarshal(body, &refusal), string(body))
		assert.Equal(t, refusal.Run, api.RunNo, string(body))
		return "", refusal
	}
	assert.NilError(t, json.Unmarshal(body, &answer))
	return answer.Version, refusal
}

func serves(t *testing.T, host *site.Host, version api.VersionName) func() bool {
	return func() bool {
		got, _ := plan(t, host)
		return got == version
	}
}

// lister is a caller that keeps the address list for its validity.
type lister struct {
	mu    sync.Mutex
	hosts []api.HostAddress
	end   time.Time
	next  int
}

func (l *lister) pick() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.end) {
		asked := time.Now()
		response, err := http.Get("http://" + string(l.hosts[0].Address) + api.PathHosts)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		var list api.AddressList
		if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
			return "", err
		}
		l.hosts, l.end = list.Hosts, asked.Add(time.Duration(list.ValidForMs)*time.Millisecond)
	}
	l.next++
	return string(l.hosts[l.next%len(l.hosts)].Address), nil
}

// run sends one request that takes longer than the drain and checks that its answer is whole.
func (l *lister) run(tokens int) error {
	address, err := l.pick()
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
	var answer api.RunAnswer
	if err := json.Unmarshal(data, &answer); err != nil || answer.Text != engine.Text("water the beds", tokens) {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, data)
	}
	return nil
}

// TestReplaceAllHosts guards against a replacement of hosts that cuts or refuses a request.
func TestReplaceAllHosts(t *testing.T) {
	s := startMembers(t, 3)
	caller := &lister{hosts: []api.HostAddress{{Address: api.Address(s.Hosts[0].Caller)}}}
	var stop atomic.Bool
	var done atomic.Int64
	failures := make(chan error, 1000)
	var load sync.WaitGroup
	for worker := range 8 {
		load.Go(func() {
			for !stop.Load() {
				if err := caller.run(10 + 300*worker); err != nil {
					failures <- err
					return
				}
				done.Add(1)
			}
		})
	}
	for i, old := range s.Hosts[:3] {
		fresh, err := s.AddHost(fmt.Sprintf("new-%d", i+1))
		assert.NilError(t, err)
		assert.NilError(t, fresh.WaitReady(hangTimeout))
		before := done.Load()
		eventually(t, "requests are answered", func() bool { return done.Load() > before+20 || len(failures) > 0 })
		assert.NilError(t, old.Signal(syscall.SIGTERM))
		assert.NilError(t, old.Wait(hangTimeout))
	}
	stop.Store(true)
	load.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	t.Logf("%d requests were answered whole", done.Load())
}

// TestFrozenHostOverChange guards against a host that resumes after a change and serves the old version.
func TestFrozenHostOverChange(t *testing.T) {
	s := startMembers(t, 3)
	frozen := s.Hosts[1]
	assert.NilError(t, frozen.Signal(syscall.SIGSTOP))
	commitVersion(t, s, "new")
	eventually(t, "the others serve the new version", serves(t, s.Hosts[0], "new"))
	assert.NilError(t, frozen.Signal(syscall.SIGCONT))
	eventually(t, "the frozen host serves the new version", func() bool {
		version, _ := plan(t, frozen)
		assert.Assert(t, version != "old")
		return version == "new"
	})
}

// TestKilledHost guards against a dead host that stays in the address lists or blocks a change.
func TestKilledHost(t *testing.T) {
	s := startMembers(t, 3)
	assert.NilError(t, s.Hosts[2].Kill())
	for _, host := range s.Hosts[:2] {
		eventually(t, "the dead host is not listed", func() bool {
			response, err := http.Get("http://" + host.Caller + api.PathHosts)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			return !strings.Contains(string(body), s.Hosts[2].Caller)
		})
	}
	commitVersion(t, s, "new")
	for _, host := range s.Hosts[:2] {
		eventually(t, "the change is in force", serves(t, host, "new"))
	}
}

// TestStoreDownAndJoin guards against hosts that stop serving without the store and
// a new host that can't start without it.
func TestStoreDownAndJoin(t *testing.T) {
	s := startMembers(t, 3)
	assert.NilError(t, s.KeyValue.Signal(syscall.SIGSTOP))
	joined, err := s.AddHost("joined")
	assert.NilError(t, err)
	assert.NilError(t, joined.WaitReady(hangTimeout))
	// Twice the freshness time has to pass; the requests meanwhile are what is judged.
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
		for _, host := range s.Hosts {
			version, refusal := plan(t, host)
			assert.Equal(t, version, api.VersionName("old"), "%s: %v", host.ID, refusal)
		}
	}
	assert.NilError(t, s.KeyValue.Signal(syscall.SIGCONT))
	commitVersion(t, s, "new")
	for _, host := range s.Hosts {
		eventually(t, "the change is in force", serves(t, host, "new"))
	}
}

// TestSecondSignal guards against a host that can't be ended while it drains.
func TestSecondSignal(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 1, Settings: map[string][]string{"host": {"drain = 10m"}}})
	host := s.Hosts[0]
	assert.NilError(t, host.Signal(syscall.SIGTERM))
	eventually(t, "the drain has begun", func() bool { return strings.Contains(fetch(host, "/readyz"), "leaving") })
	version, _ := plan(t, host)
	assert.Equal(t, version, api.VersionName("old"))
	assert.NilError(t, host.Signal(syscall.SIGTERM))
	assert.NilError(t, host.Wait(hangTimeout))
}

// move is one change of version under load.
type move struct {
	to api.VersionName
	// seen is true once a host has answered by the new version.
	seen atomic.Bool
}

// TestMovesUnderLoad guards against a host that starts a request by the old version
// after another host has answered one by the new.
func TestMovesUnderLoad(t *testing.T) {
	s := startMembers(t, 3)
	var current atomic.Pointer[move]
	current.Store(&move{to: "old"})
	var stop atomic.Bool
	var load sync.WaitGroup
	var late atomic.Int64
	for worker := range 12 {
		load.Go(func() {
			for !stop.Load() {
				now := current.Load()
				seen := now.seen.Load()
				version, _ := plan(t, s.Hosts[worker%len(s.Hosts)])
				switch {
				case current.Load() != now:
				case version == now.to:
					now.seen.Store(true)
				case seen && version != "":
					late.Add(1)
					t.Errorf("%q after %q was served", version, now.to)
				}
			}
		})
	}
	for range 3 {
		for _, version := range []api.VersionName{"new", "old"} {
			// A host that stands still for less than the freshness time may go on by the
			// old version for a moment, so the others have to wait for it.
			current.Store(&move{to: version})
			assert.NilError(t, s.Hosts[2].Signal(syscall.SIGSTOP))
			commitVersion(t, s, string(version))
			time.Sleep(time.Second)
			assert.NilError(t, s.Hosts[2].Signal(syscall.SIGCONT))
			for _, host := range s.Hosts {
				eventually(t, "the move is complete", serves(t, host, version))
			}
		}
	}
	stop.Store(true)
	load.Wait()
	assert.Equal(t, late.Load(), int64(0))
	for _, line := range strings.Split(fetch(s.Hosts[0], "/metrics"), "\n") {
		if strings.HasPrefix(line, "redwingloft_handover_wait") {
			t.Log(line)
		}
	}
}
