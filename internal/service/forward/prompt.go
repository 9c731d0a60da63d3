package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/pkg/api"
)

// progressEvents is the number of events from which an engine has made progress on a response. An
// engine that crashes as it begins to generate may still have sent the first one.
const progressEvents = 2

// checkPrompt returns an error if a part of the prompt is in quarantine.
func (c *call) checkPrompt() error {
	if c.Prompts == nil {
		return nil
	}
	now := clock.Now()
	found := c.Prompts.Find(c.request.SharedParts(), now)
	if found == nil {
		return nil
	}
	return fault.AddRetryAfter(fault.New(api.KindPromptQuarantined, "part %s of the prompt crashed %d engines", found.Part, found.Crashes), found.Until.Sub(now))
}

// recordProgress records that an engine made progress on the response.
func (c *call) recordProgress() {
	if c.Prompts != nil {
		c.Prompts.RecordProgress(c.request.SharedParts(), clock.Now())
	}
}

// recordLoss records a response that was lost before the engine made progress on it. Only
// connections that the engine closed are evidence of a crash.
func (c *call) recordLoss(ctx context.Context, upstream *fleet.Upstream, sent time.Time, err error) {
	if c.Prompts != nil && ctx.Err() == nil && closedByUpstream(err) {
		c.Prompts.RecordLoss(upstream.Incarnation(), c.request.SharedParts(), sent, clock.Now())
	}
}

// closedByUpstream reports whether the other end closed the connection within a response.
func closedByUpstream(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, errNoEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}
