package pipeline

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"redwingloft/internal/data/work"
	"redwingloft/internal/kernel"
	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

// attempt is one send of a stage. Its goroutine touches only its channels, so a
// late result can't reach another attempt or another request.
type attempt struct {
	instance *upstream.Instance
	cancel   context.CancelFunc
	start    time.Time
	// tokens is unbuffered: a token counts as passed on once the stage has received
	// it, and all of them are received before the result.
	tokens chan work.Token
	// done has room for the result, so that an attempt that nobody waits for ends.
	done chan attemptResult
	// answered tells the routing of a whole answer.
	answered func(work.Output)
	// passed counts the tokens that the stage received.
	passed int
}

type attemptResult struct {
	output work.Output
	err    error
	end    time.Time
	// occupied is the time for which the attempt occupied the upstream.
	occupied time.Duration
}

// emitted returns the channel of tokens; nil, which blocks, for a nil attempt.
func (a *attempt) emitted() <-chan work.Token {
	if a == nil {
		return nil
	}
	return a.tokens
}

// finished returns the channel of the result; nil, which blocks, for a nil attempt.
func (a *attempt) finished() <-chan attemptResult {
	if a == nil {
		return nil
	}
	return a.done
}

// run sends the attempt and leaves its result in done.
func (a *attempt) run(ctx context.Context, send func(context.Context, upstream.Attempt) error, codec kernel.Codec, input work.Input) {
	defer a.cancel()
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
			setDeadline(ctx, request)
			return request, nil
		},
		Read: func(_ int, _ http.Header, body io.Reader) error {
			var err error
			output, err = codec.Read(body, input, emit)
			return err
		},
	})
	a.done <- attemptResult{output: output, err: err, end: time.Now(), occupied: usage.Elapsed}
}

// setDeadline passes the time left on to the upstream.
func setDeadline(ctx context.Context, request *http.Request) {
	if deadline, bounded := ctx.Deadline(); bounded {
		left := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(api.HeaderDeadline, strconv.FormatInt(left, 10))
	}
}
