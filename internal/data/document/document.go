// Package document defines the configuration document, its validation, the diff of
// two documents, and the immutable snapshot that is compiled from a document.
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

// MaxSize is the maximum size of an encoded document in bytes. It limits memory use;
// the 1 MiB limit on a stored value doesn't apply, as a document is stored in parts.
const MaxSize = 8 << 20

// Milliseconds is a duration that is encoded in JSON as an integer number of milliseconds.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Cost is an amount in the cost unit of the deployment, such as cents.
type Cost float64

// StageKind is the operation that a stage performs.
type StageKind string

// The supported stage kinds.
const (
	StageEncode   StageKind = "encode"
	StageRetrieve StageKind = "retrieve"
	StageRerank   StageKind = "rerank"
	StageGenerate StageKind = "generate"
)

// GroupKind is the name of the plug-in that implements the protocol of a group's upstreams.
type GroupKind string

// The group kinds of the built-in plug-ins.
const (
	GroupChat      GroupKind = "chat"
	GroupEmbedding GroupKind = "embedding"
	GroupRerank    GroupKind = "rerank"
	GroupSearch    GroupKind = "search"
	GroupHTTP      GroupKind = "http"
)

// Fencing specifies whether upstreams reject an order with an outdated fencing number.
type Fencing string

// The fencing modes. The empty string is equivalent to FencingIgnored.
const (
	FencingIgnored Fencing = "ignored"
	FencingChecked Fencing = "checked"
)

// Role determines the permissions of an operator.
type Role string

// The operator roles.
const (
	RoleViewer Role = "viewer"
	RoleEditor Role = "editor"
)

