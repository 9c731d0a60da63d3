package forward

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/helper/clock"
	"redwingloft/internal/helper/fault"
	"redwingloft/internal/service/quarantine"
	"redwingloft/pkg/api"
)

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

// recordEvent records that the response has so many events.
func (c *call) recordEvent(events int) {
	if c.Prompts != nil && quarantine.IsMilestone(events) {
		c.Prompts.RecordEvent(c.request.SharedParts(), events, clock.Now())
	}
}

// recordEnd records that the response ended whole with so many events.
func (c *call) recordEnd(events int) {
	if c.Prompts != nil {
		c.Prompts.RecordEnd(c.request.SharedParts(), events, clock.Now())
	}
}

// recordLoss records a response that was lost after so many events. Only connections that the
// engine closed are evidence of a crash, and only if the engine is not leaving: it may exit before
// its last responses have ended.
func (c *call) recordLoss(ctx context.Context, upstream *fleet.Upstream, events int, sent time.Time, err error) {
	if c.Prompts == nil || ctx.Err() != nil || !closedByUpstream(err) || !c.isReady(upstream) {
		return
	}
	c.Prompts.RecordLoss(upstream.Incarnation(), c.request.SharedParts(), events, c.history.MayHaveRun > 0, sent, clock.Now())
}

// isReady reports whether an incarnation of an upstream is still ready.
func (c *call) isReady(upstream *fleet.Upstream) bool {
	return slices.ContainsFunc(c.View().Ready(c.service), func(ready *fleet.Upstream) bool {
		return ready.Incarnation() == upstream.Incarnation()
	})
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
