package guard

import (
	"io"
	"net/http"
	"strings"
	"time"
)

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

// CloseAfterResponse makes the server close the connection after the response.
func CloseAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// DiscardBody reads what is left of the body of a refused request, within bounds, after the response.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
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
