package fleet

import (
	"bytes"
	"errors"
	"io"
)

// Body is the body of a request or response, in segments. It is read without copies, into as much
// memory as it needs.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int64 {
	length := int64(0)
	for _, segment := range b {
		length += int64(len(segment))
	}
	return length
}

// Bytes returns the whole body in one piece.
func (b Body) Bytes() []byte {
	if len(b) == 1 {
		return b[0]
	}
	return bytes.Join(b, nil)
}

// ErrBodyTooLarge is returned for a body that exceeds its limit.
var ErrBodyTooLarge = errors.New("the body exceeds its limit")

// The sizes of segments. They grow with the bytes that have arrived, so that a sender makes the host
// hold little more than it has sent.
const (
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
	// minKnownBytes is the smallest segment of a body whose size is announced, unless it needs less.
	minKnownBytes = 16 << 10
)

// segmentSize returns the size of the next segment of a body of which total bytes have arrived.
// length is the announced size; it is negative if there is none.
func segmentSize(total, length int64) int64 {
	if length >= 0 {
		return min(max(total, minKnownBytes), maxSegmentBytes, length-total)
	}
	return min(max(total/2, minSegmentBytes), maxSegmentBytes)
}

// ReadBody reads a body of at most limit bytes. length is its announced size; it is negative if there
// is none. reserve is called with the size of each segment before the segment is allocated.
func ReadBody(r io.Reader, length, limit int64, reserve func(size int64) error) (Body, error) {
	var body Body
	for total := int64(0); length < 0 || total < length; {
		size := segmentSize(total, length)
		if err := reserve(size); err != nil {
			return nil, err
		}
		segment := make([]byte, size)
		n, err := fill(r, segment)
		if n > 0 {
			body = append(body, segment[:n])
		}
		total += int64(n)
		switch {
		case total > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF && length < 0:
			return body, nil
		case err == io.EOF && total < length:
			return nil, io.ErrUnexpectedEOF
		case err != nil && err != io.EOF:
			return nil, err
		}
	}
	return body, nil
}

// fill reads until the segment is full or r returns an error. io.ReadFull would return the same error
// for the end of a chunked body as for one that is cut off.
func fill(r io.Reader, segment []byte) (n int, err error) {
	for n < len(segment) && err == nil {
		var read int
		read, err = r.Read(segment[n:])
		n += read
	}
	return n, err
}
