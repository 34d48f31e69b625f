package budgetrpc

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/budget"
)

// TestAnswerRoundTripKeepsGrants encodes and decodes random answers, in which
// some amounts are those that the node already holds and lifetimes are equal or
// not.
func TestAnswerRoundTripKeepsGrants(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		answer := budget.Answer{Sequence: seed, Allocator: "k", Clock: time.Minute}
		report := budget.Report{Allocator: "k"}
		for i := range random.IntN(12) {
			name := fmt.Sprint("engine-", i)
			report.Usages = append(report.Usages, budget.Usage{Resource: name})
			answer.Grants = append(answer.Grants, randomGrant(random, name, seed%2 == 0))
		}
		got, err := DecodeAnswer(EncodeAnswer(answer, "k"), report)
		is.NoErr(err)
		is.Equal(len(got.Grants), len(answer.Grants))
		for i, want := range answer.Grants {
			is.Equal(got.Grants[i], want)
		}
	}
}

// randomGrant returns a grant as an allocator makes it: equal amounts are left
// out.
func randomGrant(random *rand.Rand, name string, sameLifetime bool) budget.Grant {
	amount := func() budget.Amount {
		return budget.Amount{Slots: random.IntN(300), KVTokens: random.IntN(1000) * kvUnit}
	}
	grant := budget.Grant{
		Resource:    name,
		SameShare:   random.IntN(2) == 0,
		SameReserve: random.IntN(2) == 0,
		Lifetime:    8 * time.Second,
	}
	if !sameLifetime {
		grant.Lifetime = time.Duration(random.IntN(9000)) * time.Millisecond
	}
	grant.StandbyIn = grant.Lifetime + time.Duration(random.IntN(2))*time.Second
	if !grant.SameShare {
		grant.Share = amount()
	}
	if !grant.SameReserve {
		grant.Fallback, grant.Standby = amount(), amount()
	}
	return grant
}
