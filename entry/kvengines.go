package entry

import (
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// setKVEngines sets the header that lists for the lead engine of a group the engines
// that hold the prompt's KV cache together. It removes the list of an earlier attempt.
func setKVEngines(header map[string]string, placement *dispatch.Placement) {
	delete(header, upstream.HeaderKVEngines)
	if len(placement.Group) == 0 {
		return
	}
	parts := make([]upstream.KVPart, 0, len(placement.Group))
	for i, engine := range placement.Group {
		parts = append(parts, upstream.KVPart{Address: engine.Address, Tokens: placement.GroupTokens[i]})
	}
	header[upstream.HeaderKVEngines] = upstream.FormatKVParts(parts)
}
