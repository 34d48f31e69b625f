package engine

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// blockTokens is the length of a block of the prefix cache.
const blockTokens = 256

// prefixCache holds the blocks of prompts that were read, the least recently
// used one out first.
type prefixCache struct {
	// blocks is nil when there is no cache.
	blocks *simplelru.LRU[uint64, struct{}]
}

func newPrefixCache(tokens int) prefixCache {
	if tokens < blockTokens {
		return prefixCache{}
	}
	blocks, _ := simplelru.NewLRU[uint64, struct{}](tokens/blockTokens, nil)
	return prefixCache{blocks: blocks}
}

// blocksOf names each whole block of a prompt by all the text up to its end, for
// callers of one salt and one model.
func blocksOf(salt, model, raw string) []uint64 {
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

// match returns how many blocks are held, from the first.
func (c prefixCache) match(blocks []uint64) int {
	if c.blocks == nil {
		return 0
	}
	missing := slices.IndexFunc(blocks, func(block uint64) bool { return !c.blocks.Contains(block) })
	if missing >= 0 {
		return missing
	}
	return len(blocks)
}

// keep holds the blocks; the first is the last to go.
func (c prefixCache) keep(blocks []uint64) {
	if c.blocks == nil {
		return
	}
	for _, block := range slices.Backward(blocks) {
		c.blocks.Add(block, struct{}{})
	}
}

// matchPrefix spares an attempt what the cache holds; the last token is read.
func (e *Engine) matchPrefix(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.cached = max(0, min(e.prefixes.match(s.blocks)*blockTokens, s.prompt-1))
	e.cachedTokens += s.cached
}

// keepPrefix holds a prompt that was read, unless the engine restarted meanwhile.
func (e *Engine) keepPrefix(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[s.id] == s {
		e.prefixes.keep(s.blocks)
	}
}
