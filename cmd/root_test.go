package cmd

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnknownCommand guards against an unknown command for which the CLI library exits
// the process, or that exits with code 0.
func TestUnknownCommand(t *testing.T) {
	for _, args := range [][]string{{"serv"}, {"config", "aply"}, {"settings", "chek"}} {
		root := New()
		root.Writer = &bytes.Buffer{}
		err := root.Run(t.Context(), append([]string{"redwingloft"}, args...))
		assert.ErrorContains(t, err, "unknown command")
	}
}

// TestCallWithoutCredential guards against a call that is sent without a token and
// rejected with a message that doesn't name the cause.
func TestCallWithoutCredential(t *testing.T) {
	t.Setenv("REDWINGLOFT_TOKEN", "")
	err := New().Run(t.Context(), []string{"redwingloft", "call", "--workspace", "w", "plan", "x"})
	assert.ErrorContains(t, err, "REDWINGLOFT_TOKEN")
}
