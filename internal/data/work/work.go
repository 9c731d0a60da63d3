// Package work holds what passes between the stages of a request.
package work

import (
	"redwingloft/internal/data/document"
)

// Passage is one retrieved document.
type Passage struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// Item is the state of one request between two stages. A stage gets a copy and
// returns its part; only the executor changes the item.
type Item struct {
	Input    string    `json:"input"`
	Vector   []float64 `json:"vector,omitempty"`
	Passages []Passage `json:"passages,omitempty"`
	// Text is the text of the last generate stage.
	Text string `json:"text,omitempty"`
}

// Input is what one attempt of a stage works on.
type Input struct {
	Stage *document.Stage
	Item  Item
	// Partial is the text that a cut stream has already passed on; generation continues after it.
	Partial string
	// PartialTokens is the number of tokens in Partial.
	PartialTokens int
	// MaxTokens bounds the whole text, Partial included; 0 means no bound.
	MaxTokens int
}

// Token is one piece of a streamed text.
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
	// PromptTokens, CachedTokens and Tokens are 0 where the upstream does not report them.
	PromptTokens int
	CachedTokens int
	Tokens       int
}
