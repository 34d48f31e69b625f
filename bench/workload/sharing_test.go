package workload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSharingKeepsLengthsAndOrganisations(t *testing.T) {
	is := is.New(t)
	config := Config{Seed: 3, Duration: time.Minute, PromptTokensPerSecond: 1_000_000, Nodes: 8, DataCentres: 3, Organisations: 10}
	plain := Generate(config)
	config.Sharing = UsualSharing()
	config.Sharing.Stays = true
	shared := Generate(config)
	is.Equal(len(plain), len(shared))
	owner := map[uint64]int{}
	for i, request := range shared {
		is.Equal(request.PromptTokens, plain[i].PromptTokens)
		is.Equal(request.At, plain[i].At)
		is.True(request.Node >= 0 && request.Node < config.Nodes)
		before := 0
		for _, segment := range request.Segments {
			is.True(segment.Tokens > before) // segments grow
			before = segment.Tokens
			first, known := owner[segment.Hash]
			is.True(!known || first == request.Organisation) // no prefix of another organisation
			owner[segment.Hash] = request.Organisation
		}
		is.Equal(before, request.PromptTokens)
	}
	is.Equal(Reusable(plain), 0.0)
	is.True(Reusable(shared) > 0.1)
}
