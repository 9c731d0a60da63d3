package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// errCutEvent tells that a stream ended within an event.
var errCutEvent = errors.New("the stream ended within an event")

// event is one whole event of a stream with its bytes as they came.
type event struct {
	raw []byte
	// id is empty where the event has none.
	id string
}

// number returns the id as a number.
func (e *event) number() (int64, bool) {
	value, err := strconv.ParseInt(e.id, 10, 64)
	return value, err == nil
}

// eventReader splits a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(body, bufferSize)}
}

// next returns the next whole event. It returns io.EOF at the end of the stream and
// errCutEvent where the stream ended within an event.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.reader.ReadBytes('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEvent {
			return event{}, errTooLong
		}
		if err != nil {
			if err == io.EOF && len(e.raw) > 0 {
				return event{}, errCutEvent
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
	}
}
