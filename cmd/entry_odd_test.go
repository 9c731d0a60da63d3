package cmd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/store"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
)

// TestOddEntriesAreNotFollowed guards against a host that ends, stops following the store or uses
// an odd entry of another writer, also one in the place of a sound one.
func TestOddEntriesAreNotFollowed(t *testing.T) {
	s := startSite(t)
	second := s.startUpstreamAs(t, "second", "plain", s.plain.Handle)
	awaitReady := func(what string, ids ...api.UpstreamID) {
		t.Helper()
		s.eventually(t, what, func() bool {
			var ready []api.UpstreamID
			for _, upstream := range s.host.directory.View().Ready("plain") {
				ready = append(ready, upstream.ID)
			}
			return slices.Equal(ready, ids)
		})
		status, _, _ := s.call(t, "/book/1", "a", nil)
		assert.Equal(t, status, 200, what)
	}
	deep := strings.Repeat("[", 100_000)
	entry := `{"service":"plain","address":%q,"zone":"a","slots":4,"state":"ready","extra":%s}`
	odd := map[string]string{
		"nested": fmt.Sprintf(entry, second.Entry.Address, deep),
		"number": strings.Replace(fmt.Sprintf(entry, second.Entry.Address, "1"), `"slots":4`, `"slots":1e999`, 1),
		"port":   fmt.Sprintf(entry, "127.0.0.1:70000", "1"),
		"port 0": fmt.Sprintf(entry, "127.0.0.1:0", "1"),
		"null":   "null",
	}
	injected := "i-second\r\nX-Injected: 1"
	for name, value := range odd {
		s.write(t, wire.PrefixUpstream+"i-odd", value)
		s.write(t, wire.PrefixUpstream+injected, fmt.Sprintf(entry, second.Entry.Address, "1"))
		s.write(t, wire.PrefixUpstream+"i-second", value)
		awaitReady(name, "i-plain")
		s.writeUpstream(t, second, "plain", "ready")
		awaitReady("after "+name, "i-plain", "i-second")
		_, err := s.store.Inner.Txn(context.Background(), store.Txn{Deletes: []string{wire.PrefixUpstream + "i-odd", wire.PrefixUpstream + injected}})
		assert.NilError(t, err)
	}
	circular := `{"version":9,"routes":[{"host":"h","pathPrefix":"/book/","kind":"non_idempotent","service":"plain"},{"name":"plan","host":"h","pathPrefix":"/plan/","kind":"streaming","service":"engine",
"stages":[{"service":"stage","after":[1]},{"service":"stage","after":[0]}]}],"services":[{"name":"stage","segments":{"callMs":1}}]}`
	for _, document := range []string{"null", deep, `{"version":1e99}`, circular} {
		s.write(t, wire.KeyDocument, document)
		s.writeUpstream(t, second, "plain", "draining")
		awaitReady("document "+document[:4], "i-plain")
		status, _, _ := s.call(t, "/plan/1", "b", map[string]string{wire.HeaderItems: "1,1", wire.HeaderItemKey: "k"})
		assert.Equal(t, status, 200, document[:4])
		second.Entry.ID += "-"
		s.writeUpstream(t, second, "plain", "ready")
		awaitReady("later upstream", "i-plain", second.Entry.ID)
	}
	for _, request := range second.Requests() {
		assert.Equal(t, request.Header.Get("X-Injected"), "")
	}
}

// TestGeneralOptionsAreRouted guards against a success that no upstream gave: net/http answers OPTIONS * itself.
func TestGeneralOptionsAreRouted(t *testing.T) {
	s := startSite(t)
	c, err := net.Dial("tcp", s.settings.Caller.Listen)
	assert.NilError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "OPTIONS * HTTP/1.1\r\nHost: h\r\n%s: a\r\nAuthorization: Bearer k\r\n\r\n", wire.HeaderRequestID)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	s.stop(t)
}
