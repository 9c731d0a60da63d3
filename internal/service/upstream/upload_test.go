package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longBytes is the size of a request body that is longer than the buffers of the kernel.
const longBytes = 24 << 20

// TestUnframedResponseDuringUpload guards against a part of a response without a length that counts as the whole
// one because its upstream resets the connection while the request is written, and against the loss of a
// whole one whose upstream closes its side regularly.
func TestUnframedResponseDuringUpload(t *testing.T) {
	for _, exclusive := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("exclusive %t, reset %t", exclusive, reset), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				t.Cleanup(func() { listener.Close() })
				answered, closed := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(closed)
					c, err := listener.Accept()
					if err != nil {
						return
					}
					t.Cleanup(func() { c.Close() })
					_, _ = io.CopyN(io.Discard, c, 1<<10)
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nbody")
					select {
					case <-answered:
					case <-time.After(waitTimeout):
					}
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
						_ = c.Close()
					} else {
						_ = c.(*net.TCPConn).CloseWrite()
					}
				}()
				table := &Table{Host: "self"}
				table.Apply(snapshotOf(listener.Addr().String(), "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"))
				instance := table.All("llm")[0]
				t.Cleanup(instance.pool.closeIdle)
				var data []byte
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				err = (&Sender{}).Do(ctx, Attempt{
					Instance: instance, Exclusive: exclusive,
					Build: func(ctx context.Context, base string) (*http.Request, error) {
						return http.NewRequestWithContext(ctx, http.MethodPost, base+"/run", bytes.NewReader(make([]byte, longBytes)))
					},
					Read: func(_ int, _ http.Header, body io.Reader) (err error) {
						close(answered)
						<-closed
						// The write notices a reset before the read does.
						time.Sleep(100 * time.Millisecond)
						data, err = io.ReadAll(body)
						return err
					},
				})
				if reset {
					assert.Equal(t, ReasonOf(err), ReasonBroken, "%q", data)
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, string(data), "body")
			})
		}
	}
}
