package fleet

import (
	"net/http"
	"time"

	"redwingloft/pkg/api"
)

// PromptPart is one part of a prompt that other requests may share.
type PromptPart struct {
	// ID names the content of the part.
	ID     string
	Tokens int
}

// Request is one request of a caller, decoded.
type Request struct {
	// ID is new with each attempt of a caller.
	ID api.RequestID
	// Method, Target, Host, Header and Body are passed on unchanged. Header holds only
	// end-to-end fields that the system does not set itself.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Path is the path of Target.
	Path string
	// Credential is the bearer token; empty where there is none.
	Credential string
	// Received is when the request arrived.
	Received time.Time
	// Wait is how long the caller waits from Received on; 0 means that it does not say.
	Wait time.Duration
	// LastEvent is the id of the last event that the caller has of a stream; empty at the start.
	LastEvent string
	// Prompt holds the parts of the prompt in order.
	Prompt []PromptPart
	// PromptTokens is the size of the prompt; 0 where it is not given.
	PromptTokens int
	// Items holds the number of items of each stage; 0 omits the stage.
	Items []int
	// ItemKey names the content that the items of first stages are made from.
	ItemKey string
}

// Attempt is one request to one upstream on behalf of a caller's request.
type Attempt struct {
	Request  *Request
	Upstream *Upstream
	// Left is the time that the caller still waits; 0 means no bound.
	Left time.Duration
	// Workspace is empty for public routes.
	Workspace api.WorkspaceName
	// LastEvent is the id of the last event that was passed on; empty at the start.
	LastEvent string
	// Inputs holds the results of the last stages.
	Inputs []ResultRef
	// Rank is the urgency at an engine, from 0 (first) to 9.
	Rank int
	// Ranked tells whether Rank is sent.
	Ranked bool
}

// ResultRef names a result of a stage at its maker.
type ResultRef string

// Reply is what an upstream's answer says besides its status and body.
type Reply struct {
	// ID is the id of the request that the answer belongs to; empty where it names none.
	ID api.RequestID
	// Sealed tells that the answer carries the upstream's digest.
	Sealed bool
	// NotRun tells that the upstream states that it did not run the request.
	NotRun bool
	// OtherUpstream tells that another upstream has the address now.
	OtherUpstream bool
	// Encoded tells that the body is not the upstream's plain body.
	Encoded bool
	// IdleTimeout is how long the upstream keeps the connection; 0 where it does not say.
	IdleTimeout time.Duration
	// Load is nil where the upstream does not report it.
	Load *Load
}

// Load is the load that an upstream reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ItemRef names one item of one stage of a request.
type ItemRef struct {
	Request api.RequestID `json:"request"`
	Stage   int           `json:"stage"`
	Index   int           `json:"index"`
}

// Item is one item of a stage call.
type Item struct {
	ItemRef
	// Left is the time after which the result is of no use.
	Left time.Duration
	// Key is set for stages that need no other stage, Inputs for the others.
	Key    string
	Inputs []ResultRef
}

// ItemFailure tells why an item has no result.
type ItemFailure string

// The failures of an item.
const (
	// FailureLate: the time left had passed when the call's turn came.
	FailureLate ItemFailure = "late"
	// FailureInputGone: an input no longer exists.
	FailureInputGone ItemFailure = "input_gone"
	// FailureNoRoom: the upstream has no room for the result.
	FailureNoRoom ItemFailure = "no_room"
	// FailureError: the upstream failed.
	FailureError ItemFailure = "error"
)

// ItemResult is the outcome of one item.
type ItemResult struct {
	// Result is empty where Failure is set.
	Result  ResultRef
	Failure ItemFailure
}
