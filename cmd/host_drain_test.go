package cmd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/secret"
	"redwingloft/pkg/api"
)

// TestShutdownAnswersRequestsInProgress guards against requests that get neither a response nor an error
// because they last for longer than their host waits for them when it is told to stop.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	hold, received := make(chan struct{}), make(chan struct{}, 8)
	upstream := func() string {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			received <- struct{}{}
			<-hold
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	engine, desk := upstream(), upstream()
	t.Cleanup(func() { close(hold) })
	text := strings.NewReplacer("ENGINE", engine, "DESK", desk, "HASH", secret.HashToken("token")).Replace(traceDocument)
	path := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Parse([]byte("[host]\nshutdown = 1s\n[document]\npath = " + path + "\n"))
	assert.NilError(t, err)
	h, err := newHost(s, logging.Discard())
	assert.NilError(t, err)
	assert.NilError(t, h.start(t.Context()))
	server := httptest.NewServer(h.trackRequests(h.newCallerHandler().Routes()))
	defer server.Close()
	type ending struct {
		path, body string
		status     int
		err        error
	}
	ended := make(chan ending, 4)
	requests := map[string]string{"plan/run": `{"input":"x"}`, "plan/stream": `{"input":"x","stream":true}`, "desk/look": "{}", "desk/book": "{}"}
	for name, body := range requests {
		go func() {
			prefix := api.PathServices
			if strings.HasPrefix(name, "plan") {
				prefix, name = api.PathPipelines, "plan/run"
			}
			e := ending{path: prefix + name}
			defer func() { ended <- e }()
			request, err := http.NewRequest(http.MethodPost, server.URL+e.path, strings.NewReader(body))
			if err != nil {
				e.err = err
				return
			}
			request.GetBody = nil
			request.Header.Set(api.HeaderWorkspace, "w")
			request.Header.Set("Authorization", "Bearer token")
			key, err := uuid.NewV7()
			assert.Check(t, err)
			request.Header.Set(api.HeaderIdempotencyKey, key.String())
			response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
			if err != nil {
				e.err = err
				return
			}
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			e.status, e.body, e.err = response.StatusCode, string(data), err
		}()
	}
	for range requests {
		<-received
	}
	started := time.Now()
	h.awaitRequests(t.Context())
	assert.Check(t, time.Since(started) < 5*time.Second)
	server.CloseClientConnections()
	for range requests {
		e := <-ended
		assert.Check(t, e.err, "%s got no whole response", e.path)
		// The upstreams have got all of them.
		assert.Check(t, e.status == http.StatusBadGateway || e.status == http.StatusGatewayTimeout || e.status == http.StatusOK && strings.Contains(e.body, "error"),
			"%s got %d %s", e.path, e.status, e.body)
		assert.Check(t, !strings.Contains(e.body, `"run":"no"`), "%s got %s", e.path, e.body)
	}
}
