// Package api holds the public wire types of redwingloft: identifiers, requests,
// responses, stream events and the closed list of error kinds. Field names on the
// wire are snake case and every duration on the wire is in milliseconds.
package api

// WorkspaceName identifies a workspace, the tenant on whose behalf a caller sends requests.
type WorkspaceName string

// RequestID identifies one request across all hosts that process it.
type RequestID string

// HostID identifies an entry host. A replaced host gets a new id.
type HostID string

// DataCentre names the data centre of a host or an upstream.
type DataCentre string

// PipelineName identifies a pipeline.
type PipelineName string

// VersionName identifies a version of a pipeline.
type VersionName string

// StageName identifies a stage within a version of a pipeline.
type StageName string

// GroupName identifies a group of interchangeable upstreams.
type GroupName string

// UpstreamID identifies one upstream process.
type UpstreamID string

// ServiceName identifies an HTTP service, which is called directly rather than as a stage of a pipeline.
type ServiceName string

// CallName identifies one call of an HTTP service.
type CallName string

// ModelName identifies a model that an engine serves.
type ModelName string

// Revision numbers accepted configurations. It starts at 1 and never decreases.
type Revision uint64

// Address is a TCP address as "ip:port".
type Address string

// Priority orders requests of different urgency in a queue.
type Priority string

// Priorities from the most to the least urgent. An empty priority means normal.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Rank returns 0 for high, 1 for normal and 2 for low.
func (p Priority) Rank() int {
	switch p {
	case PriorityHigh:
		return 0
	case PriorityLow:
		return 2
	default:
		return 1
	}
}

// Valid reports whether p is one of the declared priorities or empty.
func (p Priority) Valid() bool {
	return p == "" || p == PriorityHigh || p == PriorityNormal || p == PriorityLow
}
