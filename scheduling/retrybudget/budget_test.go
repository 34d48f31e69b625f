package retrybudget

import (
	"testing"

	"github.com/matryer/is"
)

func TestRetriesStayWithinPercentageOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	var b Budget
	retries := 0
	for range 1000 {
		b.Deposit(10)
		for b.TryWithdraw() {
			retries++
		}
	}
	is.True(retries <= 100+maxBurstRetries)
	is.True(retries >= 100-1)
}
