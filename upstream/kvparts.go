package upstream

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// HeaderKVEngines carries to the lead of a group the engines that hold one
// prompt together, as ADDRESS=TOKENS separated by commas, the lead first.
const HeaderKVEngines = "X-KV-Engines"

// ErrKVParts is returned for a header that can't be read.
var ErrKVParts = eris.New("engine list not readable")

// KVPart is an engine's part of a prompt's memory, in tokens.
type KVPart struct {
	Address string
	Tokens  int
}

// FormatKVParts writes the header's value.
func FormatKVParts(parts []KVPart) string {
	words := make([]string, 0, len(parts))
	for _, one := range parts {
		words = append(words, one.Address+"="+strconv.Itoa(one.Tokens))
	}
	return strings.Join(words, ",")
}

// ParseKVParts reads the header's value; an empty one is no parts. Errors:
// ErrKVParts.
func ParseKVParts(value string) ([]KVPart, error) {
	if value == "" {
		return nil, nil
	}
	var parts []KVPart
	for word := range strings.SplitSeq(value, ",") {
		address, count, ok := strings.Cut(word, "=")
		tokens, err := strconv.Atoi(count)
		if !ok || err != nil || address == "" || tokens <= 0 {
			return nil, ErrKVParts
		}
		parts = append(parts, KVPart{strings.Clone(address), tokens})
	}
	return parts, nil
}
