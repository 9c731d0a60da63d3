package trace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const header = `{"format":1,"deployment":"d"}` + "\n"

// TestReadErrorNamesLine guards against errors that don't name the invalid line or field, which
// is hard to find in a long trace.
func TestReadErrorNamesLine(t *testing.T) {
	validEntry := `{"at_ms":1,"workspace":"w","pipeline":"p","deadline_ms":5,"expect":{"outcome":"answered"}}` + "\n"
	for name, c := range map[string]struct{ text, want string }{
		"no header":      {"", "no header"},
		"other format":   {`{"format":2}` + "\n", "line 1 of the trace: format 2"},
		"not JSON":       {header + validEntry + "{\n", "line 3 of the trace"},
		"no target":      {header + strings.Replace(validEntry, `"pipeline":"p",`, "", 1), "line 2 of the trace: an entry names"},
		"bad deadline":   {header + strings.Replace(validEntry, `"deadline_ms":5`, `"deadline_ms":0`, 1), "deadline_ms 0"},
		"bad outcome":    {header + strings.Replace(validEntry, "answered", "fine", 1), `expect.outcome "fine"`},
		"negative start": {header + strings.Replace(validEntry, `"at_ms":1`, `"at_ms":-1`, 1), "at_ms -1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(c.text))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestRecorderKeepsOrderOfArrival guards against a replay in order of completion: a long
// request that arrives first is recorded last.
func TestRecorderKeepsOrderOfArrival(t *testing.T) {
	path := filepath.Join(t.TempDir(), "trace.jsonl")
	r, err := NewRecorder(path, "d")
	assert.NilError(t, err)
	start := time.Now()
	for _, entry := range []struct {
		name string
		at   time.Duration
	}{{"second", 20 * time.Millisecond}, {"first", 5 * time.Millisecond}} {
		r.Record(start.Add(entry.at), Entry{Workspace: "w", Pipeline: "p", Input: entry.name, DeadlineMs: 1, Expect: Expectation{Outcome: OutcomeAnswered}})
	}
	assert.NilError(t, r.Close())
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	read, err := Read(file)
	assert.NilError(t, err)
	assert.Equal(t, len(read.Entries), 2)
	assert.Equal(t, read.Entries[0].Input, "first")
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(header))
	f.Add([]byte(header + `{"at_ms":1,"workspace":"w","service":"s","call":"c","body":{},"deadline_ms":5,"expect":{"outcome":"failed"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := Read(strings.NewReader(string(data)))
		if err == nil && read.Format != Format {
			t.Fatalf("format %d was accepted", read.Format)
		}
	})
}
