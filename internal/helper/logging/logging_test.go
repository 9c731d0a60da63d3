package logging

import (
	"bytes"
	"strings"
	"testing"
	"unicode/utf8"

	"gotest.tools/v3/assert"
)

// TestOneLineForEachEvent guards against log injection: an external value that forges another
// event or key.
func TestOneLineForEachEvent(t *testing.T) {
	var out bytes.Buffer
	New(&out, "info", "host-1").Info().Str("workspace", "a\nlevel=error b=\"c\"").Msg("request_refused")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 1, "%q", out.String())
	assert.Assert(t, strings.HasSuffix(lines[0], `event=request_refused host=host-1 workspace="a\nlevel=error b=\"c\""`), "%q", lines[0])
}

// TestLevel guards against a logger that ignores its level.
func TestLevel(t *testing.T) {
	var out bytes.Buffer
	New(&out, "warn", "").Info().Msg("quiet")
	assert.Equal(t, out.String(), "")
}

// TestLongValuesAreTruncated guards against lines whose length a caller chooses.
func TestLongValuesAreTruncated(t *testing.T) {
	var out bytes.Buffer
	New(&out, "info", "").Info().Str("request", strings.Repeat("é", 10_000)).Msg("x")
	assert.Assert(t, out.Len() < maxValueBytes+200, "%d bytes", out.Len())
	assert.Assert(t, utf8.Valid(out.Bytes()) && strings.HasSuffix(out.String(), "é...\n"), "%q", out.String()[out.Len()-20:])
}
