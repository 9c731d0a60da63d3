package forward

import (
	"errors"
	"net/http"
	"os"
	"time"
)

var (
	// errCallerWrite is returned if the connection to the caller failed.
	errCallerWrite = errors.New("write to the caller")
	// errUnread is returned if a response was lost because its caller did not read it: the host has cut
	// it off, or its upstream has after the host could not read on.
	errUnread = errors.New("the caller did not read the response")
)

// IsUnread reports whether err means that a response was lost because its caller did not read it.
func IsUnread(err error) bool { return errors.Is(err, errUnread) }

const (
	// writeBytes is the size of the pieces in which a response is written, each of which the caller has
	// WriteStall to read.
	writeBytes = 64 << 10
	// unreadTime is how long a caller has to block the writing of a stream for its upstream to be
	// excused if it breaks off. Upstreams cut off responses that stay unread for some seconds.
	unreadTime = time.Second
)

// writeCaller writes bytes to the caller.
func (c *call) writeCaller(data []byte) error {
	for len(data) > 0 {
		piece := data[:min(len(data), writeBytes)]
		c.extendWrite()
		if _, err := c.writer.Write(piece); err != nil {
			return c.callerWriteError(err)
		}
		data = data[len(piece):]
	}
	return nil
}

// extendWrite sets the time until which the next write has to succeed.
func (c *call) extendWrite() {
	end := c.writeEnd
	if stall := time.Now().Add(c.WriteStall); c.WriteStall > 0 && stall.Before(end) {
		end = stall
	}
	// Writers in tests have no deadline.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(end)
}

// callerWriteError returns the error for a failed write.
func (c *call) callerWriteError(err error) error {
	c.unread = c.unread || errors.Is(err, os.ErrDeadlineExceeded)
	return errors.Join(errCallerWrite, err)
}

// write sends bytes of a stream to the caller at once.
func (s *streamCall) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	started := time.Now()
	if err := s.writeCaller(data); err != nil {
		return err
	}
	if err := http.NewResponseController(s.writer).Flush(); err != nil {
		return s.callerWriteError(err)
	}
	if time.Since(started) >= unreadTime {
		s.blocked = true
	}
	return nil
}
