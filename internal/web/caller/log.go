package caller

import (
	"net/http"
	"time"

	"redwingloft/internal/service/request"
	"redwingloft/pkg/api"
)

// maxLoggedLength is the maximum length in bytes of a logged value that was not validated.
const maxLoggedLength = 128

// logFailure logs a request that was refused before it ran, or that failed.
func (h *Handler) logFailure(r *http.Request, caller request.Caller, apiError *api.Error, err error) {
	dropped, ok := h.failureLimiter.Allow(time.Now())
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
