package entry

import (
	"github.com/wigeontiller/wigeontiller/dispatch"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// setKVEngines tells the lead which engines hold the prompt with it. Another
// attempt's list is taken out.
func setKVEngines(header map[string]string, placement *dispatch.Placement) {
	delete(header, upstream.HeaderKVEngines)
	if len(placement.Group) == 0 {
		return
	}
	parts := make([]upstream.KVPart, 0, len(placement.Group))
	for i, one := range placement.Group {
		parts = append(parts, upstream.KVPart{Address: one.Address, Tokens: placement.GroupTokens[i]})
	}
	header[upstream.HeaderKVEngines] = upstream.FormatKVParts(parts)
}
