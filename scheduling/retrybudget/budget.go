// Package retrybudget bounds retries by a share of the first attempts, so that
// retries can't multiply an overload.
package retrybudget

// burst is the number of retries kept for a quiet time.
const burst = 3.0

// Budget counts first attempts and retries. The zero value holds a full burst.
type Budget struct{ spent float64 }

// Deposit counts a first attempt, which earns a share of a retry in percent.
func (b *Budget) Deposit(percent int) {
	b.spent = max(0, b.spent-float64(percent)/100)
}

// TryWithdraw takes one retry and reports whether the budget held it.
func (b *Budget) TryWithdraw() bool {
	if b.spent > burst-1 {
		return false
	}
	b.spent++
	return true
}
