// Package openai holds the codecs for engines with an OpenAI-compatible HTTP API:
// chat completions with streaming, embeddings, rerank and vector store search.
package openai

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"redwingloft/internal/data/document"
	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/work"
	"redwingloft/internal/kernel"
)

// maxResponse bounds the bytes of a non-streaming response.
const maxResponse = 32 << 20

func init() {
	kernel.Codecs.Register(string(document.GroupEmbedding), kernel.Codec{Request: embeddingRequest, Read: readEmbedding})
	kernel.Codecs.Register(string(document.GroupSearch), kernel.Codec{Request: searchRequest, Read: readSearch})
	kernel.Codecs.Register(string(document.GroupRerank), kernel.Codec{Request: rerankRequest, Read: readRerank})
	kernel.Codecs.Register(string(document.GroupChat), kernel.Codec{Request: chatRequest, Read: readChat, PromptParts: chatPrompt})
}

func post(ctx context.Context, target string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func decode(body io.Reader, in work.Input, into any) error {
	data, err := fleet.ReadBody(body, -1, maxResponse, func(size int64) error {
		if in.Reserve == nil {
			return nil
		}
		return in.Reserve(size)
	})
	if errors.Is(err, fleet.ErrBodyTooLarge) {
		return fmt.Errorf("the response has more than %d bytes", maxResponse)
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data.Bytes(), into); err != nil {
		return fmt.Errorf("the response is not valid: %w", err)
	}
	return nil
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func embeddingRequest(ctx context.Context, base string, in work.Input) (*http.Request, error) {
	return post(ctx, base+"/v1/embeddings", struct {
		Model string `json:"model"`
		Input string `json:"input"`
	}{string(in.Stage.Model), in.Item.Input})
}

func readEmbedding(body io.Reader, in work.Input, _ func(work.Token) error) (work.Output, error) {
	var response struct {
		Data []struct {
			Embedding []float64 `json:"embedding"`
		} `json:"data"`
		Usage usage `json:"usage"`
	}
	if err := decode(body, in, &response); err != nil {
		return work.Output{}, err
	}
	if len(response.Data) != 1 || len(response.Data[0].Embedding) == 0 {
		return work.Output{}, errors.New("the response holds no embedding")
	}
	return work.Output{Vector: response.Data[0].Embedding, PromptTokens: response.Usage.PromptTokens}, nil
}

func searchRequest(ctx context.Context, base string, in work.Input) (*http.Request, error) {
	target := base + "/v1/vector_stores/" + url.PathEscape(in.Stage.Collection) + "/search"
	return post(ctx, target, struct {
		Query  string    `json:"query"`
		Vector []float64 `json:"vector"`
		Max    int       `json:"max_num_results,omitempty"`
	}{in.Item.Input, in.Item.Vector, in.Stage.TopK})
}

func readSearch(body io.Reader, in work.Input, _ func(work.Token) error) (work.Output, error) {
	var response struct {
		Data []struct {
			FileID  string  `json:"file_id"`
			Score   float64 `json:"score"`
			Content []struct {
				Text string `json:"text"`
			} `json:"content"`
		} `json:"data"`
	}
	if err := decode(body, in, &response); err != nil {
		return work.Output{}, err
	}
	if response.Data == nil {
		return work.Output{}, errors.New("the response holds no list of passages")
	}
	passages := make([]work.Passage, 0, len(response.Data))
	for _, found := range response.Data {
		passage := work.Passage{ID: found.FileID, Score: found.Score}
		for _, content := range found.Content {
			passage.Text += content.Text
		}
		passages = append(passages, passage)
	}
	return work.Output{Passages: passages}, nil
}

func rerankRequest(ctx context.Context, base string, in work.Input) (*http.Request, error) {
	documents := make([]string, 0, len(in.Item.Passages))
	for _, passage := range in.Item.Passages {
		documents = append(documents, passage.Text)
	}
	return post(ctx, base+"/v1/rerank", struct {
		Model     string   `json:"model"`
		Query     string   `json:"query"`
		Documents []string `json:"documents"`
		TopN      int      `json:"top_n,omitempty"`
	}{string(in.Stage.Model), in.Item.Input, documents, in.Stage.TopK})
}

func readRerank(body io.Reader, in work.Input, _ func(work.Token) error) (work.Output, error) {
	var response struct {
		Results []struct {
			Index int     `json:"index"`
			Score float64 `json:"relevance_score"`
		} `json:"results"`
	}
	if err := decode(body, in, &response); err != nil {
		return work.Output{}, err
	}
	if want := rerankSize(in); len(response.Results) < want {
		return work.Output{}, fmt.Errorf("the response ranks %d documents; %d were asked for", len(response.Results), want)
	}
	passages := make([]work.Passage, 0, len(response.Results))
	ranked := make([]bool, len(in.Item.Passages))
	for _, result := range response.Results {
		if result.Index < 0 || result.Index >= len(in.Item.Passages) {
			return work.Output{}, fmt.Errorf("the response ranks document %d of %d", result.Index, len(in.Item.Passages))
		}
		if ranked[result.Index] {
			return work.Output{}, fmt.Errorf("the response ranks document %d twice", result.Index)
		}
		ranked[result.Index] = true
		passage := in.Item.Passages[result.Index]
		passage.Score = result.Score
		passages = append(passages, passage)
	}
	return work.Output{Passages: passages}, nil
}

// rerankSize returns the number of documents that a rerank must return.
func rerankSize(in work.Input) int {
	if in.Stage.TopK > 0 {
		return min(in.Stage.TopK, len(in.Item.Passages))
	}
	return len(in.Item.Passages)
}
