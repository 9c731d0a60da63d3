package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/store"
	"redwingloft/internal/helper/dial"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/directory"
	"redwingloft/internal/service/forward"
	"redwingloft/internal/service/memory"
	"redwingloft/pkg/api"
	wire "redwingloft/platform"
	"redwingloft/standin/platform"
)

// newView returns a view with hosts, a public route and an upstream of its service.
func newView(upstream fleet.Upstream, limit int64, hosts ...string) *directory.View {
	state := directory.State{Decoder: directory.Decoder{
		DocumentKey: "document", UpstreamPrefix: "upstream/", HostPrefix: "host/",
		Document: func([]byte) (*fleet.Document, error) {
			return &fleet.Document{Revision: 1, Limits: fleet.Limits{MaxBodyBytes: limit}, Routes: []fleet.Route{{
				Host: "h", PathPrefix: "/", Kind: fleet.KindNonIdempotent, Services: []fleet.WeightedService{{Service: "s"}}, MaxAttempts: 1, Public: true,
			}}}, nil
		},
		Upstream: func(string, []byte) (*fleet.Upstream, error) { return &upstream, nil },
	}}
	entries := []store.Entry{{Key: "document", Version: 1}, {Key: "upstream/u", Version: 2}}
	for i, host := range hosts {
		entries = append(entries, store.Entry{Key: "host/" + host, Version: store.Version(i + 3), Value: []byte(host)})
	}
	state.Replace(entries, 50, time.Now(), time.Time{})
	return state.View()
}

func startCallers(t testing.TB, limit int64, handle func(*bufio.Writer, platform.Request) bool) (*platform.Upstream, *CallerHandler, *httptest.Server) {
	t.Helper()
	upstream := &platform.Upstream{Handle: handle, Entry: fleet.Upstream{ID: "u", Service: "s", State: fleet.StateReady, Slots: 1}}
	assert.NilError(t, upstream.Start())
	t.Cleanup(upstream.Close)
	view := newView(upstream.Entry, limit)
	get := func() *directory.View { return view }
	callers := &CallerHandler{
		View: get, Log: logging.Discard(), Metrics: metric.New(), Memory: &memory.Account{Limit: 64 << 20, StallTime: time.Second}, Closing: func() bool { return false },
		Service: &forward.Service{
			View: get, Pool: &forward.Pool{Dial: dial.New(time.Second)}, Health: &forward.HealthTable{}, Log: logging.Discard(), Metrics: metric.New(),
			Codec:  forward.Codec{WriteRequestHeader: wire.WriteRequestHeader, DecodeReply: wire.DecodeReply, CopyResponseHeader: wire.CopyResponseHeader, WriteInternalRequest: wire.WriteInternalRequest},
			Budget: &forward.Budget{Ratio: 1, Slack: 10, Window: time.Second},
		},
	}
	server := httptest.NewServer(callers)
	t.Cleanup(server.Close)
	return upstream, callers, server
}

func echo(w *bufio.Writer, run platform.Request) bool {
	platform.WriteResponse(w, run.Header.Get(wire.HeaderRequestID), 200, string(run.Body))
	return true
}

// sendRaw sends bytes on a new connection and returns the response.
func sendRaw(t *testing.T, server *httptest.Server, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	data, err := io.ReadAll(c)
	assert.NilError(t, err)
	return string(data)
}

// TestContentLengthAndChunkedBodies guards against a body, with a Content-Length or chunked, that is modified on its way to the upstream.
func TestContentLengthAndChunkedBodies(t *testing.T) {
	_, _, server := startCallers(t, 0, echo)
	head := "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + wire.HeaderRequestID + ": "
	response := sendRaw(t, server, head+"a\r\nContent-Length: 5\r\n\r\nhello")
	assert.Assert(t, strings.HasSuffix(response, "\r\n\r\nhello"), response)
	response = sendRaw(t, server, head+"b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")
	assert.Assert(t, strings.HasSuffix(response, "\r\n\r\nhello"), response)
}

