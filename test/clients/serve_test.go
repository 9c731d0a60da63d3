package clients

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/service/member"
	"redwingloft/pkg/api"
	"redwingloft/standin/engine"
	"redwingloft/standin/site"
)

// servingHost is a host of the serve command in an example deployment.
type servingHost struct {
	*process
	*site.Host
}

const (
	workspace    = "port-of-spain"
	credential   = workspace + "-token-for-local-use-only"
	pipelinePath = api.PathPipelines + "visit-plan/run"
	// ordinaryInput is the input of the ordinary request.
	ordinaryInput = "check the gate"
)

func startServe(t *testing.T) *servingHost {
	t.Helper()
	data, err := os.ReadFile("../../deployments/greenhand/document.json")
	assert.NilError(t, err)
	doc, err := document.Parse(data)
	assert.NilError(t, err)
	doc.Limits.BodyBytes = maxBodyBytes
	s, err := site.Start(site.Options{
		Binaries: binaries, Document: doc, Hosts: 1, Folder: t.TempDir(),
		Settings: map[string][]string{"host": {fmt.Sprint("memory_limit = ", memoryMegabytes), fmt.Sprint("descriptor_limit = ", maxDescriptors)}},
	})
	assert.NilError(t, err)
	h := &servingHost{Host: s.Hosts[0]}
	exited := make(chan struct{})
	h.process = &process{
		pid: h.PID(), exited: exited, memoryLimit: memoryMegabytes, ordinary: h.newOrdinary, isWhole: isWholeAnswer,
		listeners: []string{h.CallerAddress, h.PeerAddress, h.OperatorAddress, h.AdminAddress},
	}
	go func() {
		// The process is killed at the end of the test.
		_ = h.Wait(time.Hour)
		close(exited)
	}()
	go h.watch()
	t.Cleanup(func() {
		assert.NilError(t, s.Stop())
		if t.Failed() {
			printLog(t, h.Log)
		}
	})
	return h
}

// isWholeAnswer reports whether a body is the whole answer of the stand-ins to the ordinary request.
func isWholeAnswer(body []byte) bool {
	var answer api.RunAnswer
	return json.Unmarshal(body, &answer) == nil && answer.Text == engine.Text(ordinaryInput, answer.Tokens) && answer.Tokens > 0
}

// newOrdinary returns a small request that a caller may send.
func (h *servingHost) newOrdinary() (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.CallerAddress+pipelinePath, strings.NewReader(`{"input":"`+ordinaryInput+`"}`))
	if err != nil {
		return nil, err
	}
	request.Header.Set(api.HeaderWorkspace, workspace)
	request.Header.Set("Authorization", "Bearer "+credential)
	return request, nil
}

// serveHead returns the header of a request of a workspace without its framing.
func serveHead(path, workspace string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: %s\r\n", path, credential, api.HeaderWorkspace, workspace)
}

// jsonBody returns a whole request body of a size.
func jsonBody(size int) string {
	start, end := `{"input":"`, `"}`
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}

// TestServeBodiesOneByteShort guards against bodies that never end and hold the memory of a host.
func TestServeBodiesOneByteShort(t *testing.T) {
	for name, workspaceOf := range map[string]func(i int) string{
		"of a workspace":             func(int) string { return workspace },
		"from names of no workspace": func(i int) string { return fmt.Sprint("unknown-", i) },
	} {
		t.Run(name, func(t *testing.T) {
			h := startServe(t)
			body := jsonBody(maxBodyBytes)
			run(t, h.CallerAddress, crowd, func(i int, c net.Conn) {
				w := bufio.NewWriterSize(c, 64<<10)
				if i%2 == 0 {
					_, _ = w.WriteString(serveHead(pipelinePath, workspaceOf(i)) + chunked)
					writeChunks(w, maxBodyBytes-1, func() int { return 64 << 10 })
				} else {
					_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", serveHead(pipelinePath, workspaceOf(i)), maxBodyBytes, body[:maxBodyBytes-1])
				}
				_ = w.Flush()
				time.Sleep(time.Second)
			})
			h.check(t)
		})
	}
}

