package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
	"redwingloft/standin/site"
)

// sendOperatorRequest sends one request as the operator's command line does and returns
// the status. It is called from goroutines, which must not end the test.
func sendOperatorRequest(host *site.Host, method, path string, body, result any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(method, "http://"+host.OperatorAddress+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, err
	}
	request.SetBasicAuth("editor", "for-local-use-only")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(result)
}

// TestConcurrentCommitsOnTwoHosts guards against two changes based on the same revision
// that are both accepted, and against a revision that is lost or used twice.
func TestConcurrentCommitsOnTwoHosts(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 2})
	var current console.ConfigResponse
	status, err := sendOperatorRequest(s.Hosts[0], http.MethodGet, console.PathConfig, nil, &current)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	base := current.Revision
	const rounds = 10
	for round := range rounds {
		var responses [2]console.CommitResponse
		var statuses [2]int
		var errs [2]error
		var group sync.WaitGroup
		for i, host := range s.Hosts {
			doc, err := document.Parse(current.Document)
			assert.NilError(t, err)
			doc.Limits.QueueLength = 100 + 2*round + i
			encoded, err := json.Marshal(doc)
			assert.NilError(t, err)
			group.Go(func() {
				request := console.CommitRequest{Document: encoded, Base: base}
				statuses[i], errs[i] = sendOperatorRequest(host, http.MethodPost, console.PathConfig, request, &responses[i])
			})
		}
		group.Wait()
		assert.NilError(t, errors.Join(errs[:]...))
		winner := 0
		if statuses[1] == http.StatusOK {
			winner = 1
		}
		assert.Equal(t, statuses[winner], http.StatusOK)
		assert.Equal(t, statuses[1-winner], http.StatusConflict)
		assert.Equal(t, responses[winner].Revision, base+1)
		base++
	}
	var history console.HistoryResponse
	status, err = sendOperatorRequest(s.Hosts[1], http.MethodGet, console.PathHistory, nil, &history)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, history.Revisions[0].Revision, base)
	for i, entry := range history.Revisions {
		assert.Equal(t, entry.Revision, base-api.Revision(i))
	}
}
