// Package engine is a stand-in of model engines with an OpenAI-style HTTP API.
// Its responses depend only on the request, so that a test can detect a response
// with a gap.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// DefaultTokens is the length of a response if the request sets no limit.
const DefaultTokens = 24

// Server serves all four kinds of stage. The zero value responds without delay.
type Server struct {
	// Slots is the number of requests that run concurrently; others wait. 0 means 8.
	Slots int
	// StepTime is the time of one decoding step with an empty batch; each request
	// in the batch adds a tenth of it.
	StepTime time.Duration
	// PrefillTime is the time for each thousand uncached prompt tokens.
	PrefillTime time.Duration
	// StageTime is the time of an embedding, search or rerank.
	StageTime time.Duration
	// ReportLoad adds the load to each response.
	ReportLoad bool
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// CacheTokens is the size of the prefix cache; 0 means no cache.
	CacheTokens int

	slots       chan struct{}
	initialized atomic.Bool
	running     atomic.Int64
	requests    atomic.Int64
	tokens      atomic.Int64
	canceled    atomic.Int64
	cache       prefixCache
	loadHistory loadHistory
}

// Stats holds the request counters of a server.
type Stats struct {
	Requests int64 `json:"requests"`
	Tokens   int64 `json:"tokens"`
	// Canceled counts streams that the client closed.
	Canceled int64 `json:"canceled"`
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	return Stats{Requests: s.requests.Load(), Tokens: s.tokens.Load(), Canceled: s.canceled.Load()}
}

// ReadStats fetches the counters of the engine at an address.
func ReadStats(address string) (Stats, error) {
	var stats Stats
	response, err := http.Get("http://" + address + "/stats")
	if err != nil {
		return stats, err
	}
	defer response.Body.Close()
	return stats, json.NewDecoder(response.Body).Decode(&stats)
}

// Routes returns the HTTP handler of the server.
func (s *Server) Routes() http.Handler {
	if s.initialized.CompareAndSwap(false, true) {
		if s.Slots == 0 {
			s.Slots = 8
		}
		s.slots = make(chan struct{}, s.Slots)
		s.cache.limit = s.CacheTokens
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/embeddings", s.withSlot(s.embeddings))
	mux.HandleFunc("POST /v1/vector_stores/{id}/search", s.withSlot(s.search))
	mux.HandleFunc("POST /v1/rerank", s.withSlot(s.rerank))
	mux.HandleFunc("POST /v1/chat/completions", s.withSlot(s.chat))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	return mux
}

// withSlot runs next in a slot and reports the load in the ORCA header.
func (s *Server) withSlot(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		select {
		case s.slots <- struct{}{}:
		case <-r.Context().Done():
			s.canceled.Add(1)
			return
		}
		defer func() { <-s.slots }()
		s.loadHistory.add(time.Now(), s.running.Add(1))
		defer func() { s.loadHistory.add(time.Now(), s.running.Add(-1)) }()
		if s.ReportLoad {
			running := s.loadHistory.runningAt(time.Now().Add(-s.ReportLag))
			w.Header().Set("endpoint-load-metrics", fmt.Sprintf(`JSON {"application_utilization":%.3f}`, float64(running)/float64(s.Slots)))
		}
		next(w, r)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// sleep waits for d and reports whether the request is still active; it counts canceled ones.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		if ctx.Err() != nil {
			s.canceled.Add(1)
			return false
		}
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		s.canceled.Add(1)
		return false
	}
}

func (s *Server) embeddings(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Input string `json:"input"`
	}
	if !decodeJSON(w, r, &request) || !s.sleep(r.Context(), s.StageTime) {
		return
	}
	sum := hash(request.Input)
	vector := make([]float64, 8)
	for i := range vector {
		vector[i] = float64((sum>>(8*i))&0xff) / 255
	}
	writeJSON(w, map[string]any{
		"data":  []any{map[string]any{"index": 0, "embedding": vector}},
		"usage": map[string]int{"prompt_tokens": countWords(request.Input)},
	})
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Query string `json:"query"`
		Max   int    `json:"max_num_results"`
	}
	if !decodeJSON(w, r, &request) || !s.sleep(r.Context(), s.StageTime) {
		return
	}
	if request.Max == 0 {
		request.Max = 4
	}
	data := make([]any, 0, request.Max)
	for i := range request.Max {
		text := fmt.Sprintf("passage %d about %s", i, request.Query)
		data = append(data, map[string]any{
			"file_id": fmt.Sprintf("%s-%d", r.PathValue("id"), i), "score": 1 / float64(i+1),
			"content": []any{map[string]any{"type": "text", "text": text}},
		})
	}
	writeJSON(w, map[string]any{"data": data})
}

func (s *Server) rerank(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Documents []string `json:"documents"`
		TopN      int      `json:"top_n"`
	}
	if !decodeJSON(w, r, &request) || !s.sleep(r.Context(), s.StageTime) {
		return
	}
	results := make([]any, 0, len(request.Documents))
	for i := range request.Documents {
		if request.TopN > 0 && i == request.TopN {
			break
		}
		results = append(results, map[string]any{"index": len(request.Documents) - 1 - i, "relevance_score": 1 / float64(i+1)})
	}
	writeJSON(w, map[string]any{"results": results})
}

func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(r.Body).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func hash(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}

func countWords(text string) int { return len(strings.Fields(text)) }

// Token returns token number i, counted from 0, of the response to a prompt.
func Token(prompt string, i int) string {
	return strconv.FormatUint(hash(prompt+"#"+strconv.Itoa(i))%100_000, 36) + " "
}

// Text returns the first n tokens of the response to a prompt.
func Text(prompt string, n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}
