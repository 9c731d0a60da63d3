package fleet

import (
	"net/http"
	"time"

	"redwingloft/pkg/api"
)

// Request is the decoded request of a caller.
type Request struct {
	// ID differs for each request, including retries by the caller.
	ID api.RequestID
	// Method, Target, Host, Header and Body are forwarded unchanged. Header holds only
	// end-to-end fields, without those that are set on each attempt.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   Body
	// Path is the path component of Target.
	Path string
	// Credential is the bearer token, or empty.
	Credential string
	// Received is the arrival time.
	Received time.Time
	// CallerTimeout is the caller's timeout, counted from Received; 0 means not specified.
	CallerTimeout time.Duration
	// LastEventID is the id of the last stream event that the caller received; empty for a new
	// stream.
	LastEventID string
	// Prompt holds the parts of the prompt in order.
	Prompt []PromptPart
	// PromptTokens is the size of the prompt; 0 means not specified.
	PromptTokens int
	// Items holds the number of items of each stage; 0 skips the stage.
	Items []int
	// ItemKey identifies the content from which stages without inputs derive their items.
	ItemKey string
}

// Attempt is one attempt to send a caller's request to an upstream.
type Attempt struct {
	Request  *Request
	Upstream *Upstream
	// Remaining is the remaining time until the caller's timeout; 0 means no limit.
	Remaining time.Duration
	// Workspace is empty for public routes.
	Workspace api.WorkspaceName
	// LastEventID is the id of the last event forwarded to the caller; empty for a new stream.
	LastEventID string
	// Inputs holds the results of the final stages.
	Inputs []ResultRef
	// Rank is the priority at an engine, from 0 (highest) to 9.
	Rank int
	// SendRank is true if Rank is sent to the upstream.
	SendRank bool
}

// ResultRef identifies a stage result at the upstream that stores it.
type ResultRef string

// ResponseInfo is the metadata of an upstream's response apart from status and body.
type ResponseInfo struct {
	// ID is the id of the request that the response belongs to; empty if it has none.
	ID api.RequestID
	// HasDigest is true if the response carries the upstream's digest.
	HasDigest bool
	// NotRun is true if the upstream reports that it did not run the request.
	NotRun bool
	// WrongUpstream is true if another upstream now uses the address.
	WrongUpstream bool
	// Encoded is true if the body has a content encoding.
	Encoded bool
	// IdleTimeout is how long the upstream keeps an idle connection open; 0 means not specified.
	IdleTimeout time.Duration
	// Load is nil if the upstream does not report it.
	Load *Load
	// InvalidLoad is the start of a load report that could not be decoded; empty if there is none.
	InvalidLoad string
	// RateLimit is the number of requests a second that the upstream accepts from all hosts
	// together; nil if it names no limit.
	RateLimit *float64
	// Leaving is true if the upstream announces its shutdown.
	Leaving bool
	// ColdLeft is how long the upstream stays cold; 0 means not specified.
	ColdLeft time.Duration
	// ColdErr is the error of a cold time that was ignored; nil if there is none.
	ColdErr error
	// RetryAfter is how long the upstream, which refused the request, wants no request from this
	// host; 0 means not specified.
	RetryAfter time.Duration
}

// Load is the load reported by an upstream.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at this moment relative to the usual time, which is 1; 0 if the
	// upstream does not report it.
	Pace float64
}

// ItemRef identifies one item of one stage of a request.
type ItemRef struct {
	Request api.RequestID `json:"request"`
	Stage   int           `json:"stage"`
	Index   int           `json:"index"`
}

// Item is one item of a stage call.
type Item struct {
	ItemRef
	// Remaining is the remaining time until the result is no longer needed.
	Remaining time.Duration
	// Key is set for stages that don't depend on other stages, Inputs for all others.
	Key    string
	Inputs []ResultRef
}

// ItemFailure is the reason why an item has no result.
type ItemFailure string

// The reasons for the failure of an item.
const (
	// FailureLate means that Item.Remaining had elapsed before the call started.
	FailureLate ItemFailure = "late"
	// FailureInputGone means that an input no longer exists.
	FailureInputGone ItemFailure = "input_gone"
	// FailureNoRoom means that the upstream has no capacity to store the result.
	FailureNoRoom ItemFailure = "no_room"
	// FailureError means that the upstream failed.
	FailureError ItemFailure = "error"
)

// ItemResult is the outcome of one item.
type ItemResult struct {
	// Result is empty if Failure is set.
	Result  ResultRef
	Failure ItemFailure
}
