package bench

import (
	"github.com/wigeontiller/wigeontiller/bench/model"
	"github.com/wigeontiller/wigeontiller/bench/workload"
)

const (
	// blockTokens is the length of the block after the system prompt that a
	// prefix hash covers, as in package prefix.
	blockTokens = 512
	// spread makes hashes of different lengths different.
	spread = 0x9e3779b97f4a7c15
)

// prefixHash is what an entry node would make of the prompt's text, or 0. Two
// prompts that share the segment at the block's end are the same up to there.
func prefixHash(request *workload.Request) uint64 {
	if len(request.Segments) == 0 {
		return 0
	}
	end := blockTokens
	if request.Segments[0].System {
		end += request.Segments[0].Tokens
	}
	end = min(end, request.PromptTokens)
	at := 0
	for request.Segments[at].Tokens < end {
		at++
	}
	return max(1, request.Segments[at].Hash^uint64(end)*spread)
}

// segmentsOf is what an engine's cache can hold of the prompt.
func segmentsOf(request *workload.Request) []model.Segment {
	var segments []model.Segment
	for _, segment := range request.Segments {
		segments = append(segments, model.Segment{Hash: segment.Hash, Tokens: segment.Tokens})
	}
	return segments
}
