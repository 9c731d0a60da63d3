package cmd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/secret"
	"redwingloft/pkg/api"
)

const traceDocument = `{"format":1,"deployment":"test","weights":{"attainment":1,"cost":0},
"groups":[
 {"name":"engines","kind":"chat","upstreams":[{"id":"engine","address":"ENGINE","data_centre":"local","slots":4}]},
 {"name":"desks","kind":"http","upstreams":[{"id":"desk","address":"DESK","data_centre":"local","slots":4}]}],
"pipelines":[{"name":"plan","deadline_ms":30000,"versions":[{"name":"new","stages":[
 {"name":"generate","kind":"generate","group":"engines","model":"m","max_tokens":4}]}]}],
"services":[{"name":"desk","group":"desks","calls":[
 {"name":"look","method":"POST","path":"/look","repeatable":true,"deadline_ms":30000},
 {"name":"book","method":"POST","path":"/book","repeatable":false,"deadline_ms":30000}]}],
"workspaces":[{"name":"w","credential_hashes":["HASH"],"serves":[{"pipeline":"plan","version":"new"}],"services":["desk"]}]}`

// TestTraceContextIsForwarded guards against a kind of request whose attempts at
// upstreams are missing from the caller's trace.
func TestTraceContextIsForwarded(t *testing.T) {
	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	received := make(chan string, 8)
	upstream := func(response string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			received <- r.URL.Path + " " + r.Header.Get("traceparent")
			_, _ = io.WriteString(w, response)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	engine := upstream("data: {\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	text := strings.NewReplacer("ENGINE", engine, "DESK", upstream("{}"), "HASH", secret.HashToken("token")).Replace(traceDocument)
	path := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := settings.Parse([]byte("[document]\npath = " + path + "\n"))
	assert.NilError(t, err)
	h, err := newHost(s, logging.Discard())
	assert.NilError(t, err)
	assert.NilError(t, h.start(t.Context()))
	routes := h.newCallerHandler().Routes()
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	for _, c := range []struct{ path, body, want string }{
		{api.PathPipelines + "plan/run", `{"input":"x"}`, "/v1/chat/completions"},
		{api.PathPipelines + "plan/run", `{"input":"x","stream":true}`, "/v1/chat/completions"},
		{api.PathServices + "desk/look", "{}", "/look"},
		{api.PathServices + "desk/book", "{}", "/book"},
	} {
		r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
		r.Header.Set(api.HeaderWorkspace, "w")
		r.Header.Set("Authorization", "Bearer token")
		r.Header.Set(api.HeaderIdempotencyKey, key.String())
		r.Header.Set("traceparent", parent)
		w := httptest.NewRecorder()
		routes.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
		assert.Equal(t, <-received, c.want+" "+parent)
	}
}
