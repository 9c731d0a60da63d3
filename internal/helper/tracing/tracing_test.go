package tracing

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOnlyValidTraceContextIsCarried guards against malformed headers of callers that are
// forwarded to upstreams and against valid ones that are dropped.
func TestOnlyValidTraceContextIsCarried(t *testing.T) {
	const traceID, parentID = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
	for parent, want := range map[string]bool{
		"00-" + traceID + "-" + parentID + "-01":                  true,
		"01-" + traceID + "-" + parentID + "-01-more":             true,
		"00-" + traceID + "-" + parentID + "-01-more":             false,
		"ff-" + traceID + "-" + parentID + "-01":                  false,
		"00-00000000000000000000000000000000-" + parentID + "-01": false,
		"00-" + traceID + "-0000000000000000-01":                  false,
		"00-4BF92F3577B34DA6A3CE929D0E0E4736-" + parentID + "-01": false,
		"00-" + traceID + "-" + parentID:                          false,
		"":                                                        false,
	} {
		carried := Parent(WithParent(context.Background(), parent))
		assert.Equal(t, carried == parent && parent != "", want, "%q", parent)
	}
}
