package upstream

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestParseLoad guards against load reports that are misread or have values out of range.
func TestParseLoad(t *testing.T) {
	for _, c := range []struct {
		header string
		want   float64
		ok     bool
	}{
		{`JSON {"application_utilization":0.25,"cpu_utilization":0.9}`, 0.25, true},
		{`JSON {"cpu_utilization":0.5,"named_metrics":{"kv":0.1}}`, 0.5, true},
		{`JSON {"application_utilization":0}`, 0, true},
		{`JSON {"application_utilization":1e300}`, maxUtilization, true},
		{`JSON {"application_utilization":-1}`, 0, false},
		{`JSON {"mem_utilization":0.5}`, 0, false},
		{`JSON {"application_utilization":`, 0, false},
		{`TEXT application_utilization=0.5`, 0, false},
		{`JSON {"application_utilization":0.5,"x":"` + strings.Repeat("x", maxLoadHeaderBytes) + `"}`, 0, false},
		{``, 0, false},
	} {
		got, ok := parseLoad(http.Header{http.CanonicalHeaderKey(loadHeader): {c.header}})
		assert.Equal(t, got, c.want, c.header)
		assert.Equal(t, ok, c.ok, c.header)
	}
}

// TestLoadCountsOwnWorkOnce guards against counting a host's own attempts twice, as in
// flight and in the load report of the upstream.
func TestLoadCountsOwnWorkOnce(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	instance := &Instance{Slots: 8}
	instance.Begin()
	instance.Begin()
	instance.RecordLoad(0.5, now)
	assert.Equal(t, instance.Load(now), 4.0)
	assert.Equal(t, instance.Load(now.Add(loadHalfLife)), 3.0)
	instance.End()
	assert.Equal(t, instance.Load(now), 3.0)
}
