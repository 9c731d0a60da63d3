package hashing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestOnlyKeysOfRemovedNodeMove guards against the removal of a node that moves keys of other
// nodes.
func TestOnlyKeysOfRemovedNodeMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []uint64
		for i := range rapid.IntRange(2, 40).Draw(t, "nodes") {
			nodes = append(nodes, Of(fmt.Sprint("host-", i)))
		}
		removed := rapid.IntRange(0, len(nodes)-1).Draw(t, "lost")
		key := Of(rapid.String().Draw(t, "key"))
		before := Owner(key, nodes)
		assert.Equal(t, Rank(key, nodes, before), 0)
		remaining := append(append([]uint64(nil), nodes[:removed]...), nodes[removed+1:]...)
		if before != removed {
			assert.Equal(t, remaining[Owner(key, remaining)], nodes[before])
		}
	})
}

// TestKeysSpread guards against an uneven distribution of keys.
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
