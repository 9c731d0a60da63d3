package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConnectionsAreBounded guards against connections to many upstreams that together use up the descriptors
// of a host, and against a request that counts as sent although there was no connection for it.
func TestConnectionsAreBounded(t *testing.T) {
	const limit = 2
	release := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Wait") != "" {
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	}
	sender := &Sender{}
	sender.SetMaxConns(limit)
	var upstreams []*fakeUpstream
	for range 2 * limit {
		f := newFakeUpstream(t, handler)
		f.sender = sender
		upstreams = append(upstreams, f)
	}
	// Each connection is idle afterwards, and gives way to the next one.
	for _, f := range upstreams {
		assert.NilError(t, f.send(context.Background(), Attempt{}))
		assert.Assert(t, sender.conns.open.Load() <= limit)
	}
	results := make(chan error, limit)
	for _, f := range upstreams[:limit] {
		go func() {
			results <- sender.Do(context.Background(), Attempt{
				Instance: f.instance,
				Build: func(ctx context.Context, base string) (*http.Request, error) {
					request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/run", nil)
					if err == nil {
						request.Header.Set("Wait", "1")
					}
					return request, err
				},
				Read: func(_ int, _ http.Header, body io.Reader) error {
					_, err := io.Copy(io.Discard, body)
					return err
				},
			})
		}()
	}
	for end := time.Now().Add(waitTimeout); upstreams[0].instance.InFlight()+upstreams[1].instance.InFlight() < limit || sender.conns.open.Load() < limit; {
		assert.Assert(t, time.Now().Before(end))
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	err := upstreams[limit].send(context.Background(), Attempt{Exclusive: true})
	assert.Equal(t, ReasonOf(err), ReasonConnections)
	assert.Assert(t, IsErrNotSent(err) && errors.Is(err, errTooManyConns))
	close(release)
	for range limit {
		assert.NilError(t, <-results)
	}
	assert.NilError(t, upstreams[limit].send(context.Background(), Attempt{Exclusive: true}))
}
