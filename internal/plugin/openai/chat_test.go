package openai

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
)

// events returns an event stream with the given data.
func events(data ...string) string {
	var text strings.Builder
	for _, one := range data {
		text.WriteString("data: " + one + "\n\n")
	}
	return text.String()
}

const (
	tokenA = `{"choices":[{"delta":{"role":"assistant","content":"a "},"finish_reason":null}],"usage":null,"error":null}`
	tokenB = `{"choices":[{"delta":{"content":"b "}}]}`
	empty  = `{"choices":[{"delta":{"content":null}}]}`
	stop   = `{"choices":[{"delta":{},"finish_reason":"stop"}]}`
	counts = `{"choices":[],"usage":{"prompt_tokens":40,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":32}}}`
	done   = `[DONE]`
)

// TestReadChat guards against truncated streams that are accepted as complete, and
// against variants of the protocol that are rejected as truncated.
func TestReadChat(t *testing.T) {
	complete := events(tokenA, tokenB, stop, counts, done)
	for _, c := range []struct {
		name, body, want string
		err              string
	}{
		{name: "complete", body: complete, want: "a b "},
		{name: "other line ends, comments and fields", body: ": ping\r\n" + strings.ReplaceAll("event: message\nid: 1\n"+complete, "\n", "\r\n"), want: "a b "},
		{name: "no space after data", body: strings.ReplaceAll(complete, "data: ", "data:"), want: "a b "},
		{name: "chunks without content", body: events(empty, tokenA, empty, tokenB, stop, done), want: "a b "},
		{name: "empty data line", body: "data:\n\n" + complete, want: "a b "},
		{name: "no DONE after the finish reason", body: events(tokenA, tokenB, stop), want: "a b "},
		{name: "no finish reason", body: events(tokenA, done), want: "a ", err: "without its terminal event"},
		{name: "truncated", body: events(tokenA), want: "a ", err: "without its terminal event"},
		{name: "truncated within a chunk", body: events(tokenA) + `data: {"choices":[{"del`, want: "a ", err: "is not valid"},
		{name: "empty body", body: "", err: "without its terminal event"},
		{name: "error object", body: events(tokenA, `{"error":{"message":"out of memory","code":500}}`), want: "a ", err: "out of memory"},
		{name: "error text", body: events(`{"error":"out of memory"}`), err: "out of memory"},
		{name: "error beside the object", body: events(`{"object":"error","message":"out of memory"}`), err: "out of memory"},
		{name: "aborted", body: events(tokenA, `{"choices":[{"delta":{},"finish_reason":"abort"}]}`, done), want: "a ", err: `"abort"`},
		{name: "oversize line", body: "data: " + strings.Repeat("x", maxLineBytes+1), err: "token too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var emitted strings.Builder
			var body io.Reader = strings.NewReader(c.body)
			if len(c.body) <= maxLineBytes {
				body = iotest.OneByteReader(body)
			}
			output, err := readChat(body, work.Input{}, func(token work.Token) error {
				emitted.WriteString(token.Text)
				return nil
			})
			if c.err == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, c.err)
			}
			assert.Equal(t, output.Text, c.want)
			assert.Equal(t, emitted.String(), c.want)
			assert.Equal(t, output.Tokens, strings.Count(c.want, " "))
		})
	}
}

// TestReadChatReports guards against usage that is dropped, and against errors of the
// connection or of emit that are replaced by others.
func TestReadChatReports(t *testing.T) {
	emit := func(work.Token) error { return nil }
	output, err := readChat(strings.NewReader(events(tokenA, tokenB, stop, counts, done)), work.Input{}, emit)
	assert.NilError(t, err)
	assert.Equal(t, output.PromptTokens, 40)
	assert.Equal(t, output.CachedTokens, 32)
	broken := io.MultiReader(strings.NewReader(events(tokenA)), iotest.ErrReader(io.ErrUnexpectedEOF))
	output, err = readChat(broken, work.Input{}, emit)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, output.Text, "a ")
	errDisconnected := errors.New("the caller disconnected")
	_, err = readChat(strings.NewReader(events(tokenA, tokenB)), work.Input{}, func(work.Token) error { return errDisconnected })
	assert.ErrorIs(t, err, errDisconnected)
}

// TestContinuedChat guards against a resumed completion that starts from the beginning,
// and against one that exceeds its token limit because only its terminal event was lost.
func TestContinuedChat(t *testing.T) {
	in := work.Input{
		Stage: &document.Stage{Model: "m", Prompt: "be kind"}, Item: work.State{Input: "hello", Passages: []work.Passage{{Text: "p"}}},
		Partial: "a ", PartialTokens: 1, MaxTokens: 4,
	}
	body := requestBody(t, in)
	assert.Equal(t, body.MaxTokens, 3)
	assert.Assert(t, body.Continue && !*body.AddPrompt)
	assert.DeepEqual(t, body.Messages, []message{
		{"system", "be kind"}, {"system", "[1] p\n"}, {"user", "hello"}, {"assistant", "a "},
	})
	assert.DeepEqual(t, chatPrompt(in), []string{"system", "be kind", "system", "[1] p\n", "user", "hello"})
	in.PartialTokens = 4
	assert.Equal(t, requestBody(t, in).MaxTokens, 1)
	output, err := readChat(strings.NewReader(events(tokenA, stop, done)), in, func(work.Token) error {
		t.Fatal("a token beyond the limit was emitted")
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, output.Text, "")
}

func requestBody(t *testing.T, in work.Input) completionRequest {
	t.Helper()
	request, err := chatRequest(context.Background(), "http://127.0.0.1:1", in)
	assert.NilError(t, err)
	var body completionRequest
	assert.NilError(t, json.NewDecoder(request.Body).Decode(&body))
	return body
}

// FuzzReadChat guards against input that makes the reader panic, and against output
// that differs from the emitted tokens.
func FuzzReadChat(f *testing.F) {
	f.Add(events(tokenA, tokenB, stop, counts, done))
	f.Add(events(`{"error":7}`, `{"choices":[{}]}`))
	f.Fuzz(func(t *testing.T, body string) {
		var emitted strings.Builder
		output, _ := readChat(strings.NewReader(body), work.Input{}, func(token work.Token) error {
			emitted.WriteString(token.Text)
			return nil
		})
		assert.Equal(t, output.Text, emitted.String())
	})
}

// TestCompletionWithoutEnd guards against an engine whose completion never ends and exhausts the
// memory of the host, for a request without a limit of tokens.
func TestCompletionWithoutEnd(t *testing.T) {
	chunk := fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", strings.Repeat("x", 1<<16))
	body := strings.NewReader(strings.Repeat(chunk, maxResponse>>16+2))
	output, err := readChat(body, work.Input{}, func(work.Token) error { return nil })
	assert.ErrorContains(t, err, "more than")
	assert.Assert(t, len(output.Text) <= maxResponse)
}
