package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// errTruncatedEvent is returned for a stream that ended within an event.
var errTruncatedEvent = errors.New("stream ended within an event")

// event is one complete server-sent event with its raw bytes.
type event struct {
	raw []byte
	// id is empty if the event has none.
	id string
	// progress is true if the event has a field. Comments and empty events have none:
	// an engine can send them for ever without any progress.
	progress bool
}

// numericID returns the id as an integer and reports whether it is one.
func (e *event) numericID() (int64, bool) {
	value, err := strconv.ParseInt(e.id, 10, 64)
	return value, err == nil
}

// eventReader splits a stream into complete events.
type eventReader struct {
	reader *bufio.Reader
	// pool reserves the memory of long events; it may be nil. reserved is what the present one has.
	pool     *Pool
	reserved int64
}

const (
	// uncountedEventBytes is the size up to which an event counts as part of its connection.
	uncountedEventBytes = 16 << 10
	// eventRatio is the memory that is reserved for each byte of a longer one, whose buffer grows by copies.
	eventRatio = 2
	// eventStep is the unit in which memory is reserved.
	eventStep = 64 << 10
)

// reserve reserves memory for an event of the given size.
func (r *eventReader) reserve(size int64) error {
	if r.pool == nil || size <= uncountedEventBytes || eventRatio*size <= r.reserved {
		return nil
	}
	more := (eventRatio*size - r.reserved + eventStep - 1) / eventStep * eventStep
	if !r.pool.reserve(more) {
		return r.pool.bufferLimit()
	}
	r.reserved += more
	return nil
}

// release returns the memory of the last event.
func (r *eventReader) release() {
	if r.reserved > 0 {
		r.pool.release(r.reserved)
		r.reserved = 0
	}
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, bufferSize)}
}

// next returns the next complete event, upon which the last one must not be used any more. It returns io.EOF at the end of the stream and
// errTruncatedEvent if the stream ended within an event.
func (r *eventReader) next() (event, error) {
	r.release()
	var e event
	for {
		line, err := r.readLine(&e)
		if err != nil {
			if err == io.EOF && len(e.raw) > 0 {
				return event{}, errTruncatedEvent
			}
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			e.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		e.progress = e.progress || line[0] != ':'
	}
}

// readLine reads a line and appends it to the raw bytes of an event. A line may be longer
// than the buffer of the reader, but an event at most maxEventBytes.
func (r *eventReader) readLine(e *event) ([]byte, error) {
	start := len(e.raw)
	for {
		part, err := r.reader.ReadSlice('\n')
		if len(e.raw)+len(part) > maxEventBytes {
			return nil, &limitError{limitEvent, maxEventBytes}
		}
		if err := r.reserve(int64(len(e.raw) + len(part))); err != nil {
			return nil, err
		}
		e.raw = append(e.raw, part...)
		if err != bufio.ErrBufferFull {
			return e.raw[start:], err
		}
	}
}
