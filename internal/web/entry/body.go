package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/memory"
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
		closeAfterResponse(w)
		return nil, nil, fault.New(api.KindTooLarge, "the body has more than %d bytes", limit)
	}
	if !h.Memory.CanFit(owner, r.ContentLength) {
		closeAfterResponse(w)
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
	conn := connOf(r)
	conn.beginBody()
	holder := h.Memory.Open(owner, time.Now(), func() { _ = control.SetReadDeadline(pastDeadline) })
	reserved := int64(0)
	body, err := fleet.ReadBody(r.Body, r.ContentLength, limit, func(size int64) error {
		reserved += size
		return holder.Grow(size, time.Now())
	})
	if lost := holder.Complete(); lost != nil {
		err = lost
	}
	conn.endBody()
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
	closeAfterResponse(w)
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

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// The rest of a refused body that is read and discarded, so that a caller that reads the response only
// after it has written its request gets it. They are more than maxBodyBytes of the deployments; a
// caller on a link of 40 Mbit/s writes 4 MB in a second.
const (
	maxDiscardedBytes = 5 << 20
	discardTime       = time.Second
)

// closeAfterResponse makes the server close the connection after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// discardBody reads what is left of the body of a refused request, within bounds, after the response.
func discardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	discarded, err := io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
	if err == io.EOF {
		return
	}
	if c := connOf(r); c != nil && err != nil {
		// A body can't be read any more once its reading was interrupted, as is done to take its memory.
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes-discarded)
	}
	// At its limit, MaxBytesReader tells the server to close the sending side first, and to wait before
	// it closes the connection. There is no other way to request this.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	// The server would read on for up to 256 KB.
	_ = control.SetReadDeadline(pastDeadline)
}
