// Package document holds the configuration document: its types, its checks, the
// difference between two documents, and the immutable snapshot compiled from one.
package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"redwingloft/pkg/api"
)

// Format is the version of the document format that this program reads and writes.
const Format = 1

// MaxSize bounds an encoded document. The key-value service holds values up to
// a megabyte; a document is stored in parts, so this bounds memory, not a value.
const MaxSize = 8 << 20

// Milliseconds is a duration that is a whole number of milliseconds in JSON.
type Milliseconds int64

// Duration converts m.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Cost is an amount in the cost unit of the deployment, such as cents.
type Cost float64

// StageKind tells what a stage does with a request.
type StageKind string

// The stage kinds.
const (
	StageEncode   StageKind = "encode"
	StageRetrieve StageKind = "retrieve"
	StageRerank   StageKind = "rerank"
	StageGenerate StageKind = "generate"
)

// GroupKind names the plug-in that speaks to the upstreams of a group.
type GroupKind string

// The group kinds of the built-in plug-ins.
const (
	GroupChat      GroupKind = "chat"
	GroupEmbedding GroupKind = "embedding"
	GroupRerank    GroupKind = "rerank"
	GroupSearch    GroupKind = "search"
	GroupHTTP      GroupKind = "http"
)

// Fencing tells whether upstreams refuse an order that carries an old fencing number.
type Fencing string

// The fencing modes. An empty mode means ignored.
const (
	FencingIgnored Fencing = "ignored"
	FencingChecked Fencing = "checked"
)

// Role is what an operator may do.
type Role string

// The operator roles.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Document is one whole configuration. It is in force wholly or not at all.
type Document struct {
	// Format equals the package constant Format.
	Format int `json:"format"`
	// Deployment names the site.
	Deployment string `json:"deployment"`
	// Weights balance attainment against cost in routing and hedging.
	Weights    Weights     `json:"weights"`
	Limits     Limits      `json:"limits"`
	Pipelines  []Pipeline  `json:"pipelines"`
	Groups     []Group     `json:"groups"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Operators  []Operator  `json:"operators"`
}

// Weights balance the two measures. Both are between 0 and 1 and not both 0.
type Weights struct {
	Attainment float64 `json:"attainment"`
	Cost       float64 `json:"cost"`
}

// Limits bound the work of one host. Zero fields take the defaults of Compile.
type Limits struct {
	// QueueLength bounds the waiting requests of a host.
	QueueLength int `json:"queue_length,omitempty"`
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// RetryShare bounds retries and hedges as a share of first attempts, between 0 and 1.
	RetryShare float64 `json:"retry_share,omitempty"`
}

// Pipeline is a named chain of stages in one or more versions.
type Pipeline struct {
	Name api.PipelineName `json:"name"`
	// Deadline applies to requests that carry none and bounds those that do.
	Deadline Milliseconds `json:"deadline_ms"`
	Versions []Version    `json:"versions"`
}

// Version is one chain of stages. Its last stage gives the answer.
type Version struct {
	Name   api.VersionName `json:"name"`
	Stages []Stage         `json:"stages"`
}

// Stage is one step of a version.
type Stage struct {
	Name  api.StageName `json:"name"`
	Kind  StageKind     `json:"kind"`
	Group api.GroupName `json:"group"`
	Model api.ModelName `json:"model,omitempty"`
	// Collection names the vector store that a retrieve stage searches.
	Collection string `json:"collection,omitempty"`
	// TopK bounds the documents that a retrieve or rerank stage passes on.
	TopK int `json:"top_k,omitempty"`
	// MaxTokens bounds the tokens of a generate stage.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Prompt is the system message of a generate stage.
	Prompt string `json:"prompt,omitempty"`
}

// Group is a set of interchangeable upstreams.
type Group struct {
	Name api.GroupName `json:"name"`
	Kind GroupKind     `json:"kind"`
	// Fencing tells whether the upstreams check fencing numbers.
	Fencing Fencing `json:"fencing,omitempty"`
	// CostPerSecond is charged for the time an attempt occupies an upstream.
	CostPerSecond Cost `json:"cost_per_second,omitempty"`
	// CostPerThousandTokens is charged for uncached prompt tokens and generated tokens.
	CostPerThousandTokens Cost       `json:"cost_per_thousand_tokens,omitempty"`
	Upstreams             []Upstream `json:"upstreams"`
}

// Upstream is one back end process.
type Upstream struct {
	ID         api.UpstreamID `json:"id"`
	Address    api.Address    `json:"address"`
	DataCentre api.DataCentre `json:"data_centre"`
	// Slots is the number of requests that the upstream works on at once; at least 1.
	Slots int `json:"slots"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name  api.ServiceName `json:"name"`
	Group api.GroupName   `json:"group"`
	Calls []Call          `json:"calls"`
}

