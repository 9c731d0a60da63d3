package guard

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
)

// ErrIncompleteBody means that the body did not arrive completely.
var ErrIncompleteBody = errors.New("incomplete request body")

// BodyLimits holds the limits of a request body.
type BodyLimits struct {
	// Bytes is the largest size.
	Bytes int64
	// Memory accounts for the body; nil means no limit.
	Memory *memory.Account
	// Owner is the workspace that the body is accounted to; empty for callers without a valid credential.
	Owner string
	// Copies is the number of bytes that are held for each byte of the body while its request is served;
	// 0 means 1. It is reduced where a single body of Bytes would not fit otherwise.
	Copies int64
	// Timeout limits the time for receiving the body; 0 means no limit besides that of the server.
	Timeout time.Duration
}

// ReadBody reads the body of a request. The caller releases the holder, if there is one, when the body is
// not needed any more. The error is one of the kinds too_large, memory_full, body_stalled and internal, or
// ErrIncompleteBody. After an error the connection closes; its caller gets the response if DiscardBody is
// called.
func ReadBody(w http.ResponseWriter, r *http.Request, limits BodyLimits) (fleet.Body, *memory.Holder, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	if r.ContentLength > limits.Bytes {
		CloseUnread(w, r)
		return nil, nil, tooLarge(limits)
	}
	account, copies := limits.Memory, limits.copies()
	if account == nil {
		account = &memory.Account{}
	}
	if !account.CanFit(limits.Owner, r.ContentLength*copies) {
		CloseUnread(w, r)
		return nil, nil, memoryFull(account, memory.ErrFull, r.ContentLength*copies)
	}
	control := http.NewResponseController(w)
	if limits.Timeout > 0 {
		if err := control.SetReadDeadline(time.Now().Add(limits.Timeout)); err != nil {
			return nil, nil, fault.Wrap(api.KindInternal, err, "set the read timeout of the body")
		}
	}
	holder := account.Open(limits.Owner, time.Now(), func() { Interrupt(control) })
	reserved := int64(0)
	body, err := fleet.ReadBody(r.Body, r.ContentLength, limits.Bytes, func(size int64) error {
		reserved += size * copies
		return holder.Grow(size*copies, time.Now())
	})
	if lost := holder.Complete(); lost != nil {
		err = lost
	}
	if err != nil {
		return nil, holder, bodyError(w, r, err, limits, account, reserved)
	}
	if limits.Timeout > 0 {
		if err := control.SetReadDeadline(time.Time{}); err != nil {
			return nil, holder, fault.Wrap(api.KindInternal, err, "clear the read timeout of the body")
		}
	}
	return body, holder, nil
}

// copies returns the number of bytes to reserve for each byte of the body.
func (l BodyLimits) copies() int64 {
	if l.Memory == nil || l.Memory.Limit <= 0 || l.Bytes <= 0 {
		return 1
	}
	return max(min(l.Copies, l.Memory.Limit/(2*l.Bytes)), 1)
}

// bodyError returns the error for a body that was not read. The request has not been sent anywhere.
func bodyError(w http.ResponseWriter, r *http.Request, err error, limits BodyLimits, account *memory.Account, reserved int64) error {
	switch {
	case errors.Is(err, fleet.ErrBodyTooLarge):
		err = tooLarge(limits)
	case errors.Is(err, memory.ErrFull), errors.Is(err, memory.ErrEvicted):
		err = memoryFull(account, err, reserved)
	case errors.Is(err, memory.ErrStalled), errors.Is(err, os.ErrDeadlineExceeded):
		err = fault.Wrap(api.KindBodyStalled, err, "the body did not arrive in time")
	default:
		return errors.Join(ErrIncompleteBody, err)
	}
	CloseUnread(w, r)
	return err
}

// CloseUnread makes the server close the connection after the response to a request whose body is not read, unless
// there is no body or the connection carries other requests.
func CloseUnread(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		closeAfterResponse(w, r)
	}
}

func tooLarge(limits BodyLimits) error {
	return fault.New(api.KindTooLarge, "the body has more than %d bytes", limits.Bytes)
}

func memoryFull(account *memory.Account, cause error, size int64) error {
	return fault.AddRetryAfter(fault.Wrap(api.KindMemoryFull, cause, "the host has no memory for the body"), account.RetryDelay(size, time.Now()))
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

// Interrupt ends the reading of a request body. Its error means that the connection is closed.
func Interrupt(control *http.ResponseController) { _ = control.SetReadDeadline(pastDeadline) }

// closeAfterResponse makes the server close the connection after the response, unless it carries other requests.
func closeAfterResponse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}

// DiscardBody reads what is left of the body of a refused request, within bounds, after the response.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if r.ProtoMajor != 1 || control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	ConnOf(r).beginDiscard()
	discarded, err := io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
	if err == io.EOF {
		return
	}
	if c := ConnOf(r); c != nil && err != nil {
		// A body can't be read any more once its reading was interrupted, as is done to take its memory.
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes-discarded)
	}
	// At its limit, MaxBytesReader tells the server to close the sending side first, and to wait before
	// it closes the connection. There is no other way to request this.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	// The server would read on for up to 256 KB.
	Interrupt(control)
}
