package upstream

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestInvalidStatus guards against a response whose status is none, and which reaches the caller of a service or
// counts as that of a healthy upstream.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		t.Run(status, func(t *testing.T) {
			respond := func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				fmt.Fprintf(c, "HTTP/1.1 %s None\r\nContent-Length: 4\r\n\r\nnone", status)
			}
			f := newFakeUpstream(t, respond)
			for _, exclusive := range []bool{false, true} {
				err := f.send(context.Background(), Attempt{AnyStatus: true, Exclusive: exclusive})
				assert.Equal(t, ReasonOf(err), ReasonBroken)
				assert.Assert(t, !IsErrNotSent(err))
			}
			f.Config.Handler = http.HandlerFunc(respond)
			assert.Assert(t, !f.sender.probe(context.Background(), f.instance).healthy)
		})
	}
}
