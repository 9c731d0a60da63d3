package entry

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// discardWriter is a response writer that drops the response and accepts deadlines.
type discardWriter struct {
	header http.Header
	status int
}

func (w *discardWriter) Header() http.Header              { return w.header }
func (w *discardWriter) WriteHeader(status int)           { w.status = status }
func (w *discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (w *discardWriter) SetReadDeadline(time.Time) error  { return nil }
func (w *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkRequest measures an ordinary request in the handler, with a stand-in of an upstream on
// loopback, whose work counts too.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{1 << 10, 40 << 10} {
		for _, framing := range []string{"length", "chunked"} {
			b.Run(strconv.Itoa(size>>10)+"KB/"+framing, func(b *testing.B) {
				_, callers, _ := startCallers(b, 0, func(w *bufio.Writer, run platform.Request) bool {
					platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, "booked")
					return true
				})
				body := bytes.Repeat([]byte("x"), size)
				b.ReportAllocs()
				for b.Loop() {
					r, err := http.NewRequest(http.MethodPost, "http://h/x", io.NopCloser(bytes.NewReader(body)))
					assert.NilError(b, err)
					r.RequestURI, r.ContentLength = "/x", -1
					if framing == "length" {
						r.ContentLength = int64(size)
					}
					r.Header.Set(wire.HeaderRequestID, "a")
					w := &discardWriter{header: http.Header{}}
					callers.ServeHTTP(w, r)
					if w.status != http.StatusOK {
						b.Fatalf("status %d", w.status)
					}
				}
			})
		}
	}
}
