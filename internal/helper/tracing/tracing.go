// Package tracing propagates the W3C trace context of a request, so that attempts at
// upstreams are part of the caller's trace.
package tracing

import (
	"context"
	"regexp"
	"strings"
)

// Header is the name of the header that carries the trace context.
const Header = "traceparent"

// traceparentPattern matches a trace context: version, trace id, parent id and flags. Versions
// after 00 may have further fields.
var traceparentPattern = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}(-[\x21-\x7e]{1,200})?$`)

// Lengths and offsets in bytes within a trace context.
const (
	// versionLength is the length of the version field with its separator.
	versionLength = len("00-")
	// version00Length is the length of a trace context of version 00.
	version00Length = versionLength + len("-") + 32 + 16 + len("-00")
	// parentIDStart is the offset of the parent id.
	parentIDStart = versionLength + 32 + len("-")
)

type contextKey struct{}

// WithParent returns a context that carries the trace context parent. An invalid parent is ignored,
// as the specification requires, and ctx is returned.
func WithParent(ctx context.Context, parent string) context.Context {
	if !isValid(parent) {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, parent)
}

// Parent returns the trace context that ctx carries, or "" if there is none.
func Parent(ctx context.Context) string {
	parent, _ := ctx.Value(contextKey{}).(string)
	return parent
}

func isValid(parent string) bool {
	if !traceparentPattern.MatchString(parent) || strings.HasPrefix(parent, "ff") {
		return false
	}
	if strings.HasPrefix(parent, "00") && len(parent) != version00Length {
		return false
	}
	traceID, parentID := parent[versionLength:parentIDStart-1], parent[parentIDStart:parentIDStart+16]
	return strings.Trim(traceID, "0") != "" && strings.Trim(parentID, "0") != ""
}
