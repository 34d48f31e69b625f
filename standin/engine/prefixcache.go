package engine

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// blockTokens is the length of a prefix cache block, in tokens.
const blockTokens = 256

// prefixCache holds the hashes of blocks of computed prompts. It evicts the least
// recently used block first.
type prefixCache struct {
	// blocks is nil if the cache is disabled.
	blocks *simplelru.LRU[uint64, struct{}]
}

func newPrefixCache(tokens int) prefixCache {
	if tokens < blockTokens {
		return prefixCache{}
	}
	blocks, _ := simplelru.NewLRU[uint64, struct{}](tokens/blockTokens, nil)
	return prefixCache{blocks: blocks}
}

// blockHashes hashes each complete block of a prompt together with all text before it,
// the cache salt and the model.
func blockHashes(salt, model, raw string) []uint64 {
	text := strings.TrimSuffix(raw, "]")
	digest := xxhash.New()
	_, _ = digest.WriteString(salt + "\xff" + model + "\xff")
	var blocks []uint64
	for size := blockTokens * bytesPerToken; len(text) >= size; text = text[size:] {
		_, _ = digest.WriteString(text[:size])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// matchingBlocks returns the number of leading blocks that the cache holds.
func (c prefixCache) matchingBlocks(blocks []uint64) int {
	if c.blocks == nil {
		return 0
	}
	missing := slices.IndexFunc(blocks, func(block uint64) bool { return !c.blocks.Contains(block) })
	if missing >= 0 {
		return missing
	}
	return len(blocks)
}

// add stores the blocks, so that the first block is evicted last.
func (c prefixCache) add(blocks []uint64) {
	if c.blocks == nil {
		return
	}
	for _, block := range slices.Backward(blocks) {
		c.blocks.Add(block, struct{}{})
	}
}

// applyPrefixCache lets an attempt skip the prefill of cached blocks. The last token is
// always computed.
func (e *Engine) applyPrefixCache(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.cachedTokens = max(0, min(e.prefixes.matchingBlocks(s.prefixBlocks)*blockTokens, s.promptTokens-1))
	e.cachedTokens += s.cachedTokens
}

// cachePrefix stores a computed prompt, unless the engine has restarted meanwhile.
func (e *Engine) cachePrefix(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[s.id] == s {
		e.prefixes.add(s.prefixBlocks)
	}
}
