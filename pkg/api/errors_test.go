package api

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestKindsAreDocumented guards against documentation for callers whose table
// of error kinds differs from Kinds.
func TestKindsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/callers.md")
	assert.NilError(t, err)
	for kind, answer := range Kinds {
		repeatable := "no"
		if answer.Repeatable {
			repeatable = "yes"
		}
		row := fmt.Sprintf("| `%s` | %d | %s | %s |", kind, answer.Status, repeatable, answer.Run)
		assert.Check(t, strings.Contains(string(page), row), "docs/callers.md lacks %s", row)
	}
}

// TestErrorKindsHaveOwnCounters guards against two error kinds that share a counter.
func TestErrorKindsHaveOwnCounters(t *testing.T) {
	seen := map[string]Kind{}
	for kind, answer := range Kinds {
		other, taken := seen[answer.Counter]
		assert.Check(t, !taken, "%s and %s share the counter %s", kind, other, answer.Counter)
		seen[answer.Counter] = kind
	}
}
