package fleet

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
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
		if n > minKnownBytes {
			return errCut
		}
		return nil
	})
	assert.ErrorIs(t, err, errCut)
}

// FuzzReadBody guards against a chunked body that is read otherwise than by the standard library, or that
// counts as complete although its framing is not.
func FuzzReadBody(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\n0\r\n\r\n"), int64(100))
	f.Add([]byte("1\r\nh\r\n1\r\ne\r\n0\r\n\r\n"), int64(1))
	f.Add([]byte("1000\r\n"), int64(5000))
	f.Fuzz(func(t *testing.T, data []byte, limit int64) {
		if limit < 0 || limit > 1<<20 {
			return
		}
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(data)))
		reserved := int64(0)
		body, err := ReadBody(httputil.NewChunkedReader(bytes.NewReader(data)), -1, limit, func(size int64) error {
			reserved += size
			return nil
		})
		switch {
		case err == nil && (wantErr != nil || !bytes.Equal(body.Bytes(), want)):
			t.Fatalf("%q, want %q, %v", body.Bytes(), want, wantErr)
		case err != nil && wantErr == nil && !(errors.Is(err, ErrBodyTooLarge) && int64(len(want)) > limit):
			t.Fatalf("%v for a body of %d bytes with limit %d", err, len(want), limit)
		case reserved > max(2*minSegmentBytes, int64(len(want))*2):
			t.Fatalf("%d bytes for %d", reserved, len(want))
		}
	})
}
