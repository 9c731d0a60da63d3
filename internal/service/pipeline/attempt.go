package pipeline

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"redwingloft/internal/data/work"
	"redwingloft/internal/kernel"
	"redwingloft/internal/service/memory"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// attempt is one attempt of a stage at one upstream. Its goroutine writes only to its
// own channels, so a late result can't reach another attempt or another request.
type attempt struct {
	instance *upstream.Instance
	cancel   context.CancelFunc
	start    time.Time
	// tokens is unbuffered: a sent token has been received by the stage, and all
	// tokens are received before the result.
	tokens chan work.Token
	// done has a buffer of one result, so that an attempt without a receiver still ends.
	done chan attemptResult
	// recordResponse reports a complete response to the router.
	recordResponse func(work.Output)
	// receivedTokens is the number of tokens that the stage received.
	receivedTokens int
}

// responseCopies is the number of bytes that are held for each byte of a response: the response itself, what is
// decoded, and the request of the next stage.
const responseCopies = 3

type attemptResult struct {
	output work.Output
	err    error
	end    time.Time
	// elapsed is the time for which the attempt occupied the upstream.
	elapsed time.Duration
}

// tokenChan returns the token channel, or nil, which blocks forever, for a nil attempt.
func (a *attempt) tokenChan() <-chan work.Token {
	if a == nil {
		return nil
	}
	return a.tokens
}

// resultChan returns the result channel, or nil, which blocks forever, for a nil attempt.
func (a *attempt) resultChan() <-chan attemptResult {
	if a == nil {
		return nil
	}
	return a.done
}

// run sends the attempt and delivers its result on done.
func (a *attempt) run(ctx context.Context, send func(context.Context, upstream.Attempt) error, codec kernel.Codec, input work.Input) {
	defer a.cancel()
	reservation := memory.ReservationOf(ctx)
	input.Reserve = func(size int64) error { return reservation.Reserve(responseCopies * size) }
	var output work.Output
	var usage upstream.Usage
	emit := func(token work.Token) error {
		select {
		case a.tokens <- token:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	err := send(ctx, upstream.Attempt{
		Instance: a.instance,
		Usage:    &usage,
		Build: func(ctx context.Context, base string) (*http.Request, error) {
			request, err := codec.Request(ctx, base, input)
			if err != nil {
				return nil, err
			}
			setDeadlineHeader(ctx, request)
			return request, nil
		},
		Read: func(_ int, _ http.Header, body io.Reader) error {
			var err error
			output, err = codec.Read(body, input, emit)
			return err
		},
	})
	a.done <- attemptResult{output: output, err: err, end: time.Now(), elapsed: usage.Elapsed}
}

// setDeadlineHeader sets the header with the remaining time for the upstream.
func setDeadlineHeader(ctx context.Context, request *http.Request) {
	if deadline, bounded := ctx.Deadline(); bounded {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(api.HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
}
