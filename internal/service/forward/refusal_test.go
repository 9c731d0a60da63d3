package forward

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// refusalTo returns a refusal of a request id, or one without an id if it is empty.
func refusalTo(id string, status int) string {
	header := wire.HeaderNotRun + ": 1\r\n"
	if id != "" {
		header += wire.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d No\r\n%sContent-Length: 4\r\n\r\nfull", status, header)
}

// TestRefusalAgain guards against a caller that is told that its request did not run because the
// upstream sends an earlier refusal once more on a kept connection, before the answer.
func TestRefusalAgain(t *testing.T) {
	const pause = 5 * time.Millisecond
	ways := map[string]func(w *bufio.Writer, refusal string){
		"before the answer": func(w *bufio.Writer, refusal string) { _, _ = w.WriteString(refusal) },
		"in two parts": func(w *bufio.Writer, refusal string) {
			_, _ = w.WriteString(refusal[:20])
			_ = w.Flush()
			time.Sleep(pause)
			_, _ = w.WriteString(refusal[20:])
		},
	}
	for name, way := range ways {
		for _, status := range []int{503, 429, 421, 408, 400} {
			for _, withID := range []bool{true, false} {
				for _, kind := range []fleet.Kind{fleet.KindIdempotent, fleet.KindNonIdempotent, fleet.KindStreaming} {
					t.Run(fmt.Sprintf("%s, %d, id %t, %s", name, status, withID, kind), func(t *testing.T) {
						t.Parallel()
						var mu sync.Mutex
						kept, runs, refusals := map[*bufio.Writer]bool{}, map[string]int{}, map[string]int{}
						f := newFixture(t, fleet.Route{Kind: kind, Resumable: true}, func(w *bufio.Writer, run platform.Request) bool {
							id := run.Header.Get(wire.HeaderRequestID)
							mu.Lock()
							defer mu.Unlock()
							refusal, again := refusalTo(id, status), refusalTo(id, status)
							if !withID {
								again = refusalTo("", status)
							}
							// The upstream is full at first and while it runs a request.
							if refusals[id] == 0 || runs[id] > 0 {
								refusals[id]++
								_, _ = w.WriteString(refusal)
								kept[w] = true
								return true
							}
							if kept[w] {
								way(w, again)
							}
							runs[id]++
							_, _ = w.WriteString(answerTo(id, "id: 1\ndata: "+id+"\n\n"))
							return true
						})
						for i := range 4 {
							id := fmt.Sprint("id-", i)
							recorder, err := f.serve(t, func(r *fleet.Request) {
								r.ID, r.Header = api.RequestID(id), http.Header{wire.HeaderRequestID: {id}}
							})
							assert.NilError(t, err)
							assert.Equal(t, recorder.Body.String(), "id: 1\ndata: "+id+"\n\n")
						}
					})
				}
			}
		}
	}
}

// TestRefusalBetweenRequests guards against a refusal that arrives again between two requests and
// is taken for the answer to the second, which has the id of the first.
func TestRefusalBetweenRequests(t *testing.T) {
	var refusals atomic.Int64
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, func(w *bufio.Writer, run platform.Request) bool {
		id := run.Header.Get(wire.HeaderRequestID)
		if refusals.Add(1) > maxNotRunAttempts {
			return respondOK(w, run)
		}
		fmt.Fprint(w, refusalTo(id, 503))
		_ = w.Flush()
		time.Sleep(5 * time.Millisecond)
		fmt.Fprint(w, refusalTo(id, 503))
		return true
	})
	_, err := f.serve(t, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f.Pool.idle), 0, "a connection that carried a refusal was kept")
	recorder, err := f.serve(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, recorder.Body.String(), "whole")
}

// TestRetryOpensConnection guards against a later attempt that takes an answer to an earlier one
// for its own, because both use the same id and connection.
func TestRetryOpensConnection(t *testing.T) {
	var mu sync.Mutex
	var runs []*bufio.Writer
	f := newFixture(t, fleet.Route{Kind: fleet.KindIdempotent, MaxAttempts: 2}, func(w *bufio.Writer, run platform.Request) bool {
		mu.Lock()
		runs = append(runs, w)
		count := len(runs)
		mu.Unlock()
		if count == 2 {
			platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 500, "failed")
			return true
		}
		return respondOK(w, run)
	})
	for i := range 2 {
		id := fmt.Sprint("id-", i)
		recorder, err := f.serve(t, func(r *fleet.Request) { r.ID, r.Header = api.RequestID(id), http.Header{wire.HeaderRequestID: {id}} })
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(recorder.Body.String(), "whole"))
	}
	assert.Equal(t, len(runs), 3)
	assert.Assert(t, runs[0] == runs[1], "the first attempt of a request did not use the idle connection")
	assert.Assert(t, runs[1] != runs[2], "the retry used the connection of the attempt before")
}

// TestStageCallOpensConnection guards against a stage call, whose response has no id, that takes
// an earlier refusal for its own.
func TestStageCallOpensConnection(t *testing.T) {
	var mu sync.Mutex
	kept := map[*bufio.Writer]bool{}
	f := newFixture(t, fleet.Route{}, func(w *bufio.Writer, run platform.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if run.Path == wire.PathStageFree || kept[w] {
			_, _ = w.WriteString(refusalTo("", 503))
		} else {
			platform.WriteResponse(w, "", 200, "done")
		}
		kept[w] = true
		return true
	})
	for range 3 {
		answer, err := f.Pool.Call(t.Context(), &f.Codec, &f.upstreams[0].Entry, wire.PathStageRun, nil, false)
		assert.NilError(t, err)
		assert.Equal(t, answer.Status, 200)
		_, err = f.Pool.Call(t.Context(), &f.Codec, &f.upstreams[0].Entry, wire.PathStageFree, nil, true)
		assert.NilError(t, err)
		assert.Equal(t, len(f.Pool.idle), 0)
	}
}
