package cmd

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/settings"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/web/console"
)

// cheapHash is a bcrypt hash of the example password at the lowest cost: the race
// detector makes the usual cost take more than a second.
const cheapHash = "$2a$04$Z5xgscSFjM.sClmg2b5uZupXwkBAJxtqZauiBmo9L97/keGbaLTrK"

// startConsole starts the console of a standalone host with an example document.
func startConsole(t *testing.T) {
	t.Helper()
	doc, err := readDocument("../deployments/greenhand/document.json")
	assert.NilError(t, err)
	for i := range doc.Operators {
		doc.Operators[i].PasswordHash = cheapHash
	}
	encoded, err := doc.Encode()
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(path, encoded, 0o600))
	s, err := settings.Parse([]byte("[document]\npath = " + path + "\n"))
	assert.NilError(t, err)
	h, err := newHost(s, logging.Discard())
	assert.NilError(t, err)
	assert.NilError(t, h.start(t.Context()))
	server := httptest.NewServer(h.newConsoleHandler().Routes())
	t.Cleanup(server.Close)
	t.Setenv("REDWINGLOFT_CONSOLE", server.URL)
	t.Setenv("REDWINGLOFT_OPERATOR", "editor")
	t.Setenv("REDWINGLOFT_PASSWORD", "for-local-use-only")
}

func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	root := New()
	var out bytes.Buffer
	root.Writer = &out
	err := root.Run(t.Context(), append([]string{"redwingloft"}, args...))
	return out.String(), err
}

// editDocument writes the active document with one text replaced and returns its path.
func editDocument(t *testing.T, from, to string) string {
	t.Helper()
	out, err := runCommand(t, "config", "show")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, from))
	path := filepath.Join(t.TempDir(), "document.json")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(out, from, to, 1)), 0o600))
	return path
}

// TestConfigCommands guards against commands that apply other changes than they print, or
// that report success on a conflict.
func TestConfigCommands(t *testing.T) {
	startConsole(t)
	mine := editDocument(t, `"deadline_ms": 7000`, `"deadline_ms": 6500`)
	theirs := editDocument(t, `"attainment": 0.`, `"attainment": 0.1`)

	out, err := runCommand(t, "config", "diff", mine)
	assert.NilError(t, err)
	difference := "~ pipelines[visit-plan].deadline_ms: 7000 -> 6500\n"
	assert.Equal(t, out, difference)
	out, err = runCommand(t, "config", "apply", "--base", "1", "--comment", "shorter", mine)
	assert.NilError(t, err)
	assert.Equal(t, out, difference+"revision 2 is active\n")

	out, err = runCommand(t, "config", "apply", "--base", "1", theirs)
	assert.ErrorContains(t, err, "conflict")
	assert.Assert(t, strings.Contains(out, "revision 2 is active, with these changes since the base:\n"+difference), out)

	out, err = runCommand(t, "config", "diff", "--from", "1", "--to", "2")
	assert.NilError(t, err)
	assert.Equal(t, out, difference)
	out, err = runCommand(t, "config", "history", "--json")
	assert.NilError(t, err)
	var history console.HistoryResponse
	assert.NilError(t, json.Unmarshal([]byte(out), &history))
	assert.Equal(t, len(history.Revisions), 2)
	assert.Equal(t, history.Revisions[0].Comment, "shorter")
	assert.Equal(t, history.Revisions[0].Author, "editor")

	path := filepath.Join(t.TempDir(), "old.json")
	_, err = runCommand(t, "config", "show", "--revision", "1", "--output", path)
	assert.NilError(t, err)
	out, err = runCommand(t, "config", "apply", "--base", "2", path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "revision 3 is active"), out)
}

// TestConfigApplyRejected guards against faults that are not printed, and against a viewer
// who can commit a document.
func TestConfigApplyRejected(t *testing.T) {
	startConsole(t)
	bad := editDocument(t, `"deadline_ms": 7000`, `"deadline_ms": 0`)
	out, err := runCommand(t, "config", "apply", "--base", "1", bad)
	assert.ErrorContains(t, err, "1 faults")
	assert.Assert(t, strings.Contains(out, "pipelines[0].deadline_ms: 0 is not between"), out)
	good := editDocument(t, `"deadline_ms": 7000`, `"deadline_ms": 1000`)
	t.Setenv("REDWINGLOFT_OPERATOR", "viewer")
	_, err = runCommand(t, "config", "apply", "--base", "1", good)
	assert.ErrorContains(t, err, "forbidden")
}

// TestConfigValidateOffline guards against a validation that needs a running host or omits
// faults.
func TestConfigValidateOffline(t *testing.T) {
	out, err := runCommand(t, "config", "validate", "../deployments/greenhand/document.json")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "is valid"))
	path := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"format": 9, "deployment": "a", "weights": {}}`), 0o600))
	out, err = runCommand(t, "config", "validate", path)
	assert.ErrorContains(t, err, "2 faults")
	assert.Assert(t, strings.Contains(out, "format: ") && strings.Contains(out, "weights: "), out)
}

// TestPasswordSources guards against commands that run without a password, and against a
// password file that is ignored.
func TestPasswordSources(t *testing.T) {
	startConsole(t)
	t.Setenv("REDWINGLOFT_PASSWORD", "")
	_, err := runCommand(t, "config", "history")
	assert.ErrorContains(t, err, "REDWINGLOFT_PASSWORD")
	path := filepath.Join(t.TempDir(), "password")
	assert.NilError(t, os.WriteFile(path, []byte("for-local-use-only\n"), 0o600))
	_, err = runCommand(t, "config", "history", "--password-file", path)
	assert.NilError(t, err)
}
