package engine

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPrefixCacheKeepsStartsWithinItsMemory(t *testing.T) {
	is := is.New(t)
	cache := newPrefixCache(8 * blockTokens)
	text := func(mark string) string { return strings.Repeat(mark, 5*blockTokens*bytesPerToken) }
	first, second := blocksOf("salt", "m", text("a")), blocksOf("salt", "m", text("b"))
	is.Equal(len(first), 5)
	is.Equal(cache.match(first), 0)
	cache.keep(first)
	is.Equal(cache.match(first), 5)
	is.Equal(cache.match(blocksOf("salt", "m", text("a")+text("c"))), 5) // goes on
	is.Equal(cache.match(blocksOf("other", "m", text("a"))), 0)
	is.Equal(cache.match(blocksOf("salt", "other", text("a"))), 0)
	cache.keep(second)
	is.Equal(cache.match(second), 5)
	is.Equal(cache.match(first), 3) // its end went first
	is.Equal(cache.blocks.Len(), 8)
	is.Equal(newPrefixCache(0).match(first), 0)
}
