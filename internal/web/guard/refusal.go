package guard

import (
	"time"

	"github.com/phuslu/log"

	"redwingloft/internal/helper/logging"
	"redwingloft/pkg/api"
)

// RefusalLog logs callers that are refused or cut off because of what they send or don't read, with
// their addresses and at a limited rate. Set the exported fields before use; nil logs nothing.
type RefusalLog struct {
	Log *log.Logger

	limiter logging.Limiter
}

// Report logs one refusal on a listener.
func (l *RefusalLog) Report(listener, remote, reason string, err error) {
	if l == nil {
		return
	}
	dropped, ok := l.limiter.Allow(time.Now())
	if !ok {
		return
	}
	line := l.Log.Warn().Str("remote", remote).Str("reason", reason).Str("listener", listener)
	if dropped > 0 {
		line = line.Int64("lines_left_out", dropped)
	}
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("client_refused")
}

// RefusesClient reports whether errors of a kind are due to what a caller sends or to the sum of what
// callers send.
func RefusesClient(kind api.Kind) bool {
	return kind == api.KindTooLarge || kind == api.KindBodyStalled || kind == api.KindMemoryFull || kind == api.KindConnectionsFull
}
