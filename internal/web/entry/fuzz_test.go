package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/service/memory"
	"redwingloft/internal/web/guard"
	wire "redwingloft/platform"
)

// FuzzConnection guards against bytes of a caller's connection that end the process, keep memory, or are
// run as a request that is not in them. Each input is one connection.
func FuzzConnection(f *testing.F) {
	head := "POST /x HTTP/1.1\r\nHost: h\r\n" + wire.HeaderRequestID + ": a\r\n"
	for _, text := range []string{
		head + "Content-Length: 5\r\n\r\nhello",
		head + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\nh\r\n0\r\nTrailer: x\r\n\r\n" + head + "\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nh",
		head + "Content-Length: 99999999999\r\nExpect: 100-continue\r\n\r\n",
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + wire.HeaderItems + ": 9999999999,1\r\n\r\n",
		head + "Content-Length: 5\r\n\r\nhello\r\nPOST /y HTTP/1.1\r\nHost: h\r\n\r\n",
		head + "Content-Length: 5\r\n\r\nhello\r0 /y HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	const limit = 4096
	_, callers, _ := startCallers(f, limit, echo)
	callers.Memory = &memory.Account{Limit: 1 << 20, StallTime: time.Second}
	type received struct {
		target string
		body   []byte
	}
	// The handlers of a connection have ended when it is closed.
	var mu sync.Mutex
	var requests []received
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, holder, err := callers.readBody(w, r)
		if holder != nil {
			defer holder.Release()
		}
		if err != nil {
			callers.writeError(w, r, err)
			guard.DiscardBody(w, r)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, received{r.RequestURI, body.Bytes()})
	}))
	f.Cleanup(server.Close)
	f.Fuzz(func(t *testing.T, data []byte) {
		requests = nil
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, _ = c.Write(data)
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		_, err = io.Copy(io.Discard, c)
		assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open after its end")
		mu.Lock()
		defer mu.Unlock()
		reader := bufio.NewReader(bytes.NewReader(data))
		for _, request := range requests {
			r, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatalf("%q was read, %v", request.target, err)
			}
			body, err := io.ReadAll(r.Body)
			if err != nil || len(body) > limit || r.RequestURI != request.target || !bytes.Equal(body, request.body) {
				t.Fatalf("%q with %q was read, not %q with %q, %v", request.target, request.body, r.RequestURI, body, err)
			}
			if r.Method == http.MethodPost {
				discardLineEnds(reader)
			}
		}
		assert.Equal(t, callers.Memory.Used(), int64(0))
	})
}

// discardLineEnds skips the bytes that net/http ignores after a POST, for clients that send a line end after the
// body (RFC 9112, section 2.2).
func discardLineEnds(r *bufio.Reader) {
	next, _ := r.Peek(4)
	_, _ = r.Discard(len(next) - len(bytes.TrimLeft(next, "\r\n")))
}