// TestSmuggledRequest guards against a second request inside a body that is run as a separate request.
func TestSmuggledRequest(t *testing.T) {
	upstream, _, server := startCallers(t, 0, echo)
	inner := "POST /inner HTTP/1.1\r\nHost: h\r\n" + wire.HeaderRequestID + ": forged\r\nContent-Length: 0\r\n\r\n"
	sendRaw(t, server, fmt.Sprintf("POST /outer HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s: a\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderRequestID, len(inner), inner))
	sendRaw(t, server, "POST /both HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+wire.HeaderRequestID+": b\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+inner)
	for _, run := range upstream.Requests() {
		assert.Assert(t, run.Path != "/inner")
	}
}

// TestBodyLimits guards against a body over the limit that is sent to an upstream, and a truncated one that is run.
func TestBodyLimits(t *testing.T) {
	upstream, _, server := startCallers(t, 10, echo)
	head := "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + wire.HeaderRequestID + ": a\r\n"
	assert.Assert(t, strings.Contains(sendRaw(t, server, head+"Content-Length: 11\r\n\r\nhello world"), "413"))
	assert.Assert(t, strings.Contains(sendRaw(t, server, head+"Transfer-Encoding: chunked\r\n\r\nb\r\nhello world\r\n0\r\n\r\n"), "413"))
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(c, head+"Content-Length: 9\r\n\r\nhell")
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(upstream.Requests()), 0)
}

// TestAbortedStreamIsNotComplete guards against an interrupted stream that looks complete to the caller.
func TestAbortedStreamIsNotComplete(t *testing.T) {
	upstream, callers, server := startCallers(t, 0, func(w *bufio.Writer, run platform.Request) bool {
		platform.WriteEvents(w, run.Header.Get(wire.HeaderRequestID), 1, 2, false, 0)
		return false
	})
	view := newView(upstream.Entry, 0)
	route := view.Snapshot.Match("h", "/x")
	route.Kind = fleet.KindStreaming
	callers.Service.View = func() *directory.View { return view }
	request, err := http.NewRequest(http.MethodPost, server.URL+"/x", nil)
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set(wire.HeaderRequestID, "a")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestAddressList guards against a list with draining hosts, and one that is empty although this host is
// ready, or still accepts requests while no other does.
func TestAddressList(t *testing.T) {
	host := func(id, centre string, draining bool) string {
		return fmt.Sprintf(`{"id":%q,"data_centre":%q,"caller":%q,"draining":%t}`, id, centre, id, draining)
	}
	view := newView(fleet.Upstream{}, 0, host("far:1", "b", false), host("near:1", "a", false), host("gone:1", "a", true))
	assert.DeepEqual(t, AddressesFor(view, "a", "near:1", true), []api.Address{"near:1", "far:1"})
	assert.DeepEqual(t, AddressesFor(view, "a", "near:1", false), []api.Address{"far:1"})
	assert.DeepEqual(t, AddressesFor(&directory.View{}, "a", "self:1", true), []api.Address{"self:1"})

	d := &DirectoryHandler{View: func() *directory.View { return view }, Self: "near:1", AddressValidity: 1500 * time.Millisecond, Ready: func() error { return nil }}
	recorder := httptest.NewRecorder()
	d.Addresses(recorder, httptest.NewRequest(http.MethodGet, wire.PathAddresses+"?name=h&zone=b&region=r", nil))
	assert.Equal(t, recorder.Body.String(), `{"addresses":["far:1","near:1"],"ttlS":1.5}`)
	d.Ready = func() error { return context.Canceled }
	// While no host is ready, a draining one that still accepts requests lists itself.
	for accepts, status := range map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable} {
		last := *d
		last.View, last.Accepts = func() *directory.View { return &directory.View{} }, func() bool { return accepts }
		recorder = httptest.NewRecorder()
		last.Addresses(recorder, httptest.NewRequest(http.MethodGet, wire.PathAddresses+"?name=h&zone=a&region=r", nil))
		assert.Equal(t, recorder.Code, status)
	}
	recorder = httptest.NewRecorder()
	d.Readiness(recorder, httptest.NewRequest(http.MethodGet, wire.PathReadiness, nil))
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
}

// TestBodyOfLookUpIsNotAwaited guards against look-ups and readiness checks whose bodies arrive slowly, or never,
// and whose connections are open until then.
func TestBodyOfLookUpIsNotAwaited(t *testing.T) {
	view := newView(fleet.Upstream{}, 0)
	d := &DirectoryHandler{View: func() *directory.View { return view }, Self: "self:1", AddressValidity: time.Second, Ready: func() error { return nil }}
	for path, handle := range map[string]http.HandlerFunc{wire.PathAddresses: d.Addresses, wire.PathReadiness: d.Readiness} {
		server := httptest.NewServer(handle)
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "GET %s?name=h&zone=a&region=r HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", path)
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err, path)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Assert(t, response.Close)
		c.Close()
		server.Close()
	}
}
