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

// redwingloft runs a subcommand and returns its output and whether it exited with 0.
func redwingloft(t *testing.T, args ...string) (string, bool) {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, "redwingloft"), args...)
	out, err := command.CombinedOutput()
	if err != nil {
		_, exited := err.(*exec.ExitError)
		assert.Assert(t, exited, "%v", err)
	}
	return string(out), err == nil
}

// TestSettingsCheckListsAllFaults guards against a check that accepts a bad file
// or names only its first fault.
func TestSettingsCheckListsAllFaults(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[host]\ndrain = soon\nname = x\n[stroe]\nkind = etcd\n"), 0o600))
	out, ok := redwingloft(t, "settings", "check", "--settings", bad)
	assert.Assert(t, !ok)
	for _, want := range []string{"[host] drain:", "[host] name: unknown key", "[stroe]: unknown section"} {
		assert.Assert(t, strings.Contains(out, want), "%q lacks %q", out, want)
	}
	out, ok = redwingloft(t, "settings", "check", "--settings", "../../app.example.ini")
	assert.Assert(t, ok, out)
}

// TestServeRefusesBadSettings guards against a host that starts with a setting it did not understand.
func TestServeRefusesBadSettings(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(bad, []byte("[caller]\nlisten = 127.0.0.1:1\nport = 2\n"), 0o600))
	out, ok := redwingloft(t, "serve", "--settings", bad)
	assert.Assert(t, !ok)
	assert.Assert(t, strings.Contains(out, "[caller] port: unknown key"), out)
}

// TestClientCommands guards against client subcommands that do not work against a
// running site, and against a recorded trace that does not replay.
func TestClientCommands(t *testing.T) {
	recorded := filepath.Join(t.TempDir(), "trace.jsonl")
	s := startSite(t, "greenhand", site.Options{Hosts: 1, Settings: map[string][]string{
		"trace": {"record = " + recorded},
		"host":  {"drain = 0s"},
	}})
	host := s.Hosts[0]
	out, ok := redwingloft(t, "hosts", "--host", host.Caller)
	assert.Assert(t, ok && strings.Contains(out, host.Caller), out)
	out, ok = redwingloft(t, "call", "--host", host.Caller, "--workspace", "arima", "--token", token("arima"), "care-note", "water the fern")
	assert.Assert(t, ok, out)
	assert.Assert(t, strings.Contains(out, strings.TrimSpace(engine.Text("water the fern", 32))), out)
	out, ok = redwingloft(t, "call", "--host", host.Caller, "--workspace", "arima", "--token", token("arima"), "bookings/book", `{"visit":1}`)
	assert.Assert(t, ok && strings.Contains(out, `"status":200`), out)
	out, ok = redwingloft(t, "call", "--host", host.Caller, "--workspace", "arima", "--token", "wrong", "care-note", "x")
	assert.Assert(t, !ok && strings.Contains(out, "unauthorized"), out)

	assert.NilError(t, host.Signal(syscall.SIGTERM))
	assert.NilError(t, host.Wait(bound))
	data, err := os.ReadFile(recorded)
	assert.NilError(t, err)
	// The next host records to the same path.
	replayed := filepath.Join(t.TempDir(), "replayed.jsonl")
	assert.NilError(t, os.WriteFile(replayed, data, 0o600))
	credentials := filepath.Join(t.TempDir(), "credentials.ini")
	assert.NilError(t, os.WriteFile(credentials, []byte("[credentials]\narima = "+token("arima")+"\n"), 0o600))
	again, err := s.AddHost("host-2")
	assert.NilError(t, err)
	assert.NilError(t, again.WaitReady(bound))
	out, ok = redwingloft(t, "replay", "--host", again.Caller, "--credentials", credentials, replayed)
	assert.Assert(t, ok, out)
	assert.Assert(t, strings.Contains(out, "outcomes that did not hold: 0"), out)
	assert.Equal(t, strings.Count(string(data), "\n"), 3, "a header, a run and a call: %s", data)
}
