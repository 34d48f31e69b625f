// Package prefix hashes the start of a prompt, so that prompts with the same start
// can be sent to the engine that has it in its prefix cache. It does no I/O and
// keeps no state.
package prefix

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

const (
	// minPromptBytes is the shortest prompt that is hashed: prefilling a shorter one
	// again costs an engine a few milliseconds.
	minPromptBytes = 1024
	// blockBytes is how much of the text after the instructions is hashed, to
	// distinguish conversations that have the same instructions.
	blockBytes = 2048
	// maxInstructionBytes bounds how much of the prompt is parsed to find the end of
	// the instructions.
	maxInstructionBytes = 64 << 10
	// fieldTerminator follows each field of a scope; it never occurs in valid UTF-8.
	fieldTerminator = "\xff"
	saltNumberBase  = 16
)

// Scope limits which requests may share a prefix. Different scopes give different
// hashes, except for collisions of 64 bits.
type Scope struct {
	Environment, Lane, Organisation, Model string
}

// Hash returns a hash of the start of a prompt, given as raw JSON: an array of
// messages or a text. It covers the first message, if that has the role of system
// or developer, and a block after it, so that it stays the same while a
// conversation grows. It is 0 for a prompt shorter than minPromptBytes. The raw
// JSON is read in place, only up to the block's end; the same text escaped
// differently has a different hash.
func Hash(scope Scope, raw string) uint64 {
	text := strings.TrimSuffix(raw, "]")
	if len(text) < minPromptBytes {
		return 0
	}
	end := min(instructionsEnd(raw)+blockBytes, len(text))
	digest := scope.digest()
	_, _ = digest.WriteString(scope.Model)
	_, _ = digest.WriteString(fieldTerminator)
	_, _ = digest.WriteString(text[:end])
	return max(1, digest.Sum64())
}

// Salt returns a value that separates the entries of an engine's prefix cache by
// scope. The model is left out, since engines separate models themselves.
func (s Scope) Salt() string {
	digest := s.digest()
	return strconv.FormatUint(digest.Sum64(), saltNumberBase)
}

// digest returns a digest of the scope without the model.
func (s Scope) digest() xxhash.Digest {
	var digest xxhash.Digest
	digest.Reset()
	for _, field := range [...]string{s.Environment, s.Lane, s.Organisation} {
		_, _ = digest.WriteString(field)
		_, _ = digest.WriteString(fieldTerminator)
	}
	return digest
}

// instructionsEnd returns the offset of the end of the first message if it has the
// role of system or developer, at most maxInstructionBytes, and otherwise 0.
func instructionsEnd(raw string) int {
	if !strings.HasPrefix(raw, "[") {
		return 0
	}
	first := gjson.Get(raw[:min(len(raw), maxInstructionBytes)], "0")
	switch first.Get("role").String() {
	case "system", "developer":
		return first.Index + len(first.Raw)
	}
	return 0
}
