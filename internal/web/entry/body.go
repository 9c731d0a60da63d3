package entry

import (
	"cmp"
	"net/http"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/web/guard"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

const (
	// defaultMaxBodyBytes limits a request body until a routing document sets the limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultBodyTimeout is used if no limit for the time of a body is set.
	defaultBodyTimeout = 10 * time.Second
	// itemBytes is about what an item of a stage takes in memory while a request waits for its stages.
	itemBytes = 512
	// uncountedItems is the number of items up to which they count as part of the request.
	uncountedItems = 200
	// maxCountedItems bounds the number of items that is reserved; more are refused later.
	maxCountedItems = 10_000
)

// readBody reads the body of a request. The caller releases the holder, if there is one, when the
// body is not needed any more.
func (h *CallerHandler) readBody(w http.ResponseWriter, r *http.Request) (fleet.Body, *memory.Holder, error) {
	limit, owner := h.bodyLimit(r)
	return guard.ReadBody(w, r, guard.BodyLimits{Bytes: limit, Memory: h.Memory, Owner: owner, Timeout: cmp.Or(h.BodyTimeout, defaultBodyTimeout)})
}

// bodyLimit returns the limit of a body and the workspace that it is accounted to. Callers without a
// valid credential are accounted together.
func (h *CallerHandler) bodyLimit(r *http.Request) (limit int64, owner string) {
	limit = defaultMaxBodyBytes
	snapshot := h.View().Snapshot
	if snapshot == nil {
		return limit, ""
	}
	if snapshot.Limits.MaxBodyBytes > 0 {
		limit = snapshot.Limits.MaxBodyBytes
	}
	if workspace := snapshot.Workspace(platform.DecodeCredential(r.Header)); workspace != nil {
		owner = string(workspace.Name)
	}
	return limit, owner
}

func (h *CallerHandler) memoryFullError(cause error, size int64) error {
	return fault.AddRetryAfter(fault.Wrap(api.KindMemoryFull, cause, "the host has no memory for the body"), h.Memory.RetryDelay(size, time.Now()))
}

// reserveItems reserves what the items of a request take in its stages, if they are many.
func (h *CallerHandler) reserveItems(request *fleet.Request) (release func(), err error) {
	items := 0
	for _, count := range request.Items {
		items += min(count, maxCountedItems-items)
	}
	if items <= uncountedItems {
		return func() {}, nil
	}
	size := int64(items * itemBytes)
	holder := h.Memory.Open(h.ownerOf(request), time.Now(), nil)
	err = holder.Grow(size, time.Now())
	if err == nil {
		err = holder.Complete()
	}
	if err != nil {
		holder.Release()
		return nil, h.memoryFullError(err, size)
	}
	return holder.Release, nil
}

func (h *CallerHandler) ownerOf(request *fleet.Request) string {
	if snapshot := h.View().Snapshot; snapshot != nil {
		if workspace := snapshot.Workspace(request.Credential); workspace != nil {
			return string(workspace.Name)
		}
	}
	return ""
}
