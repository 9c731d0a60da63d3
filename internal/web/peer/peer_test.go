package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/helper/fault"
	"redwingloft/internal/helper/logging"
	"redwingloft/internal/helper/metric"
	"redwingloft/internal/service/member"
	"redwingloft/pkg/api"
)

const secret = "0123456789abcdef0123456789abcdef"

func serve(t *testing.T, h *Handler) api.Address {
	h.Metrics, h.Log = metric.New(), logging.Discard()
	server := httptest.NewServer(h.Routes())
	t.Cleanup(server.Close)
	return api.Address(strings.TrimPrefix(server.URL, "http://"))
}

// TestMessages guards against client and handler that encode a message differently.
func TestMessages(t *testing.T) {
	digest := strings.Repeat("0a", 32)
	handler := &Handler{
		Secret: secret,
		Exchange: func(m member.Message) member.Message {
			m.Ages = append(m.Ages, 255)
			return m
		},
		Manifest: func() json.RawMessage { return json.RawMessage(`{"revision":7}`) },
		Part: func(requested string) []byte {
			if requested == digest {
				return []byte("part")
			}
			return nil
		},
		Grant: func(_ context.Context, request member.GrantRequest) (member.Grant, error) {
			if request.Workspace != "w" {
				return member.Grant{}, fault.New(api.KindNotFound, "no workspace %s", request.Workspace)
			}
			return member.Grant{Tokens: request.Want / 2}, nil
		},
		Claims: func(_ context.Context, request member.ClaimsRequest) (json.RawMessage, error) {
			return request.Claims, nil
		},
	}
	address, ctx := serve(t, handler), context.Background()
	client := member.NewClient(secret, handler.Metrics)
	response, err := client.Exchange(ctx, address, member.Message{From: member.Member{Host: "h"}, Ages: []byte{0, 3}})
	assert.NilError(t, err)
	assert.DeepEqual(t, response.Ages, []byte{0, 3, 255})
	_, err = client.Exchange(ctx, address, member.Message{})
	assert.Assert(t, fault.Is(err, api.KindBadRequest))
	manifest, err := client.Manifest(ctx, address)
	assert.NilError(t, err)
	assert.Equal(t, string(manifest), `{"revision":7}`)
	part, err := client.Part(ctx, address, digest)
	assert.NilError(t, err)
	assert.Equal(t, string(part), "part")
	_, err = client.Part(ctx, address, strings.Repeat("ff", 32))
	assert.Assert(t, fault.Is(err, api.KindNotFound))
	_, err = client.Part(ctx, address, "..%2Fmanifest")
	assert.Assert(t, fault.Is(err, api.KindBadRequest))
	grant, err := client.Grant(ctx, address, member.GrantRequest{Workspace: "w", Want: 8})
	assert.NilError(t, err)
	assert.Equal(t, grant.Tokens, 4.0)
	_, err = client.Grant(ctx, address, member.GrantRequest{Workspace: "other"})
	assert.Assert(t, fault.Is(err, api.KindNotFound))
	claims, err := client.Claims(ctx, address, member.ClaimsRequest{Shard: 3, Claims: json.RawMessage(`[1]`)})
	assert.NilError(t, err)
	assert.Equal(t, string(claims), `[1]`)
}

// TestSecretAndBounds guards against unauthenticated messages and oversize bodies.
func TestSecretAndBounds(t *testing.T) {
	refuse := func(member.Message) member.Message {
		t.Error("the message was served")
		return member.Message{}
	}
	handler := &Handler{Secret: secret, Exchange: refuse}
	address := serve(t, handler)
	for _, wrong := range []string{"", secret[1:], secret + "0"} {
		_, err := member.NewClient(wrong, nil).Exchange(context.Background(), address, member.Message{From: member.Member{Host: "h"}})
		assert.Assert(t, fault.Is(err, api.KindUnauthorized), "%v", err)
	}
	open := serve(t, &Handler{Exchange: refuse})
	_, err := member.NewClient("", nil).Exchange(context.Background(), open, member.Message{From: member.Member{Host: "h"}})
	assert.Assert(t, fault.Is(err, api.KindUnauthorized), "%v", err)
	request, err := http.NewRequest(http.MethodPost, "http://"+string(address)+member.PathExchange, strings.NewReader(strings.Repeat(" ", member.MaxExchange+1)))
	assert.NilError(t, err)
	request.Header.Set(member.HeaderSecret, secret)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkWire measures an exchange over HTTP on loopback for several numbers of members:
// the time, and the bytes sent in both directions, including headers.
func BenchmarkWire(b *testing.B) {
	for _, count := range []int{7, 50, 350} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			message := member.Message{
				From: member.Member{Host: "host-0123abcd"}, ListVersion: 123456,
				Acks: member.Acks{Base: 4321}, Revision: 4321, Acked: 4321, Complete: 4321,
				Fresh: &member.Freshness{AgeMs: 700, Revision: 4321},
			}
			handler := &Handler{Secret: secret, Exchange: func(m member.Message) member.Message {
				m.Ages = make([]byte, count)
				return m
			}, Metrics: metric.New(), Log: logging.Discard()}
			server := httptest.NewUnstartedServer(handler.Routes())
			total := &atomic.Int64{}
			server.Listener = countingListener{server.Listener, total}
			server.Start()
			defer server.Close()
			client := member.NewClient(secret, handler.Metrics)
			b.ReportAllocs()
			for b.Loop() {
				_, err := client.Exchange(context.Background(), api.Address(server.Listener.Addr().String()), message)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(total.Load())/float64(b.N), "bytes/op")
		})
	}
}

// TestCompressedResponsesAreBounded guards against a small compressed response that expands
// to a very large body, and against one that is returned to the caller still compressed.
func TestCompressedResponsesAreBounded(t *testing.T) {
	digest := strings.Repeat("0a", 32)
	for size, accepted := range map[int]bool{1 << 20: true, member.MaxPart + 1: false} {
		handler := &Handler{Secret: secret, Part: func(string) []byte { return make([]byte, size) }}
		client := member.NewClient(secret, metric.New())
		part, err := client.Part(context.Background(), serve(t, handler), digest)
		assert.Equal(t, err == nil, accepted, "%d bytes: %v", size, err)
		if accepted {
			assert.Equal(t, len(part), size)
			assert.Assert(t, client.Metrics.Counter("member.bytes_received").Count() < int64(size)/100)
		}
	}
}
