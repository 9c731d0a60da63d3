package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// beginAnswer reads the body of a request and writes the head of a successful answer in chunks.
func beginAnswer(c net.Conn, q *http.Request, contentType string) error {
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return err
	}
	id := q.Header.Get(headerID)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s.%s\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerID, id, headerSeal, id, contentType)
	return err
}

// writeChunk writes a part of an answer, and the end of the answer if the part is empty.
func writeChunk(c net.Conn, part string) error {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
	return err
}

// answerPlain answers a request that is not a stream.
func answerPlain(c net.Conn, q *http.Request) bool {
	if beginAnswer(c, q, "text/plain") != nil || writeChunk(c, "found") != nil {
		return false
	}
	return writeChunk(c, "") == nil
}

// streamRun is the run of a stream at a worker.
type streamRun struct {
	// ids are the numbers of the events, of the given size, one after each gap.
	ids  []int
	size int
	gap  time.Duration
}

// answer writes the events of a run. It reports whether all were written.
func (s *streamRun) answer(r *record, c net.Conn, q *http.Request) bool {
	id := q.Header.Get(headerID)
	r.printf("worker: %s runs, it has %s ms", id, q.Header.Get(headerWaiting))
	if beginAnswer(c, q, "text/event-stream") != nil {
		return false
	}
	for i, number := range s.ids {
		if err := writeChunk(c, fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", s.size))); err != nil {
			r.printf("worker: the channel of %s ended at event %d of %d: %v", id, i+1, len(s.ids), err)
			return false
		}
		time.Sleep(s.gap)
	}
	if writeChunk(c, "") != nil {
		return false
	}
	r.printf("worker: %s ran to its end, %d events", id, len(s.ids))
	return true
}
