package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowWriter delays each write.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

func (w slowWriter) Write(data []byte) (int, error) {
	time.Sleep(w.delay)
	return w.ResponseRecorder.Write(data)
}

// TestStepsKeepTheirSchedule guards against long responses that miss their deadline on
// a busy machine because the delay of each step accumulates.
func TestStepsKeepTheirSchedule(t *testing.T) {
	server := &Server{StepTime: 10 * time.Millisecond}
	body := `{"model":"m","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"water the beds"}]}`
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	writer := slowWriter{httptest.NewRecorder(), 6 * time.Millisecond}
	begin := time.Now()
	server.Routes().ServeHTTP(writer, request)
	took := time.Since(begin)
	assert.Equal(t, writer.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(writer.Body.String(), "completion_tokens"))
	// 20 steps of 11 ms plus two writes; with writes added to the step times it takes 350 ms.
	assert.Assert(t, took < 310*time.Millisecond, "the response took %s", took)
}

// TestCancelIsCountedBehindSchedule guards against a canceled request that is not counted
// because its remaining steps are already due and never wait; a test that polls the
// counter would hang.
func TestCancelIsCountedBehindSchedule(t *testing.T) {
	server := &Server{}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		body := `{"model":"m","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"water the beds"}]}`
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)).WithContext(ctx)
		server.Routes().ServeHTTP(httptest.NewRecorder(), request)
	}
	assert.Equal(t, server.Stats().Canceled, int64(20))
}
