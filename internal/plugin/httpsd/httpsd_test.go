package httpsd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/kernel"
)

// fetch fetches a list from a server that responds with status and body.
func fetch(t *testing.T, status int, body string) ([]kernel.HostListEntry, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	factory, err := kernel.HostLists.Get(Name)
	assert.NilError(t, err)
	list, err := factory(server.URL, 10*time.Second)
	assert.NilError(t, err)
	return list.Fetch(context.Background())
}

// TestFetchReadsLabels guards against entries that lose their state or address.
func TestFetchReadsLabels(t *testing.T) {
	listed, err := fetch(t, 200, `[
		{"targets":["127.0.0.1:1","127.0.0.1:2"],"labels":{"state":"leaving","group":"llm","data_centre":"a"}},
		{"targets":["127.0.0.1:3"],"labels":{"group":"llm","__meta_rack":"7"}},
		{"targets":[]}]`)
	assert.NilError(t, err)
	assert.DeepEqual(t, listed, []kernel.HostListEntry{
		{Group: "llm", Address: "127.0.0.1:1", DataCentre: "a", State: kernel.ListedDraining},
		{Group: "llm", Address: "127.0.0.1:2", DataCentre: "a", State: kernel.ListedDraining},
		{Group: "llm", Address: "127.0.0.1:3", State: kernel.ListedLive},
	})
}

// TestFetchRejectsInvalidLists guards against an invalid list that is accepted as one
// without draining upstreams.
func TestFetchRejectsInvalidLists(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   string
	}{
		{"status", 503, "try later", `returned status 503 Service Unavailable: "try later"`},
		{"truncated", 200, `[{"targets":["127.0.0.1:1"]`, "is not valid"},
		{"null", 200, `null`, "is not a JSON array"},
		{"object", 200, `{"targets":[]}`, "is not valid"},
		{"address", 200, `[{"targets":["llm-1"]}]`, `"llm-1" is not an IP address`},
		{"state", 200, `[{"targets":[],"labels":{"state":"gone"}}]`, `unknown state "gone"`},
		{"size", 200, "[" + strings.Repeat(" ", maxListBytes) + "]", "more than"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := fetch(t, c.status, c.body)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestNewHostListRejectsInvalidURLs guards against an invalid setting that is detected
// only when the list is fetched.
func TestNewHostListRejectsInvalidURLs(t *testing.T) {
	for _, address := range []string{"", "127.0.0.1:9", "ftp://127.0.0.1/targets", "http://"} {
		_, err := newHostList(address, time.Second)
		assert.Assert(t, err != nil, address)
	}
}
