package e2e

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
	"redwingloft/standin/engine"
	"redwingloft/standin/site"
)

// TestColdRestart guards against a site that can't recover after all its hosts die at
// once: new hosts at other addresses must not serve until an operator removes the old
// hosts, and must serve after that.
func TestColdRestart(t *testing.T) {
	s := startSite(t, "greenhand", site.Options{Hosts: 3})
	old := s.Hosts
	for _, host := range old {
		assert.NilError(t, host.Kill())
	}
	s.Hosts = nil
	for _, id := range []string{"new-1", "new-2"} {
		_, err := s.AddHost(id)
		assert.NilError(t, err)
	}
	host := s.Hosts[0]
	assert.NilError(t, host.WaitReady(waitTimeout))
	status, body := send(t, host, api.PathPipelines+"care-note/run", "arima", "", api.RunRequest{Input: "x"})
	assert.Assert(t, status != http.StatusOK, "served before an operator removed the old hosts: %s", body)

	args := []string{"hosts", "remove", "--console", "http://" + host.OperatorAddress, "--operator", "editor"}
	for _, id := range deadHosts(t, host) {
		args = append(args, string(id))
	}
	t.Setenv("REDWINGLOFT_PASSWORD", "for-local-use-only")
	out, ok := runCommand(t, args...)
	assert.Assert(t, ok, out)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	response, err := newClient(s, "arima").Run(ctx, "care-note", api.RunRequest{Input: "x"})
	assert.NilError(t, err)
	assert.Equal(t, response.Text, engine.Text("x", 32))
}

// deadHosts returns the hosts that a host reports as dead.
func deadHosts(t *testing.T, host *site.Host) []api.HostID {
	t.Helper()
	var dead []api.HostID
	for _, entry := range operatorStatus(t, host).Hosts {
		if entry.State == "dead" {
			dead = append(dead, entry.Host)
		}
	}
	assert.Equal(t, len(dead), 3)
	return dead
}

// operatorStatus returns the status that a host reports to operators.
func operatorStatus(t *testing.T, host *site.Host) console.Status {
	t.Helper()
	var status console.Status
	code, err := sendOperatorRequest(host, http.MethodGet, console.PathStatus, nil, &status)
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusOK)
	return status
}