// TestServeWholeBodies guards against copies of bodies that are not accounted for.
func TestServeWholeBodies(t *testing.T) {
	h := startServe(t)
	body := jsonBody(maxBodyBytes)
	run(t, h.CallerAddress, senders, func(_ int, c net.Conn) {
		_, _ = fmt.Fprintf(c, "%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", serveHead(pipelinePath, workspace), len(body), body)
		_, _ = io.Copy(io.Discard, c)
	})
	h.check(t)
}

// TestServeSingleLargeBody guards against a limit that a single request within the limits meets.
func TestServeSingleLargeBody(t *testing.T) {
	h := startServe(t)
	request, err := h.newOrdinary()
	assert.NilError(t, err)
	body := jsonBody(maxBodyBytes)
	request.URL.Path, request.Body, request.ContentLength = api.PathServices+"bookings/book", io.NopCloser(strings.NewReader(body)), int64(len(body))
	key, err := uuid.NewV7()
	assert.NilError(t, err)
	request.Header.Set(api.HeaderIdempotencyKey, key.String())
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	h.check(t)
}

// TestServeKinds guards against a host that collects or reads without end what does not belong to a
// request within the limits.
func TestServeKinds(t *testing.T) {
	for name, behave := range kinds {
		t.Run(name, func(t *testing.T) {
			h := startServe(t)
			run(t, h.CallerAddress, crowd, behave(serveHead(pipelinePath, workspace)))
			h.check(t)
		})
	}
}

// TestServeKindsOnOtherListeners is the same for the other listeners, with clients of all kinds at once.
func TestServeKindsOnOtherListeners(t *testing.T) {
	for name, listener := range map[string]struct {
		address func(*servingHost) string
		path    string
	}{
		"console":  {func(h *servingHost) string { return h.OperatorAddress }, "/sign-in"},
		"operator": {func(h *servingHost) string { return h.OperatorAddress }, "/operator/v1/config"},
		"peer":     {func(h *servingHost) string { return h.PeerAddress }, member.PathExchange},
		"admin":    {func(h *servingHost) string { return h.AdminAddress }, "/metrics"},
	} {
		t.Run(name, func(t *testing.T) {
			h := startServe(t)
			run(t, listener.address(h), crowd, allKinds(serveHead(listener.path, workspace)))
			h.check(t)
			checkListener(t, listener.address(h), listener.path)
		})
	}
}

// TestServeEndlessForms guards against forms without end before an operator has signed in.
func TestServeEndlessForms(t *testing.T) {
	h := startServe(t)
	start := serveHead("/sign-in", workspace) + "Content-Type: application/x-www-form-urlencoded\r\n" + chunked
	run(t, h.OperatorAddress, crowd, flood(start, "10\r\nname=0123456789&\r\n"))
	h.check(t)
}

// TestServeSilentConnections guards against a listener without a bound of its connections.
func TestServeSilentConnections(t *testing.T) {
	for name, address := range map[string]func(*servingHost) string{
		"callers": func(h *servingHost) string { return h.CallerAddress },
		"console": func(h *servingHost) string { return h.OperatorAddress },
		"peer":    func(h *servingHost) string { return h.PeerAddress },
		"admin":   func(h *servingHost) string { return h.AdminAddress },
	} {
		t.Run(name, func(t *testing.T) {
			h := startServe(t)
			run(t, address(h), crowd, silent)
			h.check(t)
		})
	}
}

// TestServeHeadsThatStopShort guards against request heads that are never complete.
func TestServeHeadsThatStopShort(t *testing.T) {
	h := startServe(t)
	run(t, h.CallerAddress, crowd, headThatStopsShort(serveHead(pipelinePath, workspace)))
	h.check(t)
}

// TestServeUnreadPipelines guards against connections on which requests are sent without end and no
// response is read. They hold their places and keep new callers out.
func TestServeUnreadPipelines(t *testing.T) {
	h := startServe(t)
	const other, body = "tobago", `{"input":"check the gate"}`
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", strings.ReplaceAll(serveHead(pipelinePath, other), workspace, other), len(body), body)
	run(t, h.CallerAddress, crowd, pipeline(request))
	h.check(t)
}
