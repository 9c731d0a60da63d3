package client

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/pkg/api"
)

// TestHeadersWithoutEnd guards against a client that reads the header of a response until the
// server stops.
func TestHeadersWithoutEnd(t *testing.T) {
	const maxWritten = 64 << 20
	for name, text := range map[string]string{"header fields": "X-Field: value\r\n", "header line": "x", "informational": "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			var written atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						_, _ = conn.Read(make([]byte, 4096))
						if name != "informational" {
							_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Long: "))
						}
						chunk := []byte(strings.Repeat(text, 1+4096/len(text)))
						for written.Load() < maxWritten {
							n, err := conn.Write(chunk)
							if written.Add(int64(n)); err != nil {
								return
							}
						}
					}()
				}
			}()
			c := &Client{Hosts: []api.Address{api.Address(listener.Addr().String())}, Workspace: "w", Token: "t", Silence: 2 * time.Second}
			defer c.Close()
			request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String(), http.NoBody)
			assert.NilError(t, err)
			response, err := c.roundTripper().RoundTrip(request)
			if err == nil {
				response.Body.Close()
			}
			assert.Assert(t, err != nil)
			// The rest lies in the buffers of the two sockets.
			assert.Assert(t, written.Load() < 16<<20, "%d bytes were written", written.Load())
		})
	}
}

// TestEventWithoutEnd guards against a client that collects the lines of an event until its
// memory is exhausted.
func TestEventWithoutEnd(t *testing.T) {
	line := []byte(fmt.Sprintf("data: %s\n", strings.Repeat("x", 1<<20)))
	lines := make([][]byte, 0, 2*maxEventBytes>>20)
	for range cap(lines) {
		lines = append(lines, line)
	}
	s := &stream{}
	err := s.read(bytes.NewReader(bytes.Join(lines, nil)))
	assert.Assert(t, errors.Is(err, errEventTooLong), "%v", err)
}
