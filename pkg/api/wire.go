package api

import "encoding/json"

// HTTP headers of the caller interface.
const (
	// HeaderWorkspace names the workspace of a request.
	HeaderWorkspace = "X-Workspace"
	// HeaderIdempotencyKey carries the key of a non-idempotent call, a UUID version 7.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline carries the remaining time of the request in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRequestID carries the request id, chosen by the caller or by the host.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the priority of the request.
	HeaderPriority = "X-Priority"
	// HeaderFencing carries the fencing number of a non-idempotent call to an upstream that checks it.
	HeaderFencing = "X-Fencing-Number"
)

// Paths of the caller interface.
const (
	PathHosts     = "/v1/hosts"
	PathPipelines = "/v1/pipelines/"
	PathServices  = "/v1/services/"
)

// AddressList is the response to GET /v1/hosts: the hosts that a caller should use, best first.
type AddressList struct {
	Hosts []HostAddress `json:"hosts"`
	// ValidForMs is the time for which the list may be cached. A draining host keeps serving for this long.
	ValidForMs int64 `json:"valid_for_ms"`
}

// HostAddress is one entry of an AddressList.
type HostAddress struct {
	Host       HostID     `json:"host"`
	Address    Address    `json:"address"`
	DataCentre DataCentre `json:"data_centre"`
}

// RunRequest is the body of POST /v1/pipelines/{pipeline}/run.
type RunRequest struct {
	// Input is the text that the pipeline processes.
	Input string `json:"input"`
	// Stream selects server-sent events instead of a single JSON response.
	Stream bool `json:"stream,omitempty"`
	// MaxTokens bounds the generated tokens; 0 means the default of the stage.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Resume continues an interrupted stream, on any host.
	Resume *ResumeRequest `json:"resume,omitempty"`
}

// ResumeRequest continues a stream after the last event that the caller received.
type ResumeRequest struct {
	// Token is the sealed value of the stream's "accepted" event.
	Token string `json:"token"`
	// LastEvent is the number of the last event received.
	LastEvent uint64 `json:"last_event"`
	// Text is the concatenated text of all token events up to LastEvent.
	Text string `json:"text"`
}

// RunAnswer is the complete response of a pipeline.
type RunAnswer struct {
	RequestID RequestID    `json:"request_id"`
	Pipeline  PipelineName `json:"pipeline"`
	Version   VersionName  `json:"version"`
	Text      string       `json:"text"`
	// Tokens counts the generated tokens in Text.
	Tokens int         `json:"tokens"`
	Stages []StageCost `json:"stages"`
}

// StageCost holds the attempts, duration and cost of one stage of a request, including failed attempts.
type StageCost struct {
	Stage    StageName `json:"stage"`
	Attempts int       `json:"attempts"`
	// DurationMs is the time from the start of the stage to its accepted result.
	DurationMs float64 `json:"duration_ms"`
	// Cost is the sum over all attempts, including discarded ones, in the cost unit of the document.
	Cost float64 `json:"cost"`
	// LostCost is the part of Cost that was spent on attempts whose result was discarded.
	LostCost float64 `json:"lost_cost"`
}

// EventType names a server-sent event of a streamed response.
type EventType string

// The event types. EventDone and EventError are terminal: a stream that ends without one of them is truncated.
const (
	EventAccepted EventType = "accepted"
	EventToken    EventType = "token"
	EventDone     EventType = "done"
	EventError    EventType = "error"
)

// AcceptedEvent is the data of the first event of a stream.
type AcceptedEvent struct {
	RequestID RequestID   `json:"request_id"`
	Version   VersionName `json:"version"`
	// ResumeToken is opaque to the caller and accepted by every host.
	ResumeToken string `json:"resume_token"`
}

// TokenEvent is the data of one token event. Event numbers increase by one without gaps.
type TokenEvent struct {
	Text string `json:"text"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens"`
}

// DoneEvent is the data of the terminal event of a complete response.
type DoneEvent struct {
	// Events counts the token events of the complete response, including resumed parts.
	Events uint64 `json:"events"`
	// TextSHA256 is the hex digest of the complete text; callers use it to detect missing parts.
	TextSHA256 string      `json:"text_sha256"`
	Tokens     int         `json:"tokens"`
	Stages     []StageCost `json:"stages"`
}

// ServiceAnswer is the response of an HTTP service call.
type ServiceAnswer struct {
	RequestID RequestID `json:"request_id"`
	// Status is the HTTP status that the upstream returned.
	Status int             `json:"status"`
	Body   json.RawMessage `json:"body"`
	// Replayed is true if the response was stored by an earlier run with the same idempotency key.
	Replayed bool `json:"replayed,omitempty"`
}
