package wigeontiller

import "time"

// rateStandbyDelay is how long a node must demand a share of a rate without getting
// one before it assumes that the rate has no allocator. It is longer than an
// allocator's lease.
const rateStandbyDelay = 13 * time.Second

// rateStandby detects the organisations' rates that no allocator divides.
type rateStandby struct {
	// waitingSince maps a rate to when it was first demanded without a share.
	waitingSince map[string]time.Time
	// unallocated holds the rates that no allocator divides.
	unallocated map[string]bool
}

func newRateStandby() rateStandby {
	return rateStandby{waitingSince: map[string]time.Time{}, unallocated: map[string]bool{}}
}

// update records whether a rate is in demand and whether the node has a share of it.
func (r rateStandby) update(now time.Time, key string, demanded, shared bool) {
	if shared || !demanded {
		delete(r.waitingSince, key)
	}
	if shared {
		delete(r.unallocated, key)
	}
	if shared || !demanded {
		return
	}
	since, ok := r.waitingSince[key]
	if !ok {
		r.waitingSince[key] = now
		return
	}
	if now.Sub(since) >= rateStandbyDelay {
		r.unallocated[key] = true
	}
}
