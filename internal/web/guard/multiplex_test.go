package guard

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/metric"
	"redwingloft/platform"
)

// startGuarded starts a server with a guard, and returns it with a client.
func startGuarded(t *testing.T, g *Guard, configure func(*httptest.Server)) (*httptest.Server, *http.Client) {
	t.Helper()
	g.Metrics, g.SetRetryAfter = metric.New(), platform.SetRetryAfter
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ConnOf(r) == nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	server.Listener = g.Listener(server.Listener)
	g.Protect(server.Config)
	configure(server)
	t.Cleanup(server.Close)
	return server, server.Client()
}

func get(t *testing.T, client *http.Client, url string) (protocol string) {
	t.Helper()
	response, err := client.Get(url)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	return response.Proto
}

// TestMultiplexedConnectionStaysIdle guards against a connection of HTTP/2 that counts as one without a
// complete request because frames arrive on it, and whose memory grows with them.
func TestMultiplexedConnectionStaysIdle(t *testing.T) {
	for name, configure := range map[string]func(*httptest.Server){
		"with TLS": func(s *httptest.Server) {
			s.EnableHTTP2 = true
			s.StartTLS()
		},
		"without TLS": func(s *httptest.Server) {
			s.Config.Protocols = &http.Protocols{}
			s.Config.Protocols.SetUnencryptedHTTP2(true)
			s.Start()
			protocols := &http.Protocols{}
			protocols.SetUnencryptedHTTP2(true)
			s.Client().Transport = &http.Transport{
				Protocols: protocols, HTTP2: &http.HTTP2Config{SendPingTimeout: 5 * time.Millisecond, PingTimeout: time.Second},
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Guard{MaxConns: 4}
			server, client := startGuarded(t, g, configure)
			assert.Equal(t, get(t, client, server.URL), "HTTP/2.0")
			time.Sleep(100 * time.Millisecond)
			list := g.connections()
			assert.Equal(t, len(list), 1)
			as, _ := list[0].state()
			assert.Equal(t, as, standingIdle)
			assert.Equal(t, list[0].headBytes, int64(0))
			assert.Equal(t, get(t, client, server.URL), "HTTP/2.0")
			assert.Equal(t, g.Open(), 1)
		})
	}
}

// TestConnectionsWithTLSGiveWay guards against connections that are not bounded because they use TLS.
func TestConnectionsWithTLSGiveWay(t *testing.T) {
	g := &Guard{MaxConns: 3}
	server, client := startGuarded(t, g, func(s *httptest.Server) { s.StartTLS() })
	for range 10 {
		c, err := tls.Dial("tcp", server.Listener.Addr().String(), client.Transport.(*http.Transport).TLSClientConfig)
		assert.NilError(t, err)
		defer c.Close()
		assert.Assert(t, g.Open() <= 4)
	}
	assert.Equal(t, get(t, client, server.URL), "HTTP/1.1")
}

// TestRefusalWithTLSIsNoPlainText guards against a response in plain text on a connection that uses TLS.
func TestRefusalWithTLSIsNoPlainText(t *testing.T) {
	release := make(chan struct{})
	g := &Guard{MaxConns: 16, Encrypted: true, Metrics: metric.New(), SetRetryAfter: platform.SetRetryAfter}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	server.Listener = g.Listener(server.Listener)
	g.Protect(server.Config)
	server.StartTLS()
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	for range 16 {
		c, err := tls.Dial("tcp", server.Listener.Addr().String(), server.Client().Transport.(*http.Transport).TLSClientConfig)
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, plainRequest)
		assert.NilError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	data, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "")
}

// TestPrefaceOfOtherProtocolGivesWay guards against connections that begin with the preface of HTTP/2 on a
// listener that does not speak it, which would never give way to others.
func TestPrefaceOfOtherProtocolGivesWay(t *testing.T) {
	address, _ := startTracked(t, &Guard{MaxConns: 2})
	for range 4 {
		dialTracked(t, address, "PRI * HTTP/2.0\r\n")
	}
	assert.Equal(t, dialTracked(t, address, plainRequest).get(t), "answer")
}
