// Package peer is the HTTP client for messages between entry hosts.
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// maxResponseBytes limits the response body of another host.
const maxResponseBytes = 1 << 20

// peerError is the error of a failed call to another host. The call may be retried at a different host.
type peerError struct{ cause error }

func (e *peerError) Error() string { return fmt.Sprintf("call to the other host failed: %v", e.cause) }

func (e *peerError) Unwrap() error { return e.cause }

// IsPeerError reports whether the other host could not be reached or returned no valid response.
func IsPeerError(err error) bool {
	var failed *peerError
	return errors.As(err, &failed)
}

// IsConnectionReset reports whether the connection to the other host was closed during a call.
func IsConnectionReset(err error) bool {
	return IsPeerError(err) && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
}

// send sends a message and returns the response; any status other than 200 is an error.
func send(ctx context.Context, client *http.Client, to api.Address, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "encode the message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "create the request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, &peerError{err}
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &peerError{fmt.Errorf("status %d", response.StatusCode)}
	}
	return response, nil
}

// Stream sends a message and calls next with each value of the response until next
// returns true. A response that ends before that is a failure.
func Stream[T any](ctx context.Context, client *http.Client, to api.Address, path string, message any, next func(*T) (last bool)) error {
	response, err := send(ctx, client, to, path, message)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	for {
		var value T
		if err := decoder.Decode(&value); err != nil {
			return &peerError{err}
		}
		if next(&value) {
			return nil
		}
	}
}

// Post sends a message and decodes the response into reply, or discards it if reply is nil.
func Post(ctx context.Context, client *http.Client, to api.Address, path string, message, reply any) error {
	response, err := send(ctx, client, to, path, message)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &peerError{err}
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return &peerError{err}
	}
	return nil
}
