package fleet

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestReadBody guards against a body that is changed, that is read into much more memory than it
// needs, or that counts as complete although it is cut off.
func TestReadBody(t *testing.T) {
	data := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	errCut := errors.New("cut")
	for _, size := range []int{0, 1, minSegmentBytes, minSegmentBytes + 1, len(data)} {
		for _, length := range []int64{-1, int64(size)} {
			reserved := int64(0)
			reserve := func(n int64) error {
				reserved += n
				return nil
			}
			body, err := ReadBody(iotest.HalfReader(bytes.NewReader(data[:size])), length, int64(size), reserve)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(body.Bytes(), data[:size]), "%d bytes", size)
			assert.Equal(t, body.Len(), int64(size))
			assert.Assert(t, length < 0 || reserved == length)
			assert.Assert(t, reserved <= max(int64(size)*3/2, 2*minSegmentBytes), "%d bytes for %d", reserved, size)
			if size == 0 {
				continue
			}
			_, err = ReadBody(bytes.NewReader(data[:size]), -1, int64(size)-1, reserve)
			assert.ErrorIs(t, err, ErrBodyTooLarge)
			_, err = ReadBody(bytes.NewReader(data[:size-1]), int64(size), int64(size), reserve)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			for _, cut := range []error{errCut, io.ErrUnexpectedEOF} {
				_, err = ReadBody(io.MultiReader(bytes.NewReader(data[:size]), iotest.ErrReader(cut)), -1, int64(size), reserve)
				assert.ErrorIs(t, err, cut)
			}
		}
	}
	_, err := ReadBody(bytes.NewReader(data), int64(len(data)), int64(len(data)), func(n int64) error {
		if n > minSegmentBytes {
			return errCut
		}
		return nil
	})
	assert.ErrorIs(t, err, errCut)
}
