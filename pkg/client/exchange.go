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

// errStalled is the cancellation cause of a request without received data for the stall timeout.
var errStalled = errors.New("the connection stalled")

// outgoingRequest is a request that can be sent to any host.
type outgoingRequest struct {
	method string
	path   string
	body   []byte
	// key is the idempotency key, or empty.
	key string
	id  api.RequestID
	// priority is optional.
	priority api.Priority
}

// failure is the error of one attempt; it determines whether the client may retry.
type failure struct {
	reason RepeatReason
	// sent is true if the host may have received the request.
	sent bool
	// apiError is the error that the host returned, or nil.
	apiError *api.Error
	cause    error
}

func (f *failure) Error() string {
	if f.apiError != nil {
		return f.apiError.Error()
	}
	return fmt.Sprintf("%s: %v", f.reason, f.cause)
}

func (f *failure) Unwrap() error {
	if f.apiError != nil {
		return f.apiError
	}
	return f.cause
}

// attempt sends a request to one host and passes the body of a 200 response to
// read. It cancels the exchange if no data arrives within the stall timeout.
func (c *Client) attempt(ctx context.Context, address api.Address, out outgoingRequest, read func(io.Reader) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := &watchdog{timeout: c.stallTimeout(), cancel: func() { cancel(errStalled) }}
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
	request, err := c.newRequest(httptrace.WithClientTrace(ctx, trace), address, out)
	if err != nil {
		return err
	}
	response, err := c.roundTripper().RoundTrip(request)
	if err != nil {
		return c.connectionError(ctx, err, connected.Load())
	}
	defer response.Body.Close()
	body := &touchReader{reader: response.Body, touch: watch.touch}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, body)
	}
	err = read(body)
	var typed *failure
	if err == nil || errors.As(err, &typed) {
		return err
	}
	return c.connectionError(ctx, err, true)
}

func (c *Client) newRequest(ctx context.Context, address api.Address, out outgoingRequest) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, out.method, c.baseURL(address)+out.path, bytes.NewReader(out.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not retry the request itself; retries are up to this client.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(api.HeaderWorkspace, string(c.Workspace))
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set(api.HeaderRequestID, string(out.id))
	if out.key != "" {
		request.Header.Set(api.HeaderIdempotencyKey, out.key)
	}
	if out.priority != "" {
		request.Header.Set(api.HeaderPriority, string(out.priority))
	}
	if deadline, bounded := ctx.Deadline(); bounded {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(api.HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
	return request, nil
}

// connectionError classifies an exchange that ended without a complete response.
func (c *Client) connectionError(ctx context.Context, err error, connected bool) error {
	reason := RepeatBroken
	var opErr *net.OpError
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		reason, err = RepeatSilent, errStalled
		c.Close() // other idle connections to the host may have stalled as well
	case !connected, errors.As(err, &opErr) && opErr.Op == "dial":
		reason, connected = RepeatUnreachable, false
	}
	return &failure{reason: reason, sent: connected, cause: err}
}

// responseError decodes the error that a host returned.
func responseError(status int, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, 1<<20))
	if err != nil {
		return &failure{reason: RepeatBroken, sent: true, cause: err}
	}
	apiErr := &api.Error{}
	if err := json.Unmarshal(data, apiErr); err != nil || api.Kinds[apiErr.Kind].Status == 0 {
		return &failure{reason: RepeatBroken, sent: true, cause: fmt.Errorf("the host returned status %d without a known error kind", status)}
	}
	return &failure{reason: RepeatRefused, sent: true, apiError: apiErr}
}

// touchReader calls touch after each read that returned data.
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

// watchdog calls cancel if touch is not called within timeout.
type watchdog struct {
	timeout time.Duration
	cancel  func()
	timer   *time.Timer
}

func (w *watchdog) start() { w.timer = time.AfterFunc(w.timeout, w.cancel) }

func (w *watchdog) touch() { w.timer.Reset(w.timeout) }

func (w *watchdog) stop() { w.timer.Stop() }
