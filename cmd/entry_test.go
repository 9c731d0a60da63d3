package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/settings"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/logging"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// site is an entry host with stand-ins for the platform's store and upstreams.
type site struct {
	store *platform.Store
	// address is the address of the store, path that of the settings of the last host.
	address  string
	path     string
	settings *settings.Settings
	host     *entryHost
	stage    *platform.Upstream
	engine   *platform.Upstream
	plain    *platform.Upstream
	stopped  chan error
	// grace is the grace period of hosts.
	grace time.Duration
	// log holds what the host has logged.
	log logBuffer
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// contains reports whether a text was logged.
func (b *logBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.text.Bytes(), []byte(text))
}

// The plain upstream takes slowTime longer for paths with the suffix slowPath.
const (
	slowPath = "/slow"
	slowTime = 400 * time.Millisecond
)

// eventTimeout bounds the wait of a test for an event.
const eventTimeout = 10 * time.Second

// freeAddress returns an address on which nothing listens. Its port is below those that outgoing
// connections get, one of which could take it before the host does.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		address := fmt.Sprint("127.0.0.1:", 10000+rand.IntN(20000))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return address
	}
	t.Fatal("no free port was found")
	return ""
}

// renderSettings fills the template of the deploy folder as the platform does.
func renderSettings(t *testing.T, values map[string]string) string {
	t.Helper()
	text, err := os.ReadFile("../deploy/entry.ini")
	assert.NilError(t, err)
	settings := platform.Render(string(text), values)
	assert.Assert(t, !strings.Contains(settings, "{{"), "%s still contains a placeholder", settings)
	path := filepath.Join(t.TempDir(), "entry.ini")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	return path
}

func startSite(t *testing.T) *site {
	t.Helper()
	return startSiteWithGrace(t, 8*time.Second)
}

// startSiteWithGrace starts a site whose host has the given grace period.
func startSiteWithGrace(t *testing.T, grace time.Duration) *site {
	t.Helper()
	s := &site{store: platform.NewStore(), stopped: make(chan error, 1), grace: grace}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.plain = s.startUpstream(t, "plain", func(w *bufio.Writer, run platform.Request) bool {
		time.Sleep(20 * time.Millisecond)
		if strings.HasSuffix(run.Path, slowPath) {
			time.Sleep(slowTime)
		}
		platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, "booked "+string(run.Body))
		return true
	})
	handles := 0
	s.stage = s.startUpstream(t, "stage", func(w *bufio.Writer, run platform.Request) bool {
		var call struct{ Items []json.RawMessage }
		if run.Path != wire.PathStageRun || json.Unmarshal(run.Body, &call) != nil {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		var results []string
		for range call.Items {
			handles++
			results = append(results, fmt.Sprintf(`{"handle":"%s/%d"}`, s.stage.Entry.Address, handles))
		}
		body := `{"items":[` + strings.Join(results, ",") + `]}`
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return true
	})
	s.engine = s.startUpstream(t, "engine", func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 5, true, time.Millisecond)
		return true
	})
	s.write(t, wire.KeyDocument, `{"version":1,"routes":[
{"name":"book","host":"h","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1000,"sloMs":150,"maxAttempts":1,"service":"plain"},
{"name":"plan","host":"h","pathPrefix":"/plan/","kind":"streaming","timeoutMs":6000,"sloMs":1400,"maxAttempts":2,"service":"engine","resumable":true,
"stages":[{"service":"stage","after":[],"bytes":1000},{"service":"stage","after":[0],"bytes":1000}]}],
"services":[{"name":"plain"},{"name":"engine"},{"name":"stage","segments":{"slots":1,"queue":2,"batch":8,"callMs":20,"itemMs":1,"headroomMb":1,"handleS":4}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"w","apiKeys":["k"]}]}`)
	s.address = strings.TrimPrefix(server.URL, "http://")
	s.host, s.settings = s.startHost(t, "host-1", s.stopped)
	return s
}

