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

// fetch reads a list that a fake answers with status and body.
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

// TestFetchRefusesWrongLists guards against a broken list that is taken for one
// without leaving upstreams.
func TestFetchRefusesWrongLists(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		want   string
	}{
		{"status", 503, "try later", `answered 503 Service Unavailable: "try later"`},
		{"cut", 200, `[{"targets":["127.0.0.1:1"]`, "is not valid"},
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

// TestOpenRefusesWrongURLs guards against a wrong setting that shows only when the list is read.
func TestOpenRefusesWrongURLs(t *testing.T) {
	for _, address := range []string{"", "127.0.0.1:9", "ftp://127.0.0.1/targets", "http://"} {
		_, err := newHostList(address, time.Second)
		assert.Assert(t, err != nil, address)
	}
}
