// Package prefix names the start of a prompt, so that prompts that begin alike
// can go to the engine that still has their start in its prefix cache. It does
// no I/O and keeps no state.
package prefix

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

const (
	// minBytes is the shortest text that is named: reading less again costs an
	// engine a few milliseconds.
	minBytes = 1024
	// blockBytes is how much of the text after the instructions is named. It is
	// what tells conversations with the same instructions apart.
	blockBytes = 2048
	// maxInstructions bounds what is read of the instructions, in bytes.
	maxInstructions = 64 << 10
	// fieldEnd follows each field of a scope; no valid UTF-8 text holds it.
	fieldEnd = "\xff"
	saltBase = 16
)

// Scope bounds who may share a prefix. The names of two scopes differ, but for
// a collision of 64 bits.
type Scope struct {
	Environment, Lane, Organisation, Model string
}

// Hash names the start of a prompt, given as raw JSON: an array of messages or
// a text. It covers the first message, when that instructs the model, and a
// block after it, so that it stays the same while a conversation grows. It is 0
// for a text too short to be worth it. The raw JSON is read in place, only to
// the block's end; the same text escaped in another way has another name.
func Hash(scope Scope, raw string) uint64 {
	text := strings.TrimSuffix(raw, "]")
	if len(text) < minBytes {
		return 0
	}
	end := min(instructionsEnd(raw)+blockBytes, len(text))
	digest := scope.digest()
	_, _ = digest.WriteString(scope.Model)
	_, _ = digest.WriteString(fieldEnd)
	_, _ = digest.WriteString(text[:end])
	return max(1, digest.Sum64())
}

// Salt names who may share the entries of an engine's prefix cache. Engines tell
// models apart by themselves.
func (s Scope) Salt() string {
	digest := s.digest()
	return strconv.FormatUint(digest.Sum64(), saltBase)
}

// digest is a digest of the scope without the model.
func (s Scope) digest() xxhash.Digest {
	var digest xxhash.Digest
	digest.Reset()
	for _, field := range [...]string{s.Environment, s.Lane, s.Organisation} {
		_, _ = digest.WriteString(field)
		_, _ = digest.WriteString(fieldEnd)
	}
	return digest
}

// instructionsEnd is where the first message ends when it instructs the model,
// at most maxInstructions, or 0.
func instructionsEnd(raw string) int {
	if !strings.HasPrefix(raw, "[") {
		return 0
	}
	first := gjson.Get(raw[:min(len(raw), maxInstructions)], "0")
	switch first.Get("role").String() {
	case "system", "developer":
		return first.Index + len(first.Raw)
	}
	return 0
}
