package forward

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// numbered returns events with the given ids.
func numbered(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: event %d\n\n", id, id)
	}
	return text.String()
}

// TestStreamWithUnevenIDs guards against a stream that is broken off because the ids of its events
// increase by different steps, on its first engine or on the one that continues it.
func TestStreamWithUnevenIDs(t *testing.T) {
	for name, c := range map[string]struct{ first, resumed, want string }{
		"shorter last event":                {first: numbered(3, 6, 9, 11)},
		"longer last event":                 {first: numbered(3, 6, 9, 14)},
		"all different":                     {first: numbered(1, 2, 7, 8, 20)},
		"last event without an id":          {first: numbered(3, 6, 9) + "data: done\n\n"},
		"shorter event after the break":     {numbered(3, 6, 9), numbered(11), numbered(3, 6, 9, 11)},
		"shorter event, then a longer one":  {numbered(3, 6, 9), numbered(10, 13, 19), numbered(3, 6, 9, 10, 13, 19)},
		"step of an earlier event":          {numbered(5, 7, 9), numbered(11, 16), numbered(5, 7, 9, 11, 16)},
		"longer event after repeated ones":  {numbered(3, 6, 9), numbered(3, 6, 9, 14, 15), numbered(3, 6, 9, 14, 15)},
		"last event of the next without id": {numbered(3, 6, 9), numbered(12) + "data: done\n\n", numbered(3, 6, 9, 12) + "data: done\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := serveResumed(t, c.first, c.resumed)
			assert.NilError(t, err)
			if c.want == "" {
				c.want = c.first
			}
			assert.Equal(t, body, c.want)
		})
	}
}

// TestGapBetweenUnevenIDs guards against a resumed stream that lacks events, or has some twice, because
// its ids increase by different steps.
func TestGapBetweenUnevenIDs(t *testing.T) {
	for name, c := range map[string]struct{ first, resumed string }{
		"event skipped":                      {numbered(3, 6, 9), numbered(15)},
		"shorter last event, one skipped":    {numbered(3, 6, 9), numbered(14)},
		"longer than any event before":       {numbered(2, 5, 6, 9), numbered(13)},
		"events of another size repeated":    {numbered(3, 6, 9), numbered(2, 4, 6, 8, 10)},
		"one repeated event of another size": {numbered(3, 6, 9), numbered(8, 11)},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := serveResumed(t, c.first, c.resumed)
			assert.Assert(t, IsAborted(err), "the stream ended as if it were complete: %v", err)
			assert.Equal(t, body, c.first)
		})
	}
}

// serveResumed serves a stream whose first engine sends the given events. If there are more for a resumed
// request, the first engine breaks off. It returns the body that the caller gets.
func serveResumed(t *testing.T, first, resumed string) (string, error) {
	handle := func(w *bufio.Writer, run platform.Request) bool {
		answer := chunked(first)
		switch {
		case run.Header.Get(wire.HeaderLastEvent) != "":
			answer = chunked(resumed)
		case resumed != "":
			answer = strings.TrimSuffix(answer, lastChunk)
		}
		fmt.Fprint(w, strings.ReplaceAll(answer, "ID", run.Header.Get(wire.HeaderRequestID)))
		return false
	}
	f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, handle, handle)
	recorder, err := f.serve(t, nil)
	return recorder.Body.String(), err
}

const lastChunk = "0\r\n\r\n"

// chunked returns a response with a body in one chunk.
func chunked(body string) string {
	return fmt.Sprintf("%s%x\r\n%s\r\n%s", chunkedHead, len(body), body, lastChunk)
}
