package forward

import (
	"bufio"
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// TestInvalidStatus guards against a response whose status is none, and which reaches the caller or closes
// its connection.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "+42"} {
		respond := func(w *bufio.Writer, run platform.Request) bool {
			head := strings.ReplaceAll(okHead, "ID", run.Header.Get(wire.HeaderRequestID))
			fmt.Fprint(w, sized(strings.Replace(head, "200 OK", status+" None", 1), "none"))
			return false
		}
		for _, kind := range []fleet.Kind{fleet.KindIdempotent, fleet.KindNonIdempotent, fleet.KindStreaming} {
			t.Run(status+" "+string(kind), func(t *testing.T) {
				f := newFixture(t, fleet.Route{Kind: kind}, respond)
				recorder, err := f.serve(t, nil)
				assert.Equal(t, fault.KindOf(err), api.KindStageFailed)
				assert.Equal(t, recorder.Body.String(), "")
			})
		}
		t.Run(status+" to an internal request", func(t *testing.T) {
			f := newFixture(t, fleet.Route{}, respond)
			_, err := f.Pool.Call(context.Background(), &f.Codec, &f.upstreams[0].Entry, "/-/work", []byte("{}"), false)
			assert.Assert(t, err != nil)
		})
	}
}
