package forward

import (
	"bufio"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// TestOnlyGenuineResponsesAnnounceShutdown guards against a shutdown announcement that is missed or forged.
func TestOnlyGenuineResponsesAnnounceShutdown(t *testing.T) {
	for head, genuine := range map[string]bool{
		"200 OK\r\n" + wire.HeaderDigest + ": 1":     true,
		"500 Failed\r\n" + wire.HeaderDigest + ": 1": true,
		"503 Busy\r\n" + wire.HeaderNotRun + ": 1":   true,
		"200 OK": false,
		"421 Misdirected\r\n" + wire.HeaderNotRun + ": 1":         false,
		"200 OK\r\nX: 1\r\n" + wire.HeaderRequestID + ": another": false,
	} {
		announced := 0
		f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, func(w *bufio.Writer, run platform.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 %s\r\n%s: %s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n", head, wire.HeaderRequestID, run.Header.Get(wire.HeaderRequestID))
			return false
		})
		f.Pool.OnLeaving = func(*fleet.Upstream) { announced++ }
		_, _ = f.serve(t, nil)
		assert.Equal(t, announced > 0, genuine, head)
	}
}
