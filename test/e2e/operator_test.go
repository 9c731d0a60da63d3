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

// operate sends one request of an operator's command line and returns the
// status. It is called by goroutines, which must not end the test.
func operate(host *site.Host, method, path string, body, result any) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(method, "http://"+host.Operator+path, bytes.NewReader(encoded))
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

// TestTwoOperatorsOnTwoHosts guards against two changes from one revision that
// are both accepted, and against a revision that is lost or used twice.
func TestTwoOperatorsOnTwoHosts(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 2})
	var shown console.ConfigResponse
	status, err := operate(s.Hosts[0], http.MethodGet, console.PathConfig, nil, &shown)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	base := shown.Revision
	const rounds = 10
	for round := range rounds {
		var answers [2]console.CommitResponse
		var statuses [2]int
		var faults [2]error
		var both sync.WaitGroup
		for i, host := range s.Hosts {
			doc, err := document.Parse(shown.Document)
			assert.NilError(t, err)
			doc.Limits.QueueLength = 100 + 2*round + i
			encoded, err := json.Marshal(doc)
			assert.NilError(t, err)
			both.Go(func() {
				request := console.CommitRequest{Document: encoded, Base: base}
				statuses[i], faults[i] = operate(host, http.MethodPost, console.PathConfig, request, &answers[i])
			})
		}
		both.Wait()
		assert.NilError(t, errors.Join(faults[:]...))
		won := 0
		if statuses[1] == http.StatusOK {
			won = 1
		}
		assert.Equal(t, statuses[won], http.StatusOK)
		assert.Equal(t, statuses[1-won], http.StatusConflict)
		assert.Equal(t, answers[won].Revision, base+1)
		base++
	}
	var history console.HistoryResponse
	status, err = operate(s.Hosts[1], http.MethodGet, console.PathHistory, nil, &history)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, history.Revisions[0].Revision, base)
	for i, entry := range history.Revisions {
		assert.Equal(t, entry.Revision, base-api.Revision(i))
	}
}
