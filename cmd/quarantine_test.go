package cmd

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/service/quarantine"
	wire "redwingloft/platform"
)

// runQuarantine runs a subcommand with the settings of a site's host and returns its output.
func (s *site) runQuarantine(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	root := New()
	root.Writer = &out
	err := root.Run(t.Context(), append([]string{"redwingloft", "quarantine"}, args...))
	return out.String(), err
}

// TestLiftedQuarantine guards against hosts that ignore a quarantine in the store, or that still
// refuse requests with a part after an operator has lifted its quarantine.
func TestLiftedQuarantine(t *testing.T) {
	s := startSite(t)
	prompt := map[string]string{wire.HeaderPrompt: "common:10,bad:20,own:5"}
	until := time.Now().Add(time.Minute).UTC().Truncate(time.Second)
	s.write(t, quarantine.Key(quarantinePrefix(s.settings), "bad"), `{"part":"bad","until":"`+until.Format(time.RFC3339)+`","crashes":3}`)
	s.eventually(t, "the quarantine", func() bool {
		status, body, header := s.call(t, "/plan/1", "a", prompt)
		return status == http.StatusServiceUnavailable && strings.Contains(body, "prompt_quarantined") && header.Get("Retry-After") != ""
	})

	out, err := s.runQuarantine(t, "list", "--settings", s.path)
	assert.NilError(t, err)
	assert.Equal(t, out, "PART  CRASHES  UNTIL\nbad   3        "+until.Format(time.RFC3339)+"\n")
	_, err = s.runQuarantine(t, "lift", "--settings", s.path, "other")
	assert.ErrorContains(t, err, "not in quarantine")
	_, err = s.runQuarantine(t, "lift", "--settings", s.path)
	assert.ErrorContains(t, err, "at least one part")
	out, err = s.runQuarantine(t, "lift", "--settings", s.path, "bad")
	assert.NilError(t, err)
	assert.Equal(t, out, "bad lifted\n")
	s.eventually(t, "the end of the quarantine", func() bool {
		status, _, _ := s.call(t, "/plan/1", "b", prompt)
		return status == http.StatusOK
	})
	s.stop(t)
}

// TestQuarantineAfterRestore guards against a decision that is lost, and against a lifted one that returns, when the store comes back from an older copy.
func TestQuarantineAfterRestore(t *testing.T) {
	s := startSite(t)
	stored := func(part string) func() bool {
		return func() bool {
			entry, err := s.store.Inner.Get(t.Context(), quarantine.Key(quarantinePrefix(s.settings), part))
			return err == nil && entry != nil
		}
	}
	until := time.Now().Add(time.Minute).UTC().Format(time.RFC3339)
	write := func(part string) {
		s.write(t, quarantine.Key(quarantinePrefix(s.settings), part), `{"part":"`+part+`","until":"`+until+`","crashes":3}`)
		s.eventually(t, "the quarantine", func() bool { _, known := s.host.quarantinedParts()[part]; return known })
	}
	write("lifted")
	before := s.store.Inner.Copy()
	write("decided")
	_, err := s.runQuarantine(t, "lift", "--settings", s.path, "lifted")
	assert.NilError(t, err)
	s.eventually(t, "the end of the quarantine", func() bool { _, known := s.host.quarantinedParts()["lifted"]; return !known })
	s.store.Restore(before)
	assert.Assert(t, stored("lifted")() && !stored("decided")())
	s.eventually(t, "the decision", stored("decided"))
	s.eventually(t, "the removal", func() bool { return !stored("lifted")() })
	_, refused := s.host.quarantinedParts()["decided"]
	assert.Assert(t, refused && len(s.host.quarantinedParts()) == 1)
	s.stop(t)
}
