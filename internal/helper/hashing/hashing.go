// Package hashing assigns keys to nodes by rendezvous hashing. Hosts with the same set of
// nodes make the same assignment, and adding or removing a node only moves keys of that node.
package hashing

import "github.com/cespare/xxhash/v2"

// Of returns the hash of a key or node name.
func Of(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the score of a node for a key, both hashed with Of. The node with the
// highest score owns the key.
func Score(key, node uint64) uint64 {
	// The splitmix64 finalizer mixes the bits of both inputs.
	mixed := key ^ (node * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31)
}

// Rank returns the number of nodes that score higher for key than the node at index. Ties are
// ordered by index.
func Rank(key uint64, nodes []uint64, index int) int {
	ownScore, rank := Score(key, nodes[index]), 0
	for i, node := range nodes {
		score := Score(key, node)
		if score > ownScore || (score == ownScore && i < index) {
			rank++
		}
	}
	return rank
}

// Owner returns the index of the node that owns key, or -1 if there are no nodes.
func Owner(key uint64, nodes []uint64) int {
	owner, best := -1, uint64(0)
	for i, node := range nodes {
		if score := Score(key, node); owner < 0 || score > best {
			owner, best = i, score
		}
	}
	return owner
}
