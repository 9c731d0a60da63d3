package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPageUsesMeasuredSlopes guards against a page that uses a benchmark that no longer
// exists, and against one that was not regenerated from its template. It checks names
// and text, not whether the values are current.
func TestPageUsesMeasuredSlopes(t *testing.T) {
	text, err := render("../../../docs/slopes.json", "../../../docs/footprint.json")
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(text, "<no value>"), "a figure of the template is not computed")
	committed, err := os.ReadFile("../../../docs/CAPACITY.md")
	assert.NilError(t, err)
	assert.Equal(t, string(committed), text, "run 'go run ./internal/tool/capacity'")
}
