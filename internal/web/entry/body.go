package entry

import (
	"errors"
	"net/http"
	"os"
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

// errIncompleteBody means that the body did not arrive completely, so no response can be sent.
var errIncompleteBody = errors.New("incomplete request body")

// readBody reads the body of a request. The caller releases the holder, if there is one, when the
// body is not needed any more.
func (h *CallerHandler) readBody(w http.ResponseWriter, r *http.Request) (fleet.Body, *memory.Holder, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	limit, owner := h.bodyLimit(r)
	if r.ContentLength > limit {
		guard.CloseAfterResponse(w)
		return nil, nil, fault.New(api.KindTooLarge, "the body has more than %d bytes", limit)
	}
	if !h.Memory.CanFit(owner, r.ContentLength) {
		guard.CloseAfterResponse(w)
		return nil, nil, h.memoryFullError(memory.ErrFull, r.ContentLength)
	}
	control := http.NewResponseController(w)
	timeout := h.BodyTimeout
	if timeout <= 0 {
		timeout = defaultBodyTimeout
	}
	if err := control.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, nil, fault.Wrap(api.KindInternal, err, "set the read timeout of the body")
	}
	conn := guard.ConnOf(r)
	conn.BeginBody()
	holder := h.Memory.Open(owner, time.Now(), func() { guard.Interrupt(control) })
	reserved := int64(0)
	body, err := fleet.ReadBody(r.Body, r.ContentLength, limit, func(size int64) error {
		reserved += size
		return holder.Grow(size, time.Now())
	})
	if lost := holder.Complete(); lost != nil {
		err = lost
	}
	conn.EndBody()
	if err != nil {
		return nil, holder, h.bodyError(w, err, limit, reserved)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, holder, fault.Wrap(api.KindInternal, err, "clear the read timeout of the body")
	}
	return body, holder, nil
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

// bodyError returns the error for a body that was not read. The request has not been sent anywhere.
func (h *CallerHandler) bodyError(w http.ResponseWriter, err error, limit, reserved int64) error {
	switch {
	case errors.Is(err, fleet.ErrBodyTooLarge):
		err = fault.New(api.KindTooLarge, "the body has more than %d bytes", limit)
	case errors.Is(err, memory.ErrFull), errors.Is(err, memory.ErrEvicted):
		err = h.memoryFullError(err, reserved)
	case errors.Is(err, memory.ErrStalled), errors.Is(err, os.ErrDeadlineExceeded):
		err = fault.Wrap(api.KindBodyStalled, err, "the body did not arrive in time")
	default:
		return errors.Join(errIncompleteBody, err)
	}
	guard.CloseAfterResponse(w)
	return err
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
