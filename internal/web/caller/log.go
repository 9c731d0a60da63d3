package caller

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

// Limits of the log lines for refused and failed requests.
const (
	// failureRate (lines per second) and failureBurst limit the log lines for refused and
	// failed requests: an overloaded host refuses hundreds of requests per second. The
	// metrics count all of them.
	failureRate  = 10
	failureBurst = 50
	// maxLoggedLength is the maximum length in bytes of a logged value that was not validated.
	maxLoggedLength = 128
)

// failureLogLimiter limits the rate of log lines for refused and failed requests. The
// zero value is ready to use.
type failureLogLimiter struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	// dropped is the number of lines dropped since the last written one.
	dropped int64
}

// allow reports whether a line may be written, and returns the number of lines dropped
// before it.
func (l *failureLogLimiter) allow(now time.Time) (dropped int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(failureRate, failureBurst)
	}
	if !l.limiter.AllowN(now, 1) {
		l.dropped++
		return 0, false
	}
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}

// logFailure logs a request that was refused before it ran, or that failed.
func (h *Handler) logFailure(r *http.Request, caller request.Caller, apiError *api.Error, err error) {
	dropped, ok := h.failureLimiter.allow(time.Now())
	if !ok {
		return
	}
	event := "request_failed"
	if apiError.Run == api.RunNo {
		event = "request_refused"
	}
	line := h.Log.Warn().Str("request_id", string(caller.ID)).Str("workspace", truncate(string(caller.Workspace))).
		Str("path", truncate(r.URL.Path)).Str("kind", string(apiError.Kind)).Str("run", string(apiError.Run))
	if dropped > 0 {
		line = line.Int64("lines_left_out", dropped)
	}
	line.Err(err).Msg(event)
}

// logRun logs a successful pipeline run.
func (h *Handler) logRun(caller request.Caller, arrived time.Time, response *api.RunAnswer) {
	h.Log.Debug().Str("request_id", string(caller.ID)).Str("workspace", string(caller.Workspace)).
		Str("pipeline", string(response.Pipeline)).Str("version", string(response.Version)).
		Int("tokens", response.Tokens).Dur("duration_ms", time.Since(arrived)).Msg("request_answered")
}

// logCall logs a successful call of an HTTP service.
func (h *Handler) logCall(caller request.Caller, arrived time.Time, service api.ServiceName, call api.CallName, response *api.ServiceAnswer) {
	h.Log.Debug().Str("request_id", string(caller.ID)).Str("workspace", string(caller.Workspace)).
		Str("service", string(service)).Str("call", string(call)).Int("status", response.Status).
		Bool("replayed", response.Replayed).Dur("duration_ms", time.Since(arrived)).Msg("request_answered")
}

// truncate limits the length of a logged value.
func truncate(value string) string {
	if len(value) > maxLoggedLength {
		return value[:maxLoggedLength] + "..."
	}
	return value
}