// startHost starts an entry host of the site, whose result is sent to stopped, and waits until
// it is ready.
func (s *site) startHost(t *testing.T, id string, stopped chan<- error) (*entryHost, *settings.Settings) {
	t.Helper()
	values := map[string]string{
		"node": id, "zone": "a", "bounds.graceS": fmt.Sprint(s.grace.Seconds()), "bounds.configMs": "2000", "limits.memoryMb": "284", "listen.front": freeAddress(t), "listen.control": freeAddress(t),
		"seeds": "", "ip": "127.0.0.1", "portRange.0": strings.TrimPrefix(freeAddress(t), "127.0.0.1:"), "listen.directory": freeAddress(t),
		"listen.ready": freeAddress(t), "platform.address": s.address, "bounds.retryRatio": "0.2",
		"bounds.retrySlack": "54", "bounds.retryWindowS": "10",
	}
	path := renderSettings(t, values)
	s.path = path
	loaded, err := settings.Load(path)
	assert.NilError(t, err)
	host, err := newEntryHost(loaded, path, logging.New(&s.log, "info", id))
	assert.NilError(t, err)
	var group run.Group
	host.addActors(context.Background(), &group)
	go func() { stopped <- group.Run() }()
	s.eventually(t, "readiness", func() bool {
		response, err := http.Get("http://" + loaded.Directory.ReadyListen + wire.PathReadiness)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	return host, loaded
}

// startUpstream starts a stand-in of an upstream of the given service and writes its
// entry to the store.
func (s *site) startUpstream(t *testing.T, service string, handle func(*bufio.Writer, platform.Request) bool) *platform.Upstream {
	t.Helper()
	return s.startUpstreamAs(t, service, service, handle)
}

// startUpstreamAs starts one of several upstreams of a service.
func (s *site) startUpstreamAs(t *testing.T, name, service string, handle func(*bufio.Writer, platform.Request) bool) *platform.Upstream {
	t.Helper()
	u := &platform.Upstream{Handle: handle, Entry: fleet.Upstream{ID: api.UpstreamID("i-" + name)}}
	assert.NilError(t, u.Start())
	t.Cleanup(u.Close)
	s.writeUpstream(t, u, service, "ready")
	return u
}

// writeUpstream writes the entry of an upstream to the store.
func (s *site) writeUpstream(t *testing.T, u *platform.Upstream, service, state string) {
	t.Helper()
	s.write(t, wire.PrefixUpstream+string(u.Entry.ID), fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":4,"state":%q,"coldLeftMs":0,"callSeq":1,"born":1}`, service, u.Entry.Address, state))
}

func (s *site) write(t *testing.T, key, value string) {
	t.Helper()
	_, err := s.store.Inner.Txn(context.Background(), store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

func (s *site) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// call sends a request with the headers that callers of the platform send.
func (s *site) call(t *testing.T, path, id string, header map[string]string) (int, string, http.Header) {
	t.Helper()
	return callHost(t, s.settings.Caller.Listen, path, id, header)
}

// callHost sends a request to the host with the given address.
func callHost(t *testing.T, address, path, id string, header map[string]string) (int, string, http.Header) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("x"))
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set(wire.HeaderRequestID, id)
	request.Header.Set(wire.HeaderDeadline, "5000")
	request.Header.Set("Authorization", "Bearer k")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body), response.Header
}

// TestEntryHost guards against a host that starts but fails to serve buffered requests,
// streams with stages, or the address list.
func TestEntryHost(t *testing.T) {
	s := startSite(t)
	status, body, header := s.call(t, "/book/1", "a", nil)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "booked x")
	assert.Assert(t, header.Get(wire.HeaderDigest) != "")

	status, body, _ = s.call(t, "/plan/1", "b", map[string]string{wire.HeaderItems: "2,3", wire.HeaderItemKey: "k"})
	assert.Equal(t, status, 200)
	assert.Equal(t, strings.Count(body, "data:"), 5)
	inputs := s.engine.Requests()[0].Header.Get(wire.HeaderInputs)
	assert.Equal(t, len(strings.Split(inputs, ",")), 3, inputs)

	response, err := http.Get("http://" + s.settings.Directory.Listen + wire.PathAddresses + "?name=h&region=r&zone=a")
	assert.NilError(t, err)
	defer response.Body.Close()
	list, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(list), fmt.Sprintf(`{"addresses":[%q],"ttlS":1.5}`, s.settings.Caller.Listen))
	s.stop(t)
}

