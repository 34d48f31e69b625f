package wigeontiller

import "time"

// rateStandbyDelay is how long a node must ask for a share of a rate in vain until
// it takes the rate's keeper for gone: longer than a keeper's lease.
const rateStandbyDelay = 13 * time.Second

// rateStandby finds the organisations' rates that no keeper divides.
type rateStandby struct {
	// asked maps a rate to since when it was asked for in vain.
	asked map[string]time.Time
	// unkept holds the rates that no keeper divides.
	unkept map[string]bool
}

func newRateStandby() rateStandby {
	return rateStandby{asked: map[string]time.Time{}, unkept: map[string]bool{}}
}

// see takes in whether a rate is wanted and whether the node has a share of it.
func (r rateStandby) see(now time.Time, key string, wanted, shared bool) {
	if shared || !wanted {
		delete(r.asked, key)
	}
	if shared {
		delete(r.unkept, key)
	}
	if shared || !wanted {
		return
	}
	since, ok := r.asked[key]
	if !ok {
		r.asked[key] = now
		return
	}
	if now.Sub(since) >= rateStandbyDelay {
		r.unkept[key] = true
	}
}
