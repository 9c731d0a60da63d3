// Package tracing carries the W3C trace context of a request, so that its
// attempts at upstreams belong to the caller's trace.
package tracing

import (
	"context"
	"regexp"
	"strings"
)

// Header is the name of the header that carries the trace context.
const Header = "traceparent"

// valid matches a trace context: version, trace id, parent id and flags. Versions
// after 00 may have further fields.
var valid = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}(-[\x21-\x7e]{1,200})?$`)

const (
	// versionSize is the size of the version field with its separator.
	versionSize = len("00-")
	// size is the size of a trace context of version 00.
	size = versionSize + len("-") + 32 + 16 + len("-00")
	// parentStart is the position of the parent id.
	parentStart = versionSize + 32 + len("-")
)

type key struct{}

// With returns a context that carries parent, or ctx where parent is not valid: the
// specification asks receivers to ignore such a header.
func With(ctx context.Context, parent string) context.Context {
	if !isValid(parent) {
		return ctx
	}
	return context.WithValue(ctx, key{}, parent)
}

// Parent returns the trace context that ctx carries, or "".
func Parent(ctx context.Context) string {
	parent, _ := ctx.Value(key{}).(string)
	return parent
}

func isValid(parent string) bool {
	if !valid.MatchString(parent) || strings.HasPrefix(parent, "ff") {
		return false
	}
	if strings.HasPrefix(parent, "00") && len(parent) != size {
		return false
	}
	traceID, parentID := parent[versionSize:parentStart-1], parent[parentStart:parentStart+16]
	return strings.Trim(traceID, "0") != "" && strings.Trim(parentID, "0") != ""
}
