// Package e2e tests failures of whole deployments that run as separate processes.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
	"redwingloft/standin/engine"
	"redwingloft/standin/service"
	"redwingloft/standin/site"
)

// binaries is the directory of the programs under test, which TestMain builds once.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "redwingloft-e2e")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder, "redwingloft", "redwingloft/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "failed to build the programs:", err)
		os.Exit(1)
	}
	binaries = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// loadDocument reads the document of an example deployment.
func loadDocument(t *testing.T, deployment string) *document.Document {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "deployments", deployment, "document.json"))
	assert.NilError(t, err)
	doc, err := document.Parse(data)
	assert.NilError(t, err)
	return doc
}

// startSite starts an example deployment and stops it at the end of the test. It uses the
// deployment's own document unless the options have one.
func startSite(t *testing.T, deployment string, options site.Options) *site.Site {
	t.Helper()
	if options.Document == nil {
		options.Document = loadDocument(t, deployment)
	}
	options.Binaries, options.Folder = binaries, t.TempDir()
	s, err := site.Start(options)
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, s.Stop())
		if t.Failed() {
			printLogs(t, s)
		}
	})
	return s
}

func printLogs(t *testing.T, s *site.Site) {
	for _, host := range s.Hosts {
		data, _ := os.ReadFile(host.Log)
		lines := strings.Split(string(data), "\n")
		t.Logf("log of %s:\n%s", host.ID, strings.Join(lines[max(0, len(lines)-30):], "\n"))
	}
}

// token returns the credential of a workspace of the example deployments.
func token(workspace string) string { return workspace + "-token-for-local-use-only" }

// send posts one request to a host and returns the status and body.
func send(t *testing.T, host *site.Host, path, workspace, key string, body any) (int, []byte) {
	t.Helper()
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+host.CallerAddress+path, bytes.NewReader(encoded))
	assert.NilError(t, err)
	request.Header.Set(api.HeaderWorkspace, workspace)
	request.Header.Set("Authorization", "Bearer "+token(workspace))
	if key != "" {
		request.Header.Set(api.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, data
}

// fetchRuns returns the runs that the stand-ins of an HTTP service recorded.
func fetchRuns(t *testing.T, s *site.Site, group string) []service.Run {
	t.Helper()
	response, err := http.Get("http://" + s.ControlAddress + "/runs/" + group)
	assert.NilError(t, err)
	defer response.Body.Close()
	var list []service.Run
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&list))
	return list
}

func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	return key.String()
}

// TestPipelineResponseIsComplete guards against a path through separate processes that
// loses or alters part of the response.
func TestPipelineResponseIsComplete(t *testing.T) {
	for _, deployment := range []struct{ name, workspace, pipeline string }{
		{"greenhand", "port-of-spain", "visit-plan"},
		{"blue_mountain", "polishers", "polish-review"},
	} {
		t.Run(deployment.name, func(t *testing.T) {
			s := startSite(t, deployment.name, site.Options{})
			for _, host := range s.Hosts {
				status, body := send(t, host, api.PathPipelines+deployment.pipeline+"/run", deployment.workspace, "", api.RunRequest{Input: "check the gate"})
				assert.Equal(t, status, http.StatusOK, string(body))
				var response api.RunAnswer
				assert.NilError(t, json.Unmarshal(body, &response))
				assert.Equal(t, response.Text, engine.Text("check the gate", 32))
				assert.Equal(t, response.Tokens, 32)
			}
		})
	}
}

// TestOrderRetriedOnAnotherHost guards against an order that runs a second time when its
// caller retries it on another host.
func TestOrderRetriedOnAnotherHost(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{})
	key := newIdempotencyKey(t)
	for _, host := range s.Hosts {
		status, body := send(t, host, api.PathServices+"bookings/book", "port-of-spain", key, map[string]int{"visit": 1})
		assert.Equal(t, status, http.StatusOK, string(body))
	}
	assert.Equal(t, len(fetchRuns(t, s, "bookings")), 1)
}
