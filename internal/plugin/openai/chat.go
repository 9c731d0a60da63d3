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

// maxLine bounds one line of an event stream.
const maxLine = 1 << 20

// ErrStreamEnded is returned for a stream that ends without its terminal event.
var ErrStreamEnded = errors.New("the stream ended without its terminal event")

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
	// Continue asks the engine to go on with the last assistant message.
	Continue bool `json:"continue_final_message,omitempty"`
	// AddPrompt must be false where Continue is set.
	AddPrompt *bool `json:"add_generation_prompt,omitempty"`
}

// Messages returns the chat messages of a generate stage; routing hashes the same text.
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

func chatRequest(ctx context.Context, base string, in work.Input) (*http.Request, error) {
	body := completionRequest{Model: string(in.Stage.Model), Messages: chatMessages(in), Stream: true}
	body.Options.IncludeUsage = true
	if in.MaxTokens > 0 {
		body.MaxTokens = in.MaxTokens - in.PartialTokens
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
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// readChat reads the event stream of a completion. Each chunk with content counts as one token.
func readChat(body io.Reader, _ work.Input, emit func(work.Token) error) (work.Output, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	reader := chatReader{emit: emit}
	for scanner.Scan() {
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if !isData {
			continue
		}
		data = bytes.TrimSpace(data)
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
	return reader.output(), ErrStreamEnded
}

type chatReader struct {
	emit     func(work.Token) error
	text     strings.Builder
	out      work.Output
	finished bool
}

func (r *chatReader) chunk(data []byte) error {
	var piece chunk
	if err := json.Unmarshal(data, &piece); err != nil {
		return fmt.Errorf("a chunk of the stream is not valid: %w", err)
	}
	if piece.Error != nil {
		return fmt.Errorf("the engine failed: %s", piece.Error.Message)
	}
	if piece.Usage != nil {
		r.out.PromptTokens = piece.Usage.PromptTokens
		r.out.CachedTokens = piece.Usage.Details.CachedTokens
	}
	for _, choice := range piece.Choices {
		if choice.FinishReason != "" {
			r.finished = true
		}
		if choice.Delta.Content == "" {
			continue
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
	if !r.finished {
		return r.output(), ErrStreamEnded
	}
	return r.output(), nil
}

func (r *chatReader) output() work.Output {
	r.out.Text = r.text.String()
	return r.out
}
