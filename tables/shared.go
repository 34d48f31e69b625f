package tables

const wholePercent = 100

// divideShared divides the capacity of a process that several plans name, so
// that their books together never exceed it. The trial lane gets its document's
// percentage and the production plans divide the rest evenly.
func (t *Tables) divideShared() {
	byAddress := map[string][]*Upstream{}
	trialPercent := map[string]int{}
	for _, plan := range t.Plans {
		for _, upstream := range plan.Upstreams {
			byAddress[upstream.Address] = append(byAddress[upstream.Address], upstream)
			if plan.Lane == Trial {
				trialPercent[upstream.ID] = plan.Document.Trial.CapacityPercent
			}
		}
	}
	for _, sharers := range byAddress {
		if len(sharers) > 1 {
			divide(sharers, trialPercent)
		}
	}
}

// divide gives each sharer its part, at least one slot.
func divide(sharers []*Upstream, trialPercent map[string]int) {
	left, productions := wholePercent, 0
	for _, upstream := range sharers {
		percent, isTrial := trialPercent[upstream.ID]
		if !isTrial {
			productions++
		}
		left -= percent
	}
	for _, upstream := range sharers {
		percent, isTrial := trialPercent[upstream.ID]
		if !isTrial {
			percent = max(left, 1) / productions
		}
		upstream.Slots = max(1, upstream.Slots*percent/wholePercent)
		upstream.KVTokens = upstream.KVTokens * percent / wholePercent
	}
}
