package hashing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOnlyKeysOfTheLostNodeMove guards against a change of the nodes that moves other keys.
func TestOnlyKeysOfTheLostNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []uint64
		for i := range rapid.IntRange(2, 40).Draw(t, "nodes") {
			nodes = append(nodes, Of(fmt.Sprint("host-", i)))
		}
		lost := rapid.IntRange(0, len(nodes)-1).Draw(t, "lost")
		key := Of(rapid.String().Draw(t, "key"))
		before := Owner(key, nodes)
		assert.Equal(t, Rank(key, nodes, before), 0)
		left := append(append([]uint64(nil), nodes[:lost]...), nodes[lost+1:]...)
		if before != lost {
			assert.Equal(t, left[Owner(key, left)], nodes[before])
		}
	})
}

// TestKeysSpread guards against a score that favours some nodes.
func TestKeysSpread(t *testing.T) {
	nodes := []uint64{Of("a"), Of("b"), Of("c"), Of("d"), Of("e")}
	counts := make([]int, len(nodes))
	for i := range 10_000 {
		counts[Owner(Of(fmt.Sprint("workspace-", i)), nodes)]++
	}
	for _, count := range counts {
		assert.Assert(t, count > 1800 && count < 2200, "%v", counts)
	}
}
