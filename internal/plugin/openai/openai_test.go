package openai

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/work"
)

// TestReadResponses guards against incomplete or invalid responses that are accepted as
// results, and against results that lack a part of the response.
func TestReadResponses(t *testing.T) {
	in := work.Input{Stage: &document.Stage{TopK: 2}, Item: work.State{Passages: []work.Passage{{ID: "x"}, {ID: "y"}, {ID: "z"}}}}
	for _, c := range []struct {
		name string
		read func(string) (work.Output, error)
		body string
		err  string
	}{
		{"no embedding", embedding, `{"data":[]}`, "no embedding"},
		{"empty embedding", embedding, `{"data":[{"embedding":[]}]}`, "no embedding"},
		{"two embeddings", embedding, `{"data":[{"embedding":[1]},{"embedding":[2]}]}`, "no embedding"},
		{"truncated embedding", embedding, `{"data":[{"embedding":[1`, "is not valid"},
		{"no passages", search, `{"error":"no such store"}`, "no list of passages"},
		{"index out of range", rerank(in), `{"results":[{"index":3},{"index":0}]}`, "ranks document 3 of 3"},
		{"negative index", rerank(in), `{"results":[{"index":-1},{"index":0}]}`, "ranks document -1 of 3"},
		{"document ranked twice", rerank(in), `{"results":[{"index":1},{"index":1}]}`, "document 1 twice"},
		{"too few ranked", rerank(in), `{"results":[{"index":1}]}`, "ranks 1 documents; 2 were asked for"},
		{"no ranking", rerank(in), `{}`, "ranks 0 documents"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := c.read(c.body)
			assert.ErrorContains(t, err, c.err)
		})
	}
	output, err := embedding(`{"data":[{"embedding":[0.5,1]}],"usage":{"prompt_tokens":3}}`)
	assert.NilError(t, err)
	assert.DeepEqual(t, output, work.Output{Vector: []float64{0.5, 1}, PromptTokens: 3})
	output, err = search(`{"data":[{"file_id":"f","score":0.5,"content":[{"text":"a"},{"text":"b"}]}]}`)
	assert.NilError(t, err)
	assert.DeepEqual(t, output.Passages, []work.Passage{{ID: "f", Text: "ab", Score: 0.5}})
	output, err = search(`{"data":[]}`)
	assert.NilError(t, err)
	assert.Equal(t, len(output.Passages), 0)
	output, err = rerank(in)(`{"results":[{"index":2,"relevance_score":0.9},{"index":0,"relevance_score":0.1}]}`)
	assert.NilError(t, err)
	assert.DeepEqual(t, output.Passages, []work.Passage{{ID: "z", Score: 0.9}, {ID: "x", Score: 0.1}})
}

func embedding(body string) (work.Output, error) {
	return readEmbedding(strings.NewReader(body), work.Input{}, nil)
}

func search(body string) (work.Output, error) {
	return readSearch(strings.NewReader(body), work.Input{}, nil)
}

func rerank(in work.Input) func(string) (work.Output, error) {
	return func(body string) (work.Output, error) { return readRerank(strings.NewReader(body), in, nil) }
}
