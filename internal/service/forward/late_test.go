package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// answerTo returns a sound response for a request id, or without an id if it is empty. All have
// the same length, so that one fits in the place of another.
func answerTo(id, body string) string {
	header := wire.HeaderDigest + ": 1\r\n"
	if id != "" {
		header += wire.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// TestSecondAnswerLate guards against a caller that gets the second copy of the answer to the
// request before it on the same connection, whenever the copy arrives.
func TestSecondAnswerLate(t *testing.T) {
	const pause = 15 * time.Millisecond
	split := func(w *bufio.Writer, text string, at int) {
		_, _ = w.WriteString(text[:at])
		_ = w.Flush()
		time.Sleep(pause)
		_, _ = w.WriteString(text[at:])
		_ = w.Flush()
	}
	// Each way is called for a request on a connection whose previous request had the id
	// before and the second copy of its answer; it writes that and the answer to the present request.
	ways := map[string]func(w *bufio.Writer, second, answer string){
		"before the answer":         func(w *bufio.Writer, second, answer string) { _, _ = w.WriteString(second + answer) },
		"in two parts":              func(w *bufio.Writer, second, answer string) { split(w, second+answer, len(second)/2) },
		"its body apart":            func(w *bufio.Writer, second, answer string) { split(w, second+answer, len(second)-4) },
		"instead of the answer":     func(w *bufio.Writer, second, _ string) { _, _ = w.WriteString(second) },
		"after the answer":          func(w *bufio.Writer, second, answer string) { split(w, answer+second, len(answer)) },
		"after the answer, at once": func(w *bufio.Writer, second, answer string) { _, _ = w.WriteString(answer + second) },
		"after the answer's header": func(w *bufio.Writer, second, answer string) { split(w, answer+second, len(answer)-4) },
	}
	for name, way := range ways {
		for _, withID := range []bool{true, false} {
			for _, kind := range []fleet.Kind{fleet.KindIdempotent, fleet.KindStreaming} {
				t.Run(fmt.Sprintf("%s, id %t, %s", name, withID, kind), func(t *testing.T) {
					t.Parallel()
					var mu sync.Mutex
					// previous has the id of the last request of each connection, by its writer.
					previous := map[*bufio.Writer]string{}
					f := newFixture(t, fleet.Route{Kind: kind, MaxAttempts: 2}, func(w *bufio.Writer, run platform.Request) bool {
						id := run.Header.Get(wire.HeaderRequestID)
						mu.Lock()
						before := previous[w]
						previous[w] = id
						mu.Unlock()
						if before == "" || before == id {
							_, _ = w.WriteString(answerTo(id, "id: 1\ndata: "+id+"\n\n"))
							return true
						}
						copyID := before
						if !withID {
							copyID = ""
						}
						way(w, answerTo(copyID, "id: 1\ndata: "+before+"\n\n"), answerTo(id, "id: 1\ndata: "+id+"\n\n"))
						return true
					})
					for i := range 6 {
						id := fmt.Sprintf("id-%d", i)
						recorder, err := f.serve(t, func(r *fleet.Request) {
							r.ID, r.CallerTimeout = api.RequestID(id), time.Second
							r.Header = http.Header{wire.HeaderRequestID: {id}}
						})
						if i == 0 {
							assert.NilError(t, err)
						}
						if err == nil {
							assert.Equal(t, recorder.Body.String(), "id: 1\ndata: "+id+"\n\n")
						} else {
							assert.Assert(t, !strings.Contains(recorder.Body.String(), "data:"), "%v after %q", err, recorder.Body)
						}
						time.Sleep(time.Duration(rand.IntN(int(2 * pause))))
					}
				})
			}
		}
	}
}

// TestTruncatedAnswers guards against an answer that breaks off and reaches the caller as complete.
func TestTruncatedAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"shorter than its length":       okHead + "Content-Length: 10\r\n\r\nhalf",
		"chunk cut":                     chunkedHead + "a\r\nhalf",
		"chunked without its end":       chunkedHead + "4\r\nhalf\r\n",
		"end of chunks cut":             chunkedHead + "4\r\nhalf\r\n0\r\n",
		"trailer cut":                   chunkedHead + "4\r\nhalf\r\n0\r\nX-Field: v",
		"header cut":                    okHead + "Content-Le",
		"status line cut":               "HTTP/1.1 20",
		"compressed body, length short": okHead + "Content-Encoding: gzip\r\nContent-Length: 40\r\n\r\n\x1f\x8b\x08\x00",
		"HTTP/1.0 with a length":        strings.Replace(okHead, "HTTP/1.1", "HTTP/1.0", 1) + "Content-Length: 10\r\n\r\nhalf",
	} {
		for _, kind := range []fleet.Kind{fleet.KindIdempotent, fleet.KindNonIdempotent, fleet.KindStreaming} {
			t.Run(name+", "+string(kind), func(t *testing.T) {
				f := newFixture(t, fleet.Route{Kind: kind}, func(w *bufio.Writer, run platform.Request) bool {
					_, _ = w.WriteString(strings.ReplaceAll(answer, "ID", run.Header.Get(wire.HeaderRequestID)))
					return false
				})
				recorder, err := f.serve(t, nil)
				assert.Assert(t, err != nil, "%d %q", recorder.Code, recorder.Body)
				assert.Equal(t, len(f.upstreams[0].Requests()), 1)
			})
		}
	}
}

// TestLostAnswerRunsOnce guards against work that is run again after its answer was lost, and
// against a caller that is told that it did not run.
func TestLostAnswerRunsOnce(t *testing.T) {
	for name, loss := range map[string]func(w *bufio.Writer, run platform.Request) bool{
		"closed": func(*bufio.Writer, platform.Request) bool { return false },
		"header only": func(w *bufio.Writer, _ platform.Request) bool {
			_, _ = w.WriteString("HTTP/1.1 200 OK\r\n")
			return false
		},
		"not the protocol": func(w *bufio.Writer, _ platform.Request) bool {
			_, _ = w.WriteString("\x00\x01garbage\r\n\r\n")
			return false
		},
		"503 without the statement": func(w *bufio.Writer, run platform.Request) bool {
			_, _ = w.WriteString(strings.Replace(answerTo(run.Header.Get(wire.HeaderRequestID), "x"), "200 OK", "503 No", 1))
			return true
		},
		"429 without the statement": func(w *bufio.Writer, run platform.Request) bool {
			_, _ = w.WriteString(strings.Replace(answerTo(run.Header.Get(wire.HeaderRequestID), "x"), "200 OK", "429 No", 1))
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fleet.Route{Kind: fleet.KindNonIdempotent, MaxAttempts: 3}, loss, loss, loss)
			recorder, err := f.serve(t, nil)
			assert.Equal(t, f.totalRuns(), 1)
			status := recorder.Code
			if err != nil {
				status = api.Kinds[fault.KindOf(err)].Status
			}
			assert.Assert(t, status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests, "%d, %v", status, err)
			assert.Assert(t, !bytes.Contains(recorder.Body.Bytes(), []byte("whole")))
		})
	}
}
