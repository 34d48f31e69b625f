package upstream

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// HeaderKVEngines lists, for the lead of a group, the engines that together hold the
// KV memory of one prompt, as ADDRESS=TOKENS separated by commas, the lead first.
const HeaderKVEngines = "X-KV-Engines"

// ErrKVParts is returned for a malformed header value.
var ErrKVParts = eris.New("malformed list of KV engines")

// KVPart is an engine's part of a prompt's KV memory, in tokens.
type KVPart struct {
	Address string
	Tokens  int
}

// FormatKVParts returns the value of the header HeaderKVEngines.
func FormatKVParts(parts []KVPart) string {
	fields := make([]string, 0, len(parts))
	for _, part := range parts {
		fields = append(fields, part.Address+"="+strconv.Itoa(part.Tokens))
	}
	return strings.Join(fields, ",")
}

// ParseKVParts parses the value of the header HeaderKVEngines; an empty value gives
// no parts. Errors: ErrKVParts.
func ParseKVParts(value string) ([]KVPart, error) {
	if value == "" {
		return nil, nil
	}
	var parts []KVPart
	for field := range strings.SplitSeq(value, ",") {
		address, count, ok := strings.Cut(field, "=")
		tokens, err := strconv.Atoi(count)
		if !ok || err != nil || address == "" || tokens <= 0 {
			return nil, ErrKVParts
		}
		parts = append(parts, KVPart{strings.Clone(address), tokens})
	}
	return parts, nil
}
