// Package hashing chooses nodes for keys by rendezvous hashing: every host that
// knows the same nodes makes the same choice, and a node that comes or goes
// moves only its own keys.
package hashing

import "github.com/cespare/xxhash/v2"

// Of returns the hash of a key or of a node's name.
func Of(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a node for a key, both hashed with Of. The node
// with the highest score owns the key.
func Score(key, node uint64) uint64 {
	// The finalizer of splitmix64 spreads both inputs over all bits.
	mixed := key ^ (node * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31)
}

// Rank returns how many of the nodes score higher for key than the node at index own.
func Rank(key uint64, nodes []uint64, own int) int {
	mine, rank := Score(key, nodes[own]), 0
	for i, node := range nodes {
		score := Score(key, node)
		if score > mine || (score == mine && i < own) {
			rank++
		}
	}
	return rank
}

// Owner returns the index of the node that owns key, or -1 where there is none.
func Owner(key uint64, nodes []uint64) int {
	owner, best := -1, uint64(0)
	for i, node := range nodes {
		if score := Score(key, node); owner < 0 || score > best {
			owner, best = i, score
		}
	}
	return owner
}