// Call is one call of a service.
type Call struct {
	Name   api.CallName `json:"name"`
	Method string       `json:"method"`
	Path   string       `json:"path"`
	// Repeatable is false for calls that must run at most once.
	Repeatable bool `json:"repeatable"`
	// Deadline applies to calls that carry none and bounds those that do.
	Deadline Milliseconds `json:"deadline_ms"`
}

// Workspace is a tenant and what serves it.
type Workspace struct {
	Name api.WorkspaceName `json:"name"`
	// CredentialHashes are hex SHA-256 digests of the accepted tokens.
	CredentialHashes []string `json:"credential_hashes"`
	// Weight is the workspace's share of a contended queue; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond limits the workspace over all hosts together; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests admitted at once above the rate; 0 means one second's worth.
	Burst float64 `json:"burst,omitempty"`
	// Serves names one version for each pipeline that the workspace may use.
	Serves []Serve `json:"serves"`
	// Services lists the plain services that the workspace may call.
	Services []api.ServiceName `json:"services,omitempty"`
}

// Serve says which version of a pipeline serves a workspace.
type Serve struct {
	Pipeline api.PipelineName `json:"pipeline"`
	Version  api.VersionName  `json:"version"`
}

// Operator may use the console.
type Operator struct {
	Name string `json:"name"`
	// PasswordHash is a bcrypt hash.
	PasswordHash string `json:"password_hash"`
	Role         Role   `json:"role"`
}

// Parse decodes a document. Unknown keys, trailing data and oversize input are errors.
// The result is not yet checked; see Validate.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, fmt.Errorf("the document has %d bytes; at most %d are allowed", len(data), MaxSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	doc := &Document{}
	if err := decoder.Decode(doc); err != nil {
		return nil, describe(err, data)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("data after the end of the document")
	}
	return doc, nil
}

// describe adds the line of a syntax or type error to its message.
func describe(err error, data []byte) error {
	var offset int64
	switch typed := err.(type) {
	case *json.SyntaxError:
		offset = typed.Offset
	case *json.UnmarshalTypeError:
		offset = typed.Offset
	default:
		return fmt.Errorf("the document is not valid: %w", err)
	}
	line := 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
	return fmt.Errorf("the document is not valid at line %d: %w", line, err)
}

// Encode returns the document as indented JSON.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// Clone returns a deep copy of d.
func (d *Document) Clone() *Document {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err) // the type holds only plain values
	}
	copied := &Document{}
	if err := json.Unmarshal(data, copied); err != nil {
		panic(err)
	}
	return copied
}

// DataCentres returns the data centres of the upstreams in the order of their first appearance.
func (d *Document) DataCentres() []api.DataCentre {
	var centres []api.DataCentre
	seen := map[api.DataCentre]bool{}
	for _, group := range d.Groups {
		for _, upstream := range group.Upstreams {
			if !seen[upstream.DataCentre] {
				seen[upstream.DataCentre] = true
				centres = append(centres, upstream.DataCentre)
			}
		}
	}
	return centres
}
