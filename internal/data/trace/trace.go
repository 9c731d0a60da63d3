// Package trace holds the format of recorded requests: JSON lines, the first of
// which is the header.
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

// Format is the version of the format that this program reads and writes.
const Format = 1

// maxLine bounds one line.
const maxLine = 64 << 20

// Header is the first line of a trace.
type Header struct {
	// Format equals the package constant Format.
	Format     int    `json:"format"`
	Deployment string `json:"deployment"`
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered is a whole answer within the deadline.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused is a refusal as not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed is any other end.
	OutcomeFailed Outcome = "failed"
)

// Expectation is the stated outcome of a request.
type Expectation struct {
	Outcome Outcome `json:"outcome"`
	// Kinds lists the error kinds of which one is expected; empty allows any.
	Kinds []api.Kind `json:"kinds,omitempty"`
	// Tokens, where not 0, is the number of generated tokens.
	Tokens int `json:"tokens,omitempty"`
	// TextSHA256, where not empty, is the hex digest of the whole text.
	TextSHA256 string `json:"text_sha256,omitempty"`
	// Status, where not 0, is the HTTP status that a plain service gave.
	Status int `json:"status,omitempty"`
}

// Entry is one request.
type Entry struct {
	// AtMs is the arrival after the start of the trace.
	AtMs      int64             `json:"at_ms"`
	Workspace api.WorkspaceName `json:"workspace"`
	// DataCentre is that of the caller.
	DataCentre api.DataCentre `json:"data_centre,omitempty"`
	// Pipeline is set for a run, Service and Call for a call of a plain service.
	Pipeline   api.PipelineName `json:"pipeline,omitempty"`
	Input      string           `json:"input,omitempty"`
	MaxTokens  int              `json:"max_tokens,omitempty"`
	Service    api.ServiceName  `json:"service,omitempty"`
	Call       api.CallName     `json:"call,omitempty"`
	Method     string           `json:"method,omitempty"`
	Body       json.RawMessage  `json:"body,omitempty"`
	DeadlineMs int64            `json:"deadline_ms"`
	// Order labels the idempotency key. Entries with the same label share a key,
	// which the replay makes anew, since keys age.
	Order  string      `json:"order,omitempty"`
	Expect Expectation `json:"expect"`
}

func (e *Entry) check() error {
	run, call := e.Pipeline != "", e.Service != "" && e.Call != ""
	switch {
	case run == call:
		return fmt.Errorf("an entry names either a pipeline or a service and its call")
	case e.Workspace == "":
		return fmt.Errorf("workspace is missing")
	case e.AtMs < 0:
		return fmt.Errorf("at_ms %d is negative", e.AtMs)
	case e.DeadlineMs <= 0:
		return fmt.Errorf("deadline_ms %d is not positive", e.DeadlineMs)
	}
	switch e.Expect.Outcome {
	case OutcomeAnswered, OutcomeRefused, OutcomeFailed:
		return nil
	}
	return fmt.Errorf("expect.outcome %q is not one of answered, refused and failed", e.Expect.Outcome)
}

// Trace is a recorded series of requests.
type Trace struct {
	Header
	// Entries are in the order of their arrival.
	Entries []Entry
}

// Read reads and checks a trace. An error names the line at fault.
func Read(in io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	t := &Trace{}
	line := 0
	for scanner.Scan() {
		line++
		if err := t.add(scanner.Bytes()); err != nil {
			return nil, fmt.Errorf("line %d of the trace: %w", line, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("line %d of the trace: %w", line+1, err)
	}
	if t.Format == 0 {
		return nil, fmt.Errorf("the trace has no header")
	}
	// A host records requests when they end; a replay needs the order of arrival.
	slices.SortStableFunc(t.Entries, func(a, b Entry) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return t, nil
}

// add adds one line; empty lines are skipped and the first other one is the header.
func (t *Trace) add(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if t.Format == 0 {
		if err := json.Unmarshal(data, &t.Header); err != nil {
			return err
		}
		if t.Format != Format {
			return fmt.Errorf("format %d is not supported; this program reads format %d", t.Format, Format)
		}
		return nil
	}
	var entry Entry
	if err := json.Unmarshal(data, &entry); err != nil {
		return err
	}
	if err := entry.check(); err != nil {
		return err
	}
	t.Entries = append(t.Entries, entry)
	return nil
}

// Writer writes a trace. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	out io.Writer
}

// NewWriter writes the header and returns a writer for the entries.
func NewWriter(out io.Writer, deployment string) (*Writer, error) {
	w := &Writer{out: out}
	return w, w.write(Header{Format: Format, Deployment: deployment})
}

// Write writes one entry.
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
