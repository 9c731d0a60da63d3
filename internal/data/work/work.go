// Package work defines the data that stages of a request receive and return.
package work

import (
	"redwingloft/internal/data/document"
)

// Passage is one retrieved document with its relevance score.
type Passage struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// State is the state of one request between two stages. A stage receives a copy and returns
// an Output; only the executor updates the item.
type State struct {
	Input    string    `json:"input"`
	Vector   []float64 `json:"vector,omitempty"`
	Passages []Passage `json:"passages,omitempty"`
	// Text is the output of the last generate stage.
	Text string `json:"text,omitempty"`
}

// Input is the input of one attempt of a stage.
type Input struct {
	Stage *document.Stage
	Item  State
	// Partial is the text that was already forwarded from a truncated stream; generation
	// continues after it.
	Partial string
	// PartialTokens is the number of tokens in Partial.
	PartialTokens int
	// MaxTokens is the maximum number of tokens of the complete text, including Partial; 0 means
	// no limit.
	MaxTokens int
	// Reserve reserves memory for bytes of a response before they are read; nil means no limit.
	Reserve func(size int64) error
}

// Token is one chunk of streamed text.
type Token struct {
	Text string
	// Count is the number of model tokens in Text.
	Count int
}

// Output is the result of one attempt of a stage.
type Output struct {
	Vector   []float64
	Passages []Passage
	// Text is the generated text of this attempt, without Input.Partial.
	Text string
	// PromptTokens, CachedTokens and Tokens are 0 if the upstream does not report them.
	PromptTokens int
	CachedTokens int
	Tokens       int
}