// TestEntryHostFollowsOperator guards against a revoked credential or a draining
// upstream that is still used after the store acknowledged the change.
func TestEntryHostFollowsOperator(t *testing.T) {
	s := startSite(t)
	s.writeUpstream(t, s.plain, "plain", "draining")
	s.eventually(t, "the drain", func() bool {
		status, _, _ := s.call(t, "/book/1", "a", nil)
		return status == http.StatusServiceUnavailable
	})
	before := len(s.plain.Requests())
	_, _, header := s.call(t, "/book/1", "b", nil)
	assert.Assert(t, header.Get("Retry-After") != "")
	assert.Equal(t, len(s.plain.Requests()), before)
	s.write(t, wire.KeyDocument, `{"version":2,"routes":[{"name":"book","host":"h","pathPrefix":"/book/","kind":"idempotent","service":"plain"}],"tenants":[{"name":"w","apiKeys":["new"]}]}`)
	s.eventually(t, "the revocation", func() bool {
		status, _, _ := s.call(t, "/book/1", "c", nil)
		return status == http.StatusUnauthorized
	})
	s.stop(t)
}

// TestRemovalOfLastKey guards against a host that runs all requests once the operator has removed
// the last key of the only workspace, or the workspace itself.
func TestRemovalOfLastKey(t *testing.T) {
	s := startSite(t)
	document := `{"version":%d,"routes":[{"name":"book","host":"h","pathPrefix":"/book/","kind":"idempotent","service":"plain"},` +
		`{"name":"open","host":"h","pathPrefix":"/open-%[1]d/","kind":"idempotent","service":"plain","public":true}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":%s}`
	for i, tenants := range []string{`[{"name":"w","apiKeys":[]}]`, `[]`} {
		version := i + 2
		s.write(t, wire.KeyDocument, fmt.Sprintf(document, version, tenants))
		s.eventually(t, "the new version", func() bool {
			status, _, _ := s.call(t, fmt.Sprintf("/open-%d/1", version), fmt.Sprint("open-", version), nil)
			return status == http.StatusOK
		})
		before := len(s.plain.Requests())
		for _, credential := range []string{"", "Bearer k", "Bearer never-in-a-document"} {
			status, _, _ := s.call(t, "/book/1", fmt.Sprint("removed-", version), map[string]string{"Authorization": credential})
			assert.Equal(t, status, http.StatusUnauthorized, "%s, %q", tenants, credential)
		}
		assert.Equal(t, len(s.plain.Requests()), before)
	}
	s.stop(t)
}

// stop sends the process SIGTERM, as the platform does, and waits until the host has stopped.
func (s *site) stop(t *testing.T) {
	t.Helper()
	s.signal(t)
	s.awaitStop(t)
}

func (s *site) signal(t *testing.T) {
	t.Helper()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
}

// awaitStop waits until the host has stopped and checks that it deleted its registration.
func (s *site) awaitStop(t *testing.T) {
	t.Helper()
	select {
	case err := <-s.stopped:
		assert.ErrorIs(t, err, errStopped)
	case <-time.After(s.settings.Host.ShutdownTimeout):
		t.Fatal("the host did not stop within its grace period")
	}
	entry, err := s.store.Inner.Get(context.Background(), "redwingloft/hosts/host-1")
	assert.NilError(t, err)
	assert.Assert(t, entry == nil, "the registration was not deleted")
}

// TestDrainFinishesRequests guards against a request that is cut by the end of its
// host, and against a host that counts as ready while it drains.
func TestDrainFinishesRequests(t *testing.T) {
	s := startSite(t)
	done := make(chan int, 1)
	go func() {
		status, _, _ := s.call(t, "/book/1", "a", nil)
		done <- status
	}()
	s.eventually(t, "the request", func() bool { return len(s.plain.Requests()) == 1 })
	s.signal(t)
	s.eventually(t, "the readiness", func() bool { return s.host.checkReady() != nil })
	assert.Equal(t, <-done, 200)
	s.awaitStop(t)
}

// TestTemplateKeepsBounds guards against a watch that may stay silent for longer than
// the two seconds within which a document has to be active.
func TestTemplateKeepsBounds(t *testing.T) {
	s := startSite(t)
	assert.Equal(t, s.settings.Store.WatchWait, 1500*time.Millisecond)
	assert.Assert(t, s.settings.Caller.AddressValidity <= 5*time.Second)
	s.stop(t)
}
