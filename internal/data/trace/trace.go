// Package trace defines the file format of recorded requests: JSON Lines with a header
// in the first line.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"

	"redwingloft/pkg/api"
)

// Format is the version of the trace format that this program reads and writes.
const Format = 1

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 64 << 20

// Header is the first line of a trace.
type Header struct {
	// Format is the format version and must equal the package constant Format.
	Format     int    `json:"format"`
	Deployment string `json:"deployment"`
}

// Outcome is the result of a request as observed by its caller.
type Outcome string

// The possible outcomes of a request.
const (
	// OutcomeAnswered is a complete response within the deadline.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused is an error response which states that the request did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is any other result.
	OutcomeFailed Outcome = "failed"
)

// Expectation is the expected result of a request.
type Expectation struct {
	Outcome Outcome `json:"outcome"`
	// Kinds lists the accepted error kinds; empty accepts any.
	Kinds []api.Kind `json:"kinds,omitempty"`
	// Tokens is the number of generated tokens; 0 accepts any.
	Tokens int `json:"tokens,omitempty"`
	// TextSHA256 is the hex digest of the complete text; empty accepts any.
	TextSHA256 string `json:"text_sha256,omitempty"`
	// Status is the HTTP status of a service call; 0 accepts any.
	Status int `json:"status,omitempty"`
}

// Entry is one recorded request.
type Entry struct {
	// AtMs is the arrival time in milliseconds since the start of the trace.
	AtMs      int64             `json:"at_ms"`
	Workspace api.WorkspaceName `json:"workspace"`
	// DataCentre is the data centre of the caller.
	DataCentre api.DataCentre `json:"data_centre,omitempty"`
	// Pipeline is set for a pipeline run, Service and Call for a service call.
	Pipeline   api.PipelineName `json:"pipeline,omitempty"`
	Input      string           `json:"input,omitempty"`
	MaxTokens  int              `json:"max_tokens,omitempty"`
	Service    api.ServiceName  `json:"service,omitempty"`
	Call       api.CallName     `json:"call,omitempty"`
	Method     string           `json:"method,omitempty"`
	Body       json.RawMessage  `json:"body,omitempty"`
	DeadlineMs int64            `json:"deadline_ms"`
	// OrderLabel is a label for the idempotency key. Entries with the same label share a key.
	// A replay generates new keys, as recorded keys expire.
	OrderLabel string      `json:"order,omitempty"`
	Expect     Expectation `json:"expect"`
}

func (e *Entry) validate() error {
	run, call := e.Pipeline != "", e.Service != "" && e.Call != ""
	switch {
	case run == call:
		return fmt.Errorf("an entry names either a pipeline or both a service and a call")
	case e.Workspace == "":
		return fmt.Errorf("workspace is empty")
	case e.AtMs < 0:
		return fmt.Errorf("at_ms %d is negative", e.AtMs)
	case e.DeadlineMs <= 0:
		return fmt.Errorf("deadline_ms %d must be positive", e.DeadlineMs)
	}
	switch e.Expect.Outcome {
	case OutcomeAnswered, OutcomeRefused, OutcomeFailed:
		return nil
	}
	return fmt.Errorf("expect.outcome %q is not one of answered, refused and failed", e.Expect.Outcome)
}

// Trace is a sequence of recorded requests.
type Trace struct {
	Header
	// Entries are sorted by arrival time.
	Entries []Entry
}

// Read reads and validates a trace. Errors include the line number.
func Read(in io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	t := &Trace{}
	line := 0
	for scanner.Scan() {
		line++
		if err := t.addLine(scanner.Bytes()); err != nil {
			return nil, fmt.Errorf("line %d of the trace: %w", line, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("line %d of the trace: %w", line+1, err)
	}
	if t.Format == 0 {
		return nil, fmt.Errorf("the trace has no header")
	}
	// Hosts record requests on completion, but a replay requires them in order of arrival.
	slices.SortStableFunc(t.Entries, func(a, b Entry) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return t, nil
}

// addLine parses one line. Empty lines are skipped; the first other line is the header.
func (t *Trace) addLine(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if t.Format == 0 {
		if err := json.Unmarshal(data, &t.Header); err != nil {
			return err
		}
		if t.Format != Format {
			return fmt.Errorf("format %d is not supported; the supported format is %d", t.Format, Format)
		}
		return nil
	}
	var entry Entry
	if err := json.Unmarshal(data, &entry); err != nil {
		return err
	}
	if err := entry.validate(); err != nil {
		return err
	}
	t.Entries = append(t.Entries, entry)
	return nil
}

// Writer writes a trace and is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	out io.Writer
}

// NewWriter writes the header to out and returns a Writer for the entries.
func NewWriter(out io.Writer, deployment string) (*Writer, error) {
	w := &Writer{out: out}
	return w, w.write(Header{Format: Format, Deployment: deployment})
}

// Write writes an entry as one line.
func (w *Writer) Write(entry Entry) error { return w.write(entry) }

func (w *Writer) write(value any) error {
	line, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.out.Write(append(line, '\n'))
	return err
}
