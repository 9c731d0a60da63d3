package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"redwingloft/internal/data/trace"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

// defaultRecordedDeadline is recorded for a request without a deadline.
const defaultRecordedDeadline = 7 * time.Second

// recordRun records a pipeline run with the outcome that the caller received.
func (h *Handler) recordRun(arrived time.Time, caller request.Caller, pipeline api.PipelineName, body api.RunRequest, response *request.RunResponse, err error) {
	if !h.shouldRecord(err) || body.Resume != nil {
		return
	}
	entry := newEntry(caller)
	entry.Pipeline, entry.Input, entry.MaxTokens = pipeline, body.Input, body.MaxTokens
	entry.Expect = expectation(err)
	if response != nil {
		sum := sha256.Sum256([]byte(response.Text))
		entry.Expect.Tokens, entry.Expect.TextSHA256 = response.Tokens, hex.EncodeToString(sum[:])
	}
	h.Record(arrived, entry)
}

// recordCall records a call of an HTTP service. The idempotency key is its order label.
func (h *Handler) recordCall(arrived time.Time, r *http.Request, caller request.Caller, body []byte, response *api.ServiceAnswer, err error) {
	if !h.shouldRecord(err) {
		return
	}
	entry := newEntry(caller)
	entry.Service, entry.Call = api.ServiceName(r.PathValue("service")), api.CallName(r.PathValue("call"))
	entry.Method, entry.OrderLabel = r.Method, r.Header.Get(api.HeaderIdempotencyKey)
	if json.Valid(body) {
		entry.Body = body
	}
	entry.Expect = expectation(err)
	if response != nil {
		entry.Expect.Status = response.Status
	}
	h.Record(arrived, entry)
}

// shouldRecord reports whether a request that ended with err is recorded. A trace contains
// no credentials, so a request with a missing or wrong one can't be replayed.
func (h *Handler) shouldRecord(err error) bool {
	return h.Record != nil && !fault.Is(err, api.KindUnauthorized)
}

func newEntry(caller request.Caller) trace.Entry {
	deadline := caller.Timeout
	if deadline <= 0 {
		deadline = defaultRecordedDeadline
	}
	return trace.Entry{Workspace: caller.Workspace, DeadlineMs: deadline.Milliseconds()}
}

func expectation(err error) trace.Expectation {
	if err == nil {
		return trace.Expectation{Outcome: trace.OutcomeAnswered}
	}
	expected := trace.Expectation{Outcome: trace.OutcomeFailed, Kinds: []api.Kind{fault.KindOf(err)}}
	if fault.RunStateOf(err) == api.RunNo {
		expected.Outcome = trace.OutcomeRefused
	}
	return expected
}
