package budgetrpc

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/budget"
)

// TestAnswersKeepTheirGrants sends random answers, in which some amounts are those
// that the node holds and lifetimes are equal or not.
func TestAnswersKeepTheirGrants(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		answer := budget.Answer{Sequence: seed, Keeper: "k", Clock: time.Minute}
		report := budget.Report{Keeper: "k"}
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

// randomGrant is a grant as a keeper makes it: what is the same is left out.
func randomGrant(random *rand.Rand, name string, sameLifetime bool) budget.Grant {
	amount := func() budget.Amount {
		return budget.Amount{Slots: random.IntN(300), KVTokens: random.IntN(1000) * kvUnit}
	}
	grant := budget.Grant{
		Resource:  name,
		SameShare: random.IntN(2) == 0,
		SameAside: random.IntN(2) == 0,
		Lifetime:  8 * time.Second,
	}
	if !sameLifetime {
		grant.Lifetime = time.Duration(random.IntN(9000)) * time.Millisecond
	}
	grant.StandbyIn = grant.Lifetime + time.Duration(random.IntN(2))*time.Second
	if !grant.SameShare {
		grant.Share = amount()
	}
	if !grant.SameAside {
		grant.Fallback, grant.Standby = amount(), amount()
	}
	return grant
}