// Document is a complete configuration. It is always activated as a whole.
type Document struct {
	// Format is the format version and must equal the package constant Format.
	Format int `json:"format"`
	// Deployment is the name of the site.
	Deployment string `json:"deployment"`
	// Weights sets the trade-off between attainment and cost in routing and hedging.
	Weights    Weights     `json:"weights"`
	Limits     Limits      `json:"limits"`
	Pipelines  []Pipeline  `json:"pipelines"`
	Groups     []Group     `json:"groups"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Operators  []Operator  `json:"operators"`
}

// Weights holds the weights of attainment and cost, both between 0 and 1 and not both 0.
type Weights struct {
	Attainment float64 `json:"attainment"`
	Cost       float64 `json:"cost"`
}

// Limits holds the limits of one host. Compile replaces zero values with the defaults.
type Limits struct {
	// QueueLength is the maximum number of queued requests on a host.
	QueueLength int `json:"queue_length,omitempty"`
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// RetryShare is the maximum ratio of retries and hedges to first attempts, between 0 and 1.
	RetryShare float64 `json:"retry_share,omitempty"`
}

// Pipeline is a named sequence of stages with one or more versions.
type Pipeline struct {
	Name api.PipelineName `json:"name"`
	// Deadline is the default and the maximum deadline of a request.
	Deadline Milliseconds `json:"deadline_ms"`
	Versions []Version    `json:"versions"`
}

// Version is one sequence of stages. The last stage produces the response.
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
	// Collection is the ID of the vector store that a retrieve stage searches.
	Collection string `json:"collection,omitempty"`
	// TopK is the maximum number of passages that a retrieve or rerank stage returns.
	TopK int `json:"top_k,omitempty"`
	// MaxTokens is the maximum number of tokens that a generate stage produces.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Prompt is the system message of a generate stage.
	Prompt string `json:"prompt,omitempty"`
}

// Group is a set of interchangeable upstreams.
type Group struct {
	Name api.GroupName `json:"name"`
	Kind GroupKind     `json:"kind"`
	// Fencing specifies whether the upstreams check fencing numbers.
	Fencing Fencing `json:"fencing,omitempty"`
	// CostPerSecond is the cost of one second for which an attempt occupies an upstream.
	CostPerSecond Cost `json:"cost_per_second,omitempty"`
	// CostPerThousandTokens is the cost of 1,000 uncached prompt tokens or generated tokens.
	CostPerThousandTokens Cost       `json:"cost_per_thousand_tokens,omitempty"`
	Upstreams             []Upstream `json:"upstreams"`
}

// Upstream is one backend process.
type Upstream struct {
	ID         api.UpstreamID `json:"id"`
	Address    api.Address    `json:"address"`
	DataCentre api.DataCentre `json:"data_centre"`
	// Slots is the number of requests that the upstream processes concurrently, at least 1.
	Slots int `json:"slots"`
}

// Service is an HTTP service that callers reach directly, without a pipeline.
type Service struct {
	Name  api.ServiceName `json:"name"`
	Group api.GroupName   `json:"group"`
	Calls []Call          `json:"calls"`
}

// Call is one HTTP endpoint of a service.
type Call struct {
	Name   api.CallName `json:"name"`
	Method string       `json:"method"`
	Path   string       `json:"path"`
	// Repeatable reports whether the call may run more than once.
	Repeatable bool `json:"repeatable"`
	// Deadline is the default and the maximum deadline of the call.
	Deadline Milliseconds `json:"deadline_ms"`
}

// Workspace is a tenant with its credentials, limits, pipelines and services.
type Workspace struct {
	Name api.WorkspaceName `json:"name"`
	// CredentialHashes holds the hex SHA-256 digests of the accepted tokens.
	CredentialHashes []string `json:"credential_hashes"`
	// Weight is the relative share of the workspace in a contended queue; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond is the rate limit across all hosts; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the burst size of the rate limit; 0 means RequestsPerSecond.
	Burst float64 `json:"burst,omitempty"`
	// Serves selects one version of each pipeline that the workspace may use.
	Serves []PipelineVersion `json:"serves"`
	// Services lists the services that the workspace may call.
	Services []api.ServiceName `json:"services,omitempty"`
}

// PipelineVersion selects the version of a pipeline that a workspace uses.
type PipelineVersion struct {
	Pipeline api.PipelineName `json:"pipeline"`
	Version  api.VersionName  `json:"version"`
}

// Operator is a user of the console.
type Operator struct {
	Name string `json:"name"`
	// PasswordHash is a bcrypt hash.
	PasswordHash string `json:"password_hash"`
	Role         Role   `json:"role"`
}

// Parse decodes a document without validating it; see Validate. It returns an error for
// unknown keys, trailing data and input larger than MaxSize.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, fmt.Errorf("document size of %d bytes exceeds the limit: at most %d bytes are allowed", len(data), MaxSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	doc := &Document{}
	if err := decoder.Decode(doc); err != nil {
		return nil, decodeError(err, data)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, fmt.Errorf("unexpected data after the end of the document")
	}
	return doc, nil
}

// decodeError wraps a JSON decoding error and adds the line number if it is known.
func decodeError(err error, data []byte) error {
	var offset int64
	switch typed := err.(type) {
	case *json.SyntaxError:
		offset = typed.Offset
	case *json.UnmarshalTypeError:
		offset = typed.Offset
	default:
		return fmt.Errorf("invalid document: %w", err)
	}
	line := 1 + bytes.Count(data[:min(offset, int64(len(data)))], []byte("\n"))
	return fmt.Errorf("invalid document at line %d: %w", line, err)
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
		panic(err) // Document only has fields that JSON can encode
	}
	clone := &Document{}
	if err := json.Unmarshal(data, clone); err != nil {
		panic(err)
	}
	return clone
}

// DataCentres returns the distinct data centres of all upstreams, in document order.
func (d *Document) DataCentres() []api.DataCentre {
	var dataCentres []api.DataCentre
	seen := map[api.DataCentre]bool{}
	for _, group := range d.Groups {
		for _, upstream := range group.Upstreams {
			if !seen[upstream.DataCentre] {
				seen[upstream.DataCentre] = true
				dataCentres = append(dataCentres, upstream.DataCentre)
			}
		}
	}
	return dataCentres
}
