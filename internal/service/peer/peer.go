// Package peer sends messages from one entry host to another.
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

// maxReplyBytes bounds the reply of another host.
const maxReplyBytes = 1 << 20

// failure is a failure of the other host, after which another one may be asked.
type failure struct{ cause error }

func (e *failure) Error() string { return fmt.Sprintf("the other host failed: %v", e.cause) }

func (e *failure) Unwrap() error { return e.cause }

// IsFailure reports whether the other host did not answer as it should.
func IsFailure(err error) bool {
	var failed *failure
	return errors.As(err, &failed)
}

// IsReset reports whether the connection to the other host was closed under a call.
func IsReset(err error) bool {
	return IsFailure(err) && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
}

// send sends a message and returns the answer, whose status is 200.
func send(ctx context.Context, client *http.Client, to api.Address, path string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "encode a message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(api.KindInternal, err, "address a message")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return nil, &failure{err}
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &failure{fmt.Errorf("status %d", response.StatusCode)}
	}
	return response, nil
}

// Stream sends a message and passes each value of the answer to next, until next
// reports the last one. An answer that ends before is a failure.
func Stream[T any](ctx context.Context, client *http.Client, to api.Address, path string, message any, next func(*T) (last bool)) error {
	response, err := send(ctx, client, to, path, message)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes))
	for {
		var value T
		if err := decoder.Decode(&value); err != nil {
			return &failure{err}
		}
		if next(&value) {
			return nil
		}
	}
}

// Post sends a message and decodes the answer into reply; a nil reply drops it.
func Post(ctx context.Context, client *http.Client, to api.Address, path string, message, reply any) error {
	response, err := send(ctx, client, to, path, message)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return &failure{err}
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return &failure{err}
	}
	return nil
}
