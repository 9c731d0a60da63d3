package platform

import (
	"bufio"
	"strings"
	"sync/atomic"

	wire "redwingloft/platform"
)

// Part names the part of a response in which an endless response does not end.
type Part string

// The parts of a response.
const (
	PartHead    Part = "head"
	PartBody    Part = "body"
	PartSkipped Part = "skipped body"
	PartEvent   Part = "event"
	// PartFraming is chunk extensions and trailers, which the HTTP library limits by itself.
	PartFraming Part = "framing"
)

// Endless is a response without an end: a start, then a text that is repeated.
type Endless struct {
	Name        string
	Start, Text string
	Part        Part
	// Stream is true if the response fits a request for an event stream.
	Stream bool
}

// requestIDMark stands for the id of the request in the start of an endless response.
const requestIDMark = "REQUEST-ID"

// Starts of responses. EndlessHead is a status line with the fields of a sound response.
const (
	EndlessHead   = "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": " + requestIDMark + "\r\n" + wire.HeaderDigest + ": 1\r\n"
	endlessChunks = EndlessHead + "Transfer-Encoding: chunked\r\n\r\n"
	endlessEvents = EndlessHead + "Content-Type: text/event-stream\r\n\r\n"
)

// EndlessResponses lists the known kinds of responses without an end.
var EndlessResponses = []Endless{
	{"status line", "HTTP/1.1 200 ", "x", PartHead, false},
	{"header line", EndlessHead + "X-Long: ", "x", PartHead, false},
	{"header fields", EndlessHead, "X-Field: value\r\n", PartHead, false},
	{"informational", "", "HTTP/1.1 100 Continue\r\n\r\n", PartHead, false},
	{"early hints", "HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n", PartHead, false},
	{"no protocol", "", "x", PartHead, false},
	{"body", EndlessHead + "\r\n", "x", PartBody, false},
	{"chunks", endlessChunks, "1\r\nx\r\n", PartBody, false},
	{"chunk extension", endlessChunks + "1;", "x", PartFraming, false},
	{"trailer", endlessChunks + "1\r\nx\r\n0\r\n", "X-Field: value\r\n", PartFraming, false},
	{"skipped response", strings.ReplaceAll(EndlessHead, requestIDMark, "other") + "\r\n", "x", PartSkipped, false},
	{"head of a stream", EndlessHead + "X-Long: ", "x", PartHead, true},
	{"event line", endlessEvents + "data: ", "x", PartEvent, true},
	{"event of many lines", endlessEvents, "data: x\n", PartEvent, true},
	{"comment line", endlessEvents + ":", "x", PartEvent, true},
	{"comments", endlessEvents, ": x\n\n", PartEvent, true},
	{"empty events", endlessEvents, "\n", PartEvent, true},
	{"error body of a stream", strings.Replace(EndlessHead, "200 OK", "500 No", 1) + "\r\n", "x", PartBody, true},
}

// Opening returns the start of the response to a request.
func (e *Endless) Opening(request Request) string {
	return strings.ReplaceAll(e.Start, requestIDMark, request.Header.Get(wire.HeaderRequestID))
}

// Handle writes the response until the caller closes the connection or maxBytes are written,
// and adds the bytes to written.
func (e *Endless) Handle(w *bufio.Writer, request Request, maxBytes int64, written *atomic.Int64) (keep bool) {
	n, err := w.WriteString(e.Opening(request))
	total := written.Add(int64(n))
	chunk := strings.Repeat(e.Text, max(1, bufferBytes/len(e.Text)))
	for err == nil && total < maxBytes {
		n, err = w.WriteString(chunk)
		total = written.Add(int64(n))
	}
	return false
}

// bufferBytes is about the number of bytes that are written at a time.
const bufferBytes = 4 << 10
