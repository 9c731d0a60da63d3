package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/standin/engine"
	"redwingloft/standin/site"
)

// runCommand runs a subcommand of redwingloft and returns its output and whether its exit
// status was 0.
func runCommand(t *testing.T, args ...string) (string, bool) {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, "redwingloft"), args...)
	out, err := command.CombinedOutput()
	if err != nil {
		_, exited := err.(*exec.ExitError)
		assert.Assert(t, exited, "%v", err)
	}
	return string(out), err == nil
}

// TestSettingsCheckReportsAllErrors guards against a check that accepts an invalid file or
// reports only its first error.
func TestSettingsCheckReportsAllErrors(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[host]\ndrain = soon\nname = x\n[stroe]\nkind = etcd\n"), 0o600))
	out, ok := runCommand(t, "settings", "check", "--settings", bad)
	assert.Assert(t, !ok)
	for _, want := range []string{"[host] drain:", "[host] name: unknown key", "[stroe]: unknown section"} {
		assert.Assert(t, strings.Contains(out, want), "%q lacks %q", out, want)
	}
	out, ok = runCommand(t, "settings", "check", "--settings", "../../app.example.ini")
	assert.Assert(t, ok, out)
}

// TestServeRejectsInvalidSettings guards against a host that starts with an unknown
// setting.
func TestServeRejectsInvalidSettings(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[caller]\nlisten = 127.0.0.1:1\nport = 2\n"), 0o600))
	out, ok := runCommand(t, "serve", "--settings", bad)
	assert.Assert(t, !ok)
	assert.Assert(t, strings.Contains(out, "[caller] port: unknown key"), out)
}

// TestClientCommands guards against client subcommands that fail against a running site,
// and against a recorded trace that can't be replayed.
func TestClientCommands(t *testing.T) {
	recorded := filepath.Join(t.TempDir(), "trace.jsonl")
	s := startSite(t, "greenhand", site.Options{Hosts: 1, Settings: map[string][]string{
		"trace": {"record = " + recorded},
		"host":  {"drain = 0s"},
	}})
	host := s.Hosts[0]
	out, ok := runCommand(t, "hosts", "--host", host.CallerAddress)
	assert.Assert(t, ok && strings.Contains(out, host.CallerAddress), out)
	out, ok = runCommand(t, "call", "--host", host.CallerAddress, "--workspace", "arima", "--token", token("arima"), "care-note", "water the fern")
	assert.Assert(t, ok, out)
	assert.Assert(t, strings.Contains(out, strings.TrimSpace(engine.Text("water the fern", 32))), out)
	out, ok = runCommand(t, "call", "--host", host.CallerAddress, "--workspace", "arima", "--token", token("arima"), "bookings/book", `{"visit":1}`)
	assert.Assert(t, ok && strings.Contains(out, `"status":200`), out)
	out, ok = runCommand(t, "call", "--host", host.CallerAddress, "--workspace", "arima", "--token", "wrong", "care-note", "x")
	assert.Assert(t, !ok && strings.Contains(out, "unauthorized"), out)

	assert.NilError(t, host.Signal(syscall.SIGTERM))
	assert.NilError(t, host.Wait(waitTimeout))
	data, err := os.ReadFile(recorded)
	assert.NilError(t, err)
	// The host added below records to the same path, so the trace is copied first.
	replayed := filepath.Join(t.TempDir(), "replayed.jsonl")
	assert.NilError(t, os.WriteFile(replayed, data, 0o600))
	credentials := filepath.Join(t.TempDir(), "credentials.ini")
	assert.NilError(t, os.WriteFile(credentials, []byte("[credentials]\narima = "+token("arima")+"\n"), 0o600))
	replayHost, err := s.AddHost("host-2")
	assert.NilError(t, err)
	assert.NilError(t, replayHost.WaitReady(waitTimeout))
	out, ok = runCommand(t, "replay", "--host", replayHost.CallerAddress, "--credentials", credentials, replayed)
	assert.Assert(t, ok, out)
	assert.Assert(t, strings.Contains(out, "outcomes that did not hold: 0"), out)
	assert.Equal(t, strings.Count(string(data), "\n"), 3, "want a header, a run and a call: %s", data)
}
