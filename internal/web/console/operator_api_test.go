package console

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// callAPI sends a request as the command line does and decodes the response into result.
func (s *testSite) callAPI(operator, method, path string, body, result any) int {
	s.t.Helper()
	encoded, err := json.Marshal(body)
	assert.NilError(s.t, err)
	r := httptest.NewRequest(method, path, bytes.NewReader(encoded))
	if operator != "" {
		r.SetBasicAuth(operator, examplePassword)
	}
	response := s.send(r)
	assert.NilError(s.t, json.Unmarshal(response.Body.Bytes(), result), response.Body.String())
	return response.Code
}

// TestOperatorAPI guards against a commit by a non-editor, with an outdated base or with faults.
func TestOperatorAPI(t *testing.T) {
	s := newSite(t)
	var refusal api.Error
	assert.Equal(t, s.callAPI("", http.MethodGet, PathConfig, nil, &refusal), http.StatusUnauthorized)
	assert.Equal(t, s.callAPI("nobody", http.MethodGet, PathConfig, nil, &refusal), http.StatusUnauthorized)

	var shown ConfigResponse
	assert.Equal(t, s.callAPI("viewer", http.MethodGet, PathConfig, nil, &shown), http.StatusOK)
	assert.Assert(t, !bytes.Contains(shown.Document, []byte("$2a$")))
	assert.Equal(t, s.callAPI("editor", http.MethodGet, PathConfig, nil, &shown), http.StatusOK)
	assert.Equal(t, shown.Comment, "first document")
	doc, err := document.Parse(shown.Document)
	assert.NilError(t, err)
	doc.Workspaces[0].Weight = 9
	changed, err := json.Marshal(doc)
	assert.NilError(t, err)

	commit := CommitRequest{Document: changed, Base: 1, Comment: "nine"}
	assert.Equal(t, s.callAPI("viewer", http.MethodPost, PathConfig, commit, &refusal), http.StatusForbidden)
	var response CommitResponse
	assert.Equal(t, s.callAPI("editor", http.MethodPost, PathConfig, commit, &response), http.StatusOK)
	assert.Equal(t, response.Revision, api.Revision(2))
	assert.Equal(t, s.callAPI("editor", http.MethodPost, PathConfig, commit, &refusal), http.StatusConflict)
	assert.Equal(t, refusal.Kind, api.KindConflict)

	commit = CommitRequest{Document: []byte(`{"format": 1}`), Base: 2}
	assert.Equal(t, s.callAPI("editor", http.MethodPost, PathConfig, commit, &refusal), http.StatusBadRequest)
	assert.Assert(t, len(refusal.Faults) > 2)
	var faults ValidateResponse
	assert.Equal(t, s.callAPI("viewer", http.MethodPost, PathValidate, ValidateRequest{Document: commit.Document}, &faults), http.StatusOK)
	assert.DeepEqual(t, faults.Faults, refusal.Faults)
	assert.Equal(t, s.revision(), api.Revision(2))

	var history HistoryResponse
	assert.Equal(t, s.callAPI("viewer", http.MethodGet, PathHistory+"?limit=1", nil, &history), http.StatusOK)
	assert.Equal(t, len(history.Revisions), 1)
	assert.Equal(t, history.Revisions[0].Comment, "nine")
	assert.Equal(t, s.callAPI("viewer", http.MethodGet, PathHistory+"?limit=none", nil, &refusal), http.StatusBadRequest)
	assert.Equal(t, s.callAPI("editor", http.MethodGet, PathRevisions+"1", nil, &shown), http.StatusOK)
	assert.Equal(t, shown.Revision, api.Revision(1))
	assert.Equal(t, s.callAPI("editor", http.MethodGet, PathRevisions+"7", nil, &refusal), http.StatusNotFound)
	var status Status
	assert.Equal(t, s.callAPI("viewer", http.MethodGet, PathStatus, nil, &status), http.StatusOK)
	assert.Equal(t, status.Counters["refused.overloaded"], int64(7))
}

// TestBodiesAreBounded guards against request bodies that exhaust the memory of a host.
func TestBodiesAreBounded(t *testing.T) {
	s := newSite(t)
	// A long JSON string makes the decoder read up to the limit.
	large := append([]byte(`{"comment":"`), bytes.Repeat([]byte("a"), maxJSON)...)
	r := httptest.NewRequest(http.MethodPost, PathConfig, bytes.NewReader(large))
	r.SetBasicAuth("editor", examplePassword)
	assert.Equal(t, s.send(r).Code, http.StatusRequestEntityTooLarge)
	r = httptest.NewRequest(http.MethodPost, "/sign-in", bytes.NewReader(append([]byte("name="), bytes.Repeat([]byte("a"), maxSignIn)...)))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	assert.Equal(t, s.send(r).Code, http.StatusRequestEntityTooLarge)
}

// TestRemoveHostsNeedsAnEditor guards against a viewer who can remove hosts from the member
// list, and against an empty request that is reported as successful.
func TestRemoveHostsNeedsAnEditor(t *testing.T) {
	s := newSite(t)
	var removed []api.HostID
	s.handler.RemoveHosts = func(_ context.Context, hosts []api.HostID) error {
		removed = append(removed, hosts...)
		return nil
	}
	request := RemoveHostsRequest{Hosts: []api.HostID{"host-1", "host-2"}}
	var refusal api.Error
	assert.Equal(t, s.callAPI("viewer", http.MethodPost, PathRemoveHosts, request, &refusal), http.StatusForbidden)
	assert.Equal(t, s.callAPI("editor", http.MethodPost, PathRemoveHosts, RemoveHostsRequest{}, &refusal), http.StatusBadRequest)
	assert.Equal(t, len(removed), 0)
	var response RemoveHostsResponse
	assert.Equal(t, s.callAPI("editor", http.MethodPost, PathRemoveHosts, request, &response), http.StatusOK)
	assert.DeepEqual(t, removed, request.Hosts)
}
