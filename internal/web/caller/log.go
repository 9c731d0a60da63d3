package caller

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

const (
	// failureRate and failureBurst bound the lines a second for refused and failed
	// requests. An overloaded host refuses hundreds of requests a second; the
	// counters count all of them.
	failureRate  = 10
	failureBurst = 50
	// maxLogged bounds a value from a request that was not checked yet.
	maxLogged = 128
)

// failureLog thins out the lines for refused and failed requests. The zero value works.
type failureLog struct {
	mu      sync.Mutex
	limiter *rate.Limiter
	// left is the number of lines left out since the last one.
	left int64
}

// take reports whether a line may be written, and how many were left out before it.
func (l *failureLog) take(now time.Time) (left int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(failureRate, failureBurst)
	}
	if !l.limiter.AllowN(now, 1) {
		l.left++
		return 0, false
	}
	left, l.left = l.left, 0
	return left, true
}

// logFailure writes a line for a request that was refused as not run, or that failed.
func (h *Handler) logFailure(r *http.Request, caller request.Caller, answer *api.Error, err error) {
	left, ok := h.failures.take(time.Now())
	if !ok {
		return
	}
	event := "request_failed"
	if answer.Run == api.RunNo {
		event = "request_refused"
	}
	line := h.Log.Warn().Str("request_id", string(caller.ID)).Str("workspace", clip(string(caller.Workspace))).
		Str("path", clip(r.URL.Path)).Str("kind", string(answer.Kind)).Str("run", string(answer.Run))
	if left > 0 {
		line = line.Int64("lines_left_out", left)
	}
	line.Err(err).Msg(event)
}

// logRun writes a line for an answered run of a pipeline.
func (h *Handler) logRun(caller request.Caller, arrived time.Time, answer *api.RunAnswer) {
	h.Log.Debug().Str("request_id", string(caller.ID)).Str("workspace", string(caller.Workspace)).
		Str("pipeline", string(answer.Pipeline)).Str("version", string(answer.Version)).
		Int("tokens", answer.Tokens).Dur("duration_ms", time.Since(arrived)).Msg("request_answered")
}

// logCall writes a line for an answered call of a plain service.
func (h *Handler) logCall(caller request.Caller, arrived time.Time, service api.ServiceName, call api.CallName, answer *api.ServiceAnswer) {
	h.Log.Debug().Str("request_id", string(caller.ID)).Str("workspace", string(caller.Workspace)).
		Str("service", string(service)).Str("call", string(call)).Int("status", answer.Status).
		Bool("replayed", answer.Replayed).Dur("duration_ms", time.Since(arrived)).Msg("request_answered")
}

// clip bounds the length of a logged value.
func clip(value string) string {
	if len(value) > maxLogged {
		return value[:maxLogged] + "..."
	}
	return value
}
