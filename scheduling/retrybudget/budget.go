// Package retrybudget limits retries to a percentage of first attempts, so that
// retries can't amplify an overload.
package retrybudget

// maxBurstRetries is the number of retries that can be saved up.
const maxBurstRetries = 3.0

// Budget is a retry budget. The zero value allows a full burst.
type Budget struct{ spent float64 }

// Deposit counts a first attempt, which adds the given percentage of one retry.
func (b *Budget) Deposit(percent int) {
	b.spent = max(0, b.spent-float64(percent)/100)
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *Budget) TryWithdraw() bool {
	if b.spent > maxBurstRetries-1 {
		return false
	}
	b.spent++
	return true
}
