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

// breaking sends events 1 to 3 and closes the connection, and writes answer to a resumed request.
// ID in the answer stands for the id of the request.
func breaking(answer string) func(w *bufio.Writer, run platform.Request) bool {
	return func(w *bufio.Writer, run platform.Request) bool {
		id := run.Header.Get(wire.HeaderRequestID)
		if run.Header.Get(wire.HeaderLastEvent) == "" {
			platform.WriteEvents(w, id, 1, 3, false, 0)
		} else {
			fmt.Fprint(w, strings.ReplaceAll(answer, "ID", id))
		}
		return false
	}
}

func sized(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func withStatus(status string) string { return strings.Replace(okHead, "200 OK", status, 1) }

const typeJSON = "Content-Type: application/json\r\n"

// TestErrorWithinStream guards against an answer of the next engine, which is no stream that
// follows, in the middle of a stream that broke off, and against its regular end.
func TestErrorWithinStream(t *testing.T) {
	for name, answer := range map[string]string{
		"400":                        sized(withStatus("400 Bad Request"), "no such model\n\n"),
		"400 of the type of events":  sized(withStatus("400 Bad Request")+"Content-Type: text/event-stream\r\n", "id: 4\ndata: error\n\n"),
		"404 without a body":         sized(withStatus("404 Not Found"), ""),
		"410 in chunks":              withStatus("410 Gone") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"500":                        sized(withStatus("500 Failed"), "data: failed\n\n"),
		"503 without the statement":  sized(withStatus("503 Full"), "data: full\n\n"),
		"204":                        withStatus("204 No Content") + "\r\n",
		"206":                        sized(withStatus("206 Partial"), "id: 4\ndata: x\n\n"),
		"302":                        sized(withStatus("302 Found")+"Location: /\r\n", ""),
		"200 of another type":        sized(okHead+typeJSON, "{}\n\n"),
		"200 of another type, empty": sized(okHead+typeJSON, ""),
		"event without an id":        sized(okHead, "data: error\n\n"),
		"id of another form":         sized(okHead, "id: x4\ndata: error\n\n"),
		"another head":               sized(okHead, "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed"),
		"no head":                    "data: error\n\n",
		"closed after the head":      okHead + "\r\n",
		"event cut":                  sized(okHead, "id: 4\ndata: err"),
	} {
		t.Run(name, func(t *testing.T) {
			handle := breaking(answer)
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, handle, handle)
			recorder, err := f.serve(t, nil)
			assert.Equal(t, recorder.Body.String(), events(1, 3))
			assert.Assert(t, IsAborted(err), "the stream ended as if it were complete: %v", err)
			assert.Equal(t, f.totalRuns(), 2)
		})
	}
}

// TestStreamThatBrokeOffIsContinued guards against a stream that fails although the next engine
// goes on with it, also after its last event.
func TestStreamThatBrokeOffIsContinued(t *testing.T) {
	for name, c := range map[string]struct{ answer, more string }{
		"next events":               {sized(okHead, events(4, 6)), events(4, 6)},
		"type with a charset":       {sized(okHead+"Content-Type: Text/Event-Stream; charset=utf-8\r\n", events(4, 4)), events(4, 4)},
		"other weights":             {sized(okHead, "redwingloft-weight-versions: 2\nid: 4\ndata: x\n\n"), "redwingloft-weight-versions: 2\nid: 4\ndata: x\n\n"},
		"all events":                {sized(okHead, events(1, 4)), events(4, 4)},
		"after its last":            {sized(okHead, ""), ""},
		"after its last, in chunks": {chunkedHead + "0\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			handle := breaking(c.answer)
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, handle, handle)
			recorder, err := f.serve(t, nil)
			assert.NilError(t, err)
			assert.Equal(t, recorder.Body.String(), events(1, 3)+c.more)
		})
	}
}

// TestAnswerInsteadOfStream guards against an answer of the first engine that is no stream and is
// changed, or fails, on its way.
func TestAnswerInsteadOfStream(t *testing.T) {
	for name, c := range map[string]struct {
		answer, body string
		status       int
	}{
		"400":                 {sized(withStatus("400 Bad Request")+typeJSON, `{"error":"x"}`), `{"error":"x"}`, 400},
		"404 without a body":  {sized(withStatus("404 Not Found"), ""), "", 404},
		"200 of another type": {sized(okHead+typeJSON, `{"done":true}`), `{"done":true}`, 200},
		"500":                 {sized(withStatus("500 Failed"), "a\n\nb"), "a\n\nb", 500},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming}, func(w *bufio.Writer, run platform.Request) bool {
				fmt.Fprint(w, strings.ReplaceAll(c.answer, "ID", run.Header.Get(wire.HeaderRequestID)))
				return false
			})
			recorder, err := f.serve(t, nil)
			assert.NilError(t, err)
			assert.Equal(t, recorder.Code, c.status)
			assert.Equal(t, recorder.Body.String(), c.body)
			assert.Equal(t, f.Pool.buffered.Load(), int64(0))
		})
	}
}

// TestUnplacedStreamIsNotContinued guards against events that arrive twice because the last one
// before the stream broke off had no id to continue after.
func TestUnplacedStreamIsNotContinued(t *testing.T) {
	for name, last := range map[string]string{"no id": "data: y\n\n", "id of another form": "id: b\ndata: y\n\n"} {
		t.Run(name, func(t *testing.T) {
			body := "id: 1\ndata: x\n\n" + last
			handle := func(w *bufio.Writer, run platform.Request) bool {
				fmt.Fprint(w, strings.ReplaceAll(okHead, "ID", run.Header.Get(wire.HeaderRequestID))+"Content-Length: 500\r\n\r\n"+body)
				return false
			}
			f := newFixture(t, fleet.Route{Kind: fleet.KindStreaming, Resumable: true, MaxAttempts: 2}, handle, handle)
			recorder, err := f.serve(t, nil)
			assert.Assert(t, IsAborted(err))
			assert.Equal(t, recorder.Body.String(), body)
			assert.Equal(t, f.totalRuns(), 1)
		})
	}
}
