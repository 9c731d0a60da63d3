package api

import (
	"fmt"
	"net/http"
)

// Kind is one of the closed list of error kinds.
type Kind string

// RunState states whether a refused or failed request was executed.
type RunState string

// The run states. RunNo is used only if it is certain that no upstream received the request.
const (
	RunNo      RunState = "no"
	RunYes     RunState = "yes"
	RunUnknown RunState = "unknown"
)

// The error kinds.
const (
	KindBadRequest            Kind = "bad_request"
	KindUnauthorized          Kind = "unauthorized"
	KindForbidden             Kind = "forbidden"
	KindNotFound              Kind = "not_found"
	KindTooLarge              Kind = "too_large"
	KindBodyStalled           Kind = "body_stalled"
	KindMemoryFull            Kind = "memory_full"
	KindConnectionsFull       Kind = "connections_full"
	KindDeadlineUnreachable   Kind = "deadline_unreachable"
	KindDeadlineExceeded      Kind = "deadline_exceeded"
	KindWorkspaceLimit        Kind = "workspace_limit"
	KindOverloaded            Kind = "overloaded"
	KindDraining              Kind = "draining"
	KindHostIsolated          Kind = "host_isolated"
	KindHandover              Kind = "handover"
	KindNoUpstream            Kind = "no_upstream"
	KindPromptQuarantined     Kind = "prompt_quarantined"
	KindStageFailed           Kind = "stage_failed"
	KindStreamCut             Kind = "stream_cut"
	KindResumeInvalid         Kind = "resume_invalid"
	KindOrderKeyRequired      Kind = "order_key_required"
	KindOrderKeyExpired       Kind = "order_key_expired"
	KindOrderKeyReused        Kind = "order_key_reused"
	KindOrderInProgress       Kind = "order_in_progress"
	KindOrderOutcomeUnknown   Kind = "order_outcome_unknown"
	KindOrderStoreUnavailable Kind = "order_store_unavailable"
	KindConflict              Kind = "conflict"
	KindStoreUnavailable      Kind = "store_unavailable"
	KindStoreOutcomeUnknown   Kind = "store_outcome_unknown"
	KindCallerGone            Kind = "caller_gone"
	KindInternal              Kind = "internal"
)

// Answer describes the response to the caller for an error kind.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Repeatable reports whether the same request may be sent again, with the same idempotency key where it has one.
	Repeatable bool
	// Run is the default run state; an error may carry a more specific one.
	Run RunState
	// Counter is the name of the counter that counts responses of this kind.
	Counter string
}

// Kinds maps each error kind to its response. It is read-only.
var Kinds = map[Kind]Answer{
	KindBadRequest:            {http.StatusBadRequest, false, RunNo, "refused.bad_request"},
	KindUnauthorized:          {http.StatusUnauthorized, false, RunNo, "refused.unauthorized"},
	KindForbidden:             {http.StatusForbidden, false, RunNo, "refused.forbidden"},
	KindNotFound:              {http.StatusNotFound, false, RunNo, "refused.not_found"},
	KindTooLarge:              {http.StatusRequestEntityTooLarge, false, RunNo, "refused.too_large"},
	KindBodyStalled:           {http.StatusRequestTimeout, true, RunNo, "refused.body_stalled"},
	KindMemoryFull:            {http.StatusServiceUnavailable, true, RunNo, "refused.memory_full"},
	KindConnectionsFull:       {http.StatusServiceUnavailable, true, RunNo, "refused.connections_full"},
	KindDeadlineUnreachable:   {http.StatusServiceUnavailable, true, RunNo, "refused.deadline_unreachable"},
	KindDeadlineExceeded:      {http.StatusGatewayTimeout, false, RunUnknown, "failed.deadline_exceeded"},
	KindWorkspaceLimit:        {http.StatusTooManyRequests, true, RunNo, "refused.workspace_limit"},
	KindOverloaded:            {http.StatusServiceUnavailable, true, RunNo, "refused.overloaded"},
	KindDraining:              {http.StatusServiceUnavailable, true, RunNo, "refused.draining"},
	KindHostIsolated:          {http.StatusServiceUnavailable, true, RunNo, "refused.host_isolated"},
	KindHandover:              {http.StatusServiceUnavailable, true, RunNo, "refused.handover"},
	KindNoUpstream:            {http.StatusServiceUnavailable, true, RunNo, "refused.no_upstream"},
	KindPromptQuarantined:     {http.StatusServiceUnavailable, true, RunNo, "refused.prompt_quarantined"},
	KindStageFailed:           {http.StatusBadGateway, true, RunUnknown, "failed.stage_failed"},
	KindStreamCut:             {http.StatusBadGateway, true, RunYes, "failed.stream_cut"},
	KindResumeInvalid:         {http.StatusBadRequest, false, RunNo, "refused.resume_invalid"},
	KindOrderKeyRequired:      {http.StatusBadRequest, false, RunNo, "refused.order_key_required"},
	KindOrderKeyExpired:       {http.StatusConflict, false, RunUnknown, "refused.order_key_expired"},
	KindOrderKeyReused:        {http.StatusUnprocessableEntity, false, RunNo, "refused.order_key_reused"},
	KindOrderInProgress:       {http.StatusConflict, true, RunUnknown, "refused.order_in_progress"},
	KindOrderOutcomeUnknown:   {http.StatusBadGateway, true, RunUnknown, "failed.order_outcome_unknown"},
	KindOrderStoreUnavailable: {http.StatusServiceUnavailable, true, RunNo, "refused.order_store_unavailable"},
	KindConflict:              {http.StatusConflict, false, RunNo, "refused.conflict"},
	KindStoreUnavailable:      {http.StatusServiceUnavailable, true, RunNo, "refused.store_unavailable"},
	KindStoreOutcomeUnknown:   {http.StatusBadGateway, true, RunUnknown, "failed.store_outcome_unknown"},
	KindCallerGone:            {499, true, RunUnknown, "failed.caller_gone"},
	KindInternal:              {http.StatusInternalServerError, false, RunUnknown, "failed.internal"},
}

// Error is the JSON body of every refusal and failure, and the data of a stream's error event.
type Error struct {
	// Kind is a key of Kinds.
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	// Run is RunNo only if it is certain that the request was not executed.
	Run RunState `json:"run"`
	// Repeatable reports whether the same request may be sent again.
	Repeatable bool `json:"repeatable"`
	// RetryAfterMs is the suggested delay before a retry; 0 means none is suggested.
	RetryAfterMs int64     `json:"retry_after_ms,omitempty"`
	RequestID    RequestID `json:"request_id,omitempty"`
	// Faults lists every validation error of a rejected document, each with its path.
	Faults []Fault `json:"faults,omitempty"`
}

// Error returns kind, message and run state in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (run: %s)", e.Kind, e.Message, e.Run)
}

// Fault is one validation error of a document.
type Fault struct {
	// Path locates the error in the document, such as "workspaces[3].serves[0].version".
	Path    string `json:"path"`
	Message string `json:"message"`
}
