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

// defaultRecordedDeadline is written for a request that carried no deadline.
const defaultRecordedDeadline = 7 * time.Second

// recordRun records a run of a pipeline with the outcome that its caller was told.
func (h *Handler) recordRun(arrived time.Time, caller request.Caller, pipeline api.PipelineName, body api.RunRequest, answer *request.Answer, err error) {
	if !h.records(err) || body.Resume != nil {
		return
	}
	entry := newEntry(caller)
	entry.Pipeline, entry.Input, entry.MaxTokens = pipeline, body.Input, body.MaxTokens
	entry.Expect = expectation(err)
	if answer != nil {
		sum := sha256.Sum256([]byte(answer.Text))
		entry.Expect.Tokens, entry.Expect.TextSHA256 = answer.Tokens, hex.EncodeToString(sum[:])
	}
	h.Record(arrived, entry)
}

// recordCall records a call of a plain service. The order label is the idempotency key.
func (h *Handler) recordCall(arrived time.Time, r *http.Request, caller request.Caller, body []byte, answer *api.ServiceAnswer, err error) {
	if !h.records(err) {
		return
	}
	entry := newEntry(caller)
	entry.Service, entry.Call = api.ServiceName(r.PathValue("service")), api.CallName(r.PathValue("call"))
	entry.Method, entry.Order = r.Method, r.Header.Get(api.HeaderIdempotencyKey)
	if json.Valid(body) {
		entry.Body = body
	}
	entry.Expect = expectation(err)
	if answer != nil {
		entry.Expect.Status = answer.Status
	}
	h.Record(arrived, entry)
}

// records reports whether a request that ended with err is recorded. A trace
// holds no credentials, so a request that lacked the right one can't be replayed.
func (h *Handler) records(err error) bool {
	return h.Record != nil && !fault.Is(err, api.KindUnauthorized)
}

func newEntry(caller request.Caller) trace.Entry {
	deadline := caller.Deadline
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
	if fault.RunOf(err) == api.RunNo {
		expected.Outcome = trace.OutcomeRefused
	}
	return expected
}
