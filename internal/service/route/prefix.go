package route

import (
	"encoding/binary"
	"math/bits"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"redwingloft/internal/service/upstream"
	"redwingloft/pkg/api"
)

const (
	// blockBytes is the length of the prompt blocks that are hashed.
	blockBytes = 256
	// bytesPerToken is the assumed mean length of a prompt token.
	bytesPerToken = 4
	blockTokens   = blockBytes / bytesPerToken
	// maxBlocks bounds a chain; only the first 64 KB of a longer prompt are compared.
	maxBlocks = 256
	// DefaultPrefixTableSize is the default number of blocks in the table, which then takes 1 MB.
	DefaultPrefixTableSize = 1 << 16
)

// HashChain is the hash chain over the blocks of a prompt. Each hash covers its own block and
// all blocks before it.
type HashChain struct {
	Hashes []uint64
	// Tokens is the estimated length of the whole prompt.
	Tokens int
}

// HashPrompt returns the hash chain of a prompt for a model of a group. The prompt is the
// concatenation of parts. An incomplete last block counts in Tokens only.
func HashPrompt(group api.GroupName, model api.ModelName, parts ...string) HashChain {
	length := 0
	for _, part := range parts {
		length += len(part)
	}
	chain := HashChain{Tokens: length / bytesPerToken, Hashes: make([]uint64, 0, min(length/blockBytes, maxBlocks))}
	digest := xxhash.New()
	_, _ = digest.WriteString(string(group) + "\x00" + string(model) + "\x00")
	filled := 0
	for _, part := range parts {
		for part != "" && len(chain.Hashes) < maxBlocks {
			n := min(blockBytes-filled, len(part))
			_, _ = digest.WriteString(part[:n])
			part, filled = part[n:], filled+n
			if filled == blockBytes {
				chain.Hashes = append(chain.Hashes, chainHash(digest))
				filled = 0
			}
		}
	}
	return chain
}

// chainHash returns the hash of the current block and seeds the next block with it.
func chainHash(digest *xxhash.Digest) uint64 {
	sum := digest.Sum64()
	digest.Reset()
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, sum))
	return sum
}

// PrefixTable maps prompt blocks to the instance that processed them last. It is a hash
// table of fixed size in which a new block overwrites the one in its slot. A nil table
// is empty.
type PrefixTable struct {
	slots []prefixSlot
	shift int
}

// prefixSlot is written without a lock. A reader checks the hash before and after it
// reads the owner. Concurrent writers may leave a wrong owner, which costs a cache miss
// and is corrected by the next response.
type prefixSlot struct {
	hash  atomic.Uint64
	owner atomic.Pointer[upstream.Instance]
}

// NewPrefixTable returns a table of at least size blocks; 0 means the default size.
func NewPrefixTable(size int) *PrefixTable {
	if size <= 0 {
		size = DefaultPrefixTableSize
	}
	width := bits.Len(uint(size - 1))
	return &PrefixTable{slots: make([]prefixSlot, 1<<width), shift: 64 - width}
}

func (p *PrefixTable) slot(hash uint64) *prefixSlot { return &p.slots[hash>>p.shift] }

func (p *PrefixTable) lookup(hash uint64) *upstream.Instance {
	slot := p.slot(hash)
	if slot.hash.Load() != hash {
		return nil
	}
	owner := slot.owner.Load()
	if slot.hash.Load() != hash {
		return nil
	}
	return owner
}

func (p *PrefixTable) store(hash uint64, owner *upstream.Instance) {
	slot := p.slot(hash)
	if slot.hash.Load() == hash && slot.owner.Load() == owner {
		return
	}
	slot.hash.Store(0)
	slot.owner.Store(owner)
	slot.hash.Store(hash)
}

// Owner returns the instance with the longest known prefix of a chain and the number of
// its blocks. It uses a binary search, because a block is entered together with all
// blocks before it. An overwritten block in between only shortens the result.
func (p *PrefixTable) Owner(chain HashChain) (*upstream.Instance, int) {
	if p == nil {
		return nil, 0
	}
	var owner *upstream.Instance
	low, high := 0, len(chain.Hashes)
	for low < high {
		middle := (low + high + 1) / 2
		if found := p.lookup(chain.Hashes[middle-1]); found != nil {
			owner, low = found, middle
		} else {
			high = middle - 1
		}
	}
	return owner, low
}

// RecordRoute records that a prompt is sent to an instance. It returns the number of prompt
// tokens that the instance is expected to have cached.
func (p *PrefixTable) RecordRoute(instance *upstream.Instance, chain HashChain) int {
	owner, blocks := p.Owner(chain)
	if p == nil {
		return 0
	}
	for _, hash := range chain.Hashes {
		p.store(hash, instance)
	}
	if owner != instance {
		return 0
	}
	return blocks * blockTokens
}

// RecordResponse updates the table after the response to a prompt. The instance becomes the
// owner of the prompt, even if a hedge was routed later, and its cache trust is lowered if
// it had cached less than expected. promptTokens and cachedTokens are reported by the
// engine; 0 prompt tokens mean no report.
func (p *PrefixTable) RecordResponse(instance *upstream.Instance, chain HashChain, expected, promptTokens, cachedTokens int) {
	if p == nil {
		return
	}
	for _, hash := range chain.Hashes {
		p.store(hash, instance)
	}
	if promptTokens <= 0 || chain.Tokens <= 0 {
		return
	}
	// The engine's token count differs from the estimate, so scale the expected tokens.
	scaled := expected * promptTokens / chain.Tokens
	instance.ObserveCacheHits(scaled, cachedTokens)
}
