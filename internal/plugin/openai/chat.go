package openai

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"redwingloft/internal/data/work"
)

// maxLineBytes bounds one line of an event stream.
const maxLineBytes = 1 << 20

// ErrStreamTruncated is returned for a stream that is truncated before its terminal event.
var ErrStreamTruncated = errors.New("the stream ended without its terminal event")

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	// Continue makes the engine continue the last assistant message.
	Continue bool `json:"continue_final_message,omitempty"`
	// AddPrompt must be false if Continue is set.
	AddPrompt *bool `json:"add_generation_prompt,omitempty"`
}

// chatMessages returns the chat messages of a generate stage. The prefix hash
// for routing is computed over the same text.
func chatMessages(in work.Input) []message {
	var messages []message
	if in.Stage.Prompt != "" {
		messages = append(messages, message{"system", in.Stage.Prompt})
	}
	if len(in.Item.Passages) > 0 {
		var context strings.Builder
		for i, passage := range in.Item.Passages {
			fmt.Fprintf(&context, "[%d] %s\n", i+1, passage.Text)
		}
		messages = append(messages, message{"system", context.String()})
	}
	if in.Item.Text != "" {
		messages = append(messages, message{"system", "Draft: " + in.Item.Text})
	}
	return append(messages, message{"user", in.Item.Input})
}

// chatPrompt returns the roles and contents of the messages in the order in which an
// engine caches them.
func chatPrompt(in work.Input) []string {
	var parts []string
	for _, m := range chatMessages(in) {
		parts = append(parts, m.Role, m.Content)
	}
	return parts
}

// remainingTokens returns how many more tokens may be generated; bounded is false if the
// stage has no limit.
func remainingTokens(in work.Input) (left int, bounded bool) {
	return max(0, in.MaxTokens-in.PartialTokens), in.MaxTokens > 0
}

func chatRequest(ctx context.Context, base string, in work.Input) (*http.Request, error) {
	body := completionRequest{Model: string(in.Stage.Model), Messages: chatMessages(in), Stream: true}
	body.Options.IncludeUsage = true
	if left, bounded := remainingTokens(in); bounded {
		// Engines treat 0 as no limit, so the request for a complete text allows one
		// token, which readChat drops.
		body.MaxTokens = max(1, left)
	}
	if in.Partial != "" {
		no := false
		body.Messages = append(body.Messages, message{"assistant", in.Partial})
		body.Continue, body.AddPrompt = true, &no
	}
	request, err := post(ctx, base+"/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "text/event-stream")
	return request, nil
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
	// Error is an object with a message, or a string.
	Error json.RawMessage `json:"error"`
	// Object is "error" if the engine sends Message at the top level.
	Object  string `json:"object"`
	Message string `json:"message"`
}

// streamError returns the error in the chunk, or nil.
func (c *chunk) streamError() error {
	message := c.Message
	switch {
	case len(c.Error) > 0 && !bytes.Equal(c.Error, []byte("null")):
		var object struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(c.Error, &object) == nil && object.Message != "" {
			message = object.Message
		} else {
			message = string(c.Error)
		}
	case c.Object != "error":
		return nil
	}
	return fmt.Errorf("the engine reported an error: %s", message)
}

// readChat reads the event stream of a completion. Each chunk with content counts
// as one token. A stream is complete if it has a finish reason and ends with the [DONE]
// event or, because some engines send none, at the end of the body.
func readChat(body io.Reader, in work.Input, emit func(work.Token) error) (work.Output, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	left, bounded := remainingTokens(in)
	reader := chatReader{emit: emit, limitReached: bounded && left == 0}
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		data = bytes.TrimSpace(data)
		if !isData || len(data) == 0 {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return reader.finish()
		}
		if err := reader.chunk(data); err != nil {
			return reader.output(), err
		}
	}
	if err := scanner.Err(); err != nil {
		return reader.output(), err
	}
	return reader.finish()
}

type chatReader struct {
	emit func(work.Token) error
	// limitReached is true if the partial text already has all its tokens; further
	// content is dropped.
	limitReached    bool
	text            strings.Builder
	out             work.Output
	hasFinishReason bool
}

func (r *chatReader) chunk(data []byte) error {
	var piece chunk
	if err := json.Unmarshal(data, &piece); err != nil {
		return fmt.Errorf("a chunk of the stream is not valid: %w", err)
	}
	if err := piece.streamError(); err != nil {
		return err
	}
	if piece.Usage != nil {
		r.out.PromptTokens = piece.Usage.PromptTokens
		r.out.CachedTokens = piece.Usage.Details.CachedTokens
	}
	for _, choice := range piece.Choices {
		switch choice.FinishReason {
		case "":
		case "abort", "error":
			return fmt.Errorf("the engine stopped with the finish reason %q", choice.FinishReason)
		default:
			r.hasFinishReason = true
		}
		if choice.Delta.Content == "" || r.limitReached {
			continue
		}
		if r.text.Len()+len(choice.Delta.Content) > maxResponse {
			return fmt.Errorf("the completion has more than %d bytes", maxResponse)
		}
		r.text.WriteString(choice.Delta.Content)
		r.out.Tokens++
		if err := r.emit(work.Token{Text: choice.Delta.Content, Count: 1}); err != nil {
			return err
		}
	}
	return nil
}

func (r *chatReader) finish() (work.Output, error) {
	if !r.hasFinishReason {
		return r.output(), ErrStreamTruncated
	}
	return r.output(), nil
}

func (r *chatReader) output() work.Output {
	r.out.Text = r.text.String()
	return r.out
}
