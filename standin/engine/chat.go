package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Continue  bool      `json:"continue_final_message"`
}

// chat streams tokens that depend on the last user message. A request that
// continues the final assistant message starts after the last token of that message.
func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	var request chatRequest
	if !decodeJSON(w, r, &request) {
		return
	}
	if !request.Stream {
		http.Error(w, "only streaming requests are supported", http.StatusBadRequest)
		return
	}
	prompt, offset, words := "", 0, 0
	for _, m := range request.Messages {
		words += countWords(m.Content)
		switch {
		case m.Role == "user":
			prompt = m.Content
		case m.Role == "assistant" && request.Continue:
			offset = countWords(m.Content)
		}
	}
	count := request.MaxTokens
	if count == 0 {
		count = DefaultTokens - offset
	}
	cached := s.cache.matchAndInsert(request.Messages)
	if !s.sleep(r.Context(), s.PrefillTime*time.Duration(words-cached)/1000) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	// Steps follow a fixed schedule, so that late timers on a busy machine don't accumulate.
	next := time.Now()
	for i := range count {
		next = next.Add(s.StepTime + s.StepTime*time.Duration(s.running.Load())/10)
		if !s.sleep(r.Context(), time.Until(next)) {
			return
		}
		s.tokens.Add(1)
		writeChunk(w, map[string]any{"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": Token(prompt, offset+i)}}}})
	}
	writeChunk(w, map[string]any{"choices": []any{map[string]any{"index": 0, "delta": map[string]string{}, "finish_reason": "stop"}}})
	writeChunk(w, map[string]any{"choices": []any{}, "usage": map[string]any{
		"prompt_tokens": words, "completion_tokens": count, "prompt_tokens_details": map[string]int{"cached_tokens": cached},
	}})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeChunk(w http.ResponseWriter, chunk any) {
	data, _ := json.Marshal(chunk)
	fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}

// prefixCache caches prompt prefixes at message boundaries and evicts the oldest first.
type prefixCache struct {
	mu          sync.Mutex
	limit       int
	used        int
	sizes       map[string]int
	insertOrder []string
}

// matchAndInsert returns the number of words in the longest cached prefix, and caches all prefixes.
func (c *prefixCache) matchAndInsert(messages []message) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit == 0 {
		return 0
	}
	if c.sizes == nil {
		c.sizes = map[string]int{}
	}
	cached, words := 0, 0
	var prefix strings.Builder
	for _, m := range messages {
		prefix.WriteString(m.Role + "\x00" + m.Content + "\x00")
		words += countWords(m.Content)
		if _, known := c.sizes[prefix.String()]; known {
			cached = words
			continue
		}
		c.insert(prefix.String(), countWords(m.Content))
	}
	return cached
}

func (c *prefixCache) insert(prefix string, size int) {
	c.sizes[prefix] = size
	c.insertOrder = append(c.insertOrder, prefix)
	c.used += size
	for c.used > c.limit && len(c.insertOrder) > 0 {
		c.used -= c.sizes[c.insertOrder[0]]
		delete(c.sizes, c.insertOrder[0])
		c.insertOrder = c.insertOrder[1:]
	}
}
