package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"
	"time"

	"redwingloft/pkg/api"
)

// errSilent is the cause of a request that was cancelled for want of a sign of life.
var errSilent = errors.New("the connection went silent")

// message is one request of a client.
type message struct {
	method string
	path   string
	body   []byte
	// key is the idempotency key, or empty.
	key string
	id  api.RequestID
	// priority is optional.
	priority api.Priority
}

// failure is the failure of one attempt, with what the client may do next.
type failure struct {
	reason RepeatReason
	// sent is true where the host may have received the request.
	sent bool
	// answer is the error that the host gave, or nil.
	answer *api.Error
	cause  error
}

func (f *failure) Error() string {
	if f.answer != nil {
		return f.answer.Error()
	}
	return fmt.Sprintf("%s: %v", f.reason, f.cause)
}

func (f *failure) Unwrap() error {
	if f.answer != nil {
		return f.answer
	}
	return f.cause
}

// attempt sends one message to one host and passes the body of a 200 answer to
// read. The whole exchange is cancelled when no byte arrives for the silence time.
func (c *Client) attempt(ctx context.Context, address api.Address, m message, read func(io.Reader) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := &watchdog{limit: c.silence(), cancel: func() { cancel(errSilent) }}
	watch.start()
	defer watch.stop()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true); watch.touch() },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			watch.touch()
			return nil
		},
		GotFirstResponseByte: watch.touch,
	}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), address, m)
	if err != nil {
		return err
	}
	response, err := c.roundTripper().RoundTrip(request)
	if err != nil {
		return c.lost(ctx, err, connected.Load())
	}
	defer response.Body.Close()
	body := &touchReader{reader: response.Body, touch: watch.touch}
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, body)
	}
	err = read(body)
	var typed *failure
	if err == nil || errors.As(err, &typed) {
		return err
	}
	return c.lost(ctx, err, true)
}

func (c *Client) request(ctx context.Context, address api.Address, m message) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, m.method, c.base(address)+m.path, bytes.NewReader(m.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http does not repeat the request by itself; this client decides.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(api.HeaderWorkspace, string(c.Workspace))
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set(api.HeaderRequestID, string(m.id))
	if m.key != "" {
		request.Header.Set(api.HeaderIdempotencyKey, m.key)
	}
	if m.priority != "" {
		request.Header.Set(api.HeaderPriority, string(m.priority))
	}
	if end, bounded := ctx.Deadline(); bounded {
		left := max(time.Until(end).Milliseconds(), 1)
		request.Header.Set(api.HeaderDeadline, strconv.FormatInt(left, 10))
	}
	return request, nil
}

// lost classifies an exchange that ended without an answer.
func (c *Client) lost(ctx context.Context, err error, connected bool) error {
	reason := RepeatBroken
	var operation *net.OpError
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		reason, err = RepeatSilent, errSilent
		c.Close() // other idle connections to the host may have gone silent with this one
	case !connected, errors.As(err, &operation) && operation.Op == "dial":
		reason, connected = RepeatUnreachable, false
	}
	return &failure{reason: reason, sent: connected, cause: err}
}

// refusal reads the error that a host gave.
func refusal(status int, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, 1<<20))
	if err != nil {
		return &failure{reason: RepeatBroken, sent: true, cause: err}
	}
	answer := &api.Error{}
	if err := json.Unmarshal(data, answer); err != nil || api.Kinds[answer.Kind].Status == 0 {
		return &failure{reason: RepeatBroken, sent: true, cause: fmt.Errorf("the host answered %d without an error kind", status)}
	}
	return &failure{reason: RepeatRefused, sent: true, answer: answer}
}

// touchReader reports each byte read to the watchdog.
type touchReader struct {
	reader io.Reader
	touch  func()
}

func (t *touchReader) Read(p []byte) (int, error) {
	n, err := t.reader.Read(p)
	if n > 0 {
		t.touch()
	}
	return n, err
}

// watchdog calls cancel when touch was not called for limit.
type watchdog struct {
	limit  time.Duration
	cancel func()
	timer  *time.Timer
}

func (w *watchdog) start() { w.timer = time.AfterFunc(w.limit, w.cancel) }

func (w *watchdog) touch() { w.timer.Reset(w.limit) }

func (w *watchdog) stop() { w.timer.Stop() }
