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

// TestColdRestart guards against a site that can't come back after all its hosts
// have died at once: new hosts at other addresses have to wait for the word of an
// operator, and serve after it.
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
	assert.NilError(t, host.WaitReady(bound))
	status, body := send(t, host, api.PathPipelines+"care-note/run", "arima", "", api.RunRequest{Input: "x"})
	assert.Assert(t, status != http.StatusOK, "served without the word of an operator: %s", body)

	args := []string{"hosts", "remove", "--console", "http://" + host.Operator, "--operator", "editor"}
	for _, id := range registered(t, host) {
		args = append(args, string(id))
	}
	t.Setenv("REDWINGLOFT_PASSWORD", "for-local-use-only")
	out, ok := redwingloft(t, args...)
	assert.Assert(t, ok, out)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	answer, err := callerOf(s, "arima").Run(ctx, "care-note", api.RunRequest{Input: "x"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, engine.Text("x", 32))
}

// registered returns the hosts that a host shows as dead.
func registered(t *testing.T, host *site.Host) []api.HostID {
	t.Helper()
	var dead []api.HostID
	for _, known := range operatorStatus(t, host).Hosts {
		if known.State == "dead" {
			dead = append(dead, known.Host)
		}
	}
	assert.Equal(t, len(dead), 3)
	return dead
}

// operatorStatus returns what a host shows to its operators.
func operatorStatus(t *testing.T, host *site.Host) console.Status {
	t.Helper()
	var status console.Status
	code, err := operate(host, http.MethodGet, console.PathStatus, nil, &status)
	assert.NilError(t, err)
	assert.Equal(t, code, http.StatusOK)
	return status
}
