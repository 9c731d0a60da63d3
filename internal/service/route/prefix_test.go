package route

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPrefixOfParts guards against chains that depend on how the prompt is split into
// messages, or that are equal for different models or groups.
func TestPrefixOfParts(t *testing.T) {
	text := strings.Repeat("polish the lens ", 200)
	whole := HashPrompt("llm", "m", text)
	assert.Equal(t, len(whole.Hashes), len(text)/blockBytes)
	assert.DeepEqual(t, whole, HashPrompt("llm", "m", text[:100], text[100:], ""))
	assert.Assert(t, whole.Hashes[0] != HashPrompt("llm", "other", text).Hashes[0])
	assert.Assert(t, whole.Hashes[0] != HashPrompt("other", "m", text).Hashes[0])
	assert.Equal(t, len(HashPrompt("llm", "m", strings.Repeat("x", 1<<20)).Hashes), maxBlocks)
}

// TestOwnerOfSharedPrefix guards against a search that misses the owner if two prompts share
// only their first part.
func TestOwnerOfSharedPrefix(t *testing.T) {
	list := newTable(2).AvailableInstances("llm")
	prefixes := NewPrefixTable(1024)
	system := strings.Repeat("s", 5*blockBytes)
	assert.Equal(t, prefixes.RecordRoute(list[0], HashPrompt("llm", "m", system, strings.Repeat("a", 9*blockBytes))), 0)
	other := HashPrompt("llm", "m", system, strings.Repeat("b", 9*blockBytes))
	owner, blocks := prefixes.Owner(other)
	assert.Equal(t, owner, list[0])
	assert.Equal(t, blocks, 5)
	assert.Equal(t, prefixes.RecordRoute(list[0], other), 5*blockTokens)
	assert.Equal(t, prefixes.RecordRoute(list[1], other), 0)
}
