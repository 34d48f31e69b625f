package tables

const fullPercent = 100

// splitSharedCapacity splits the capacity of a process that several plans name, so
// that their reservations together never exceed it. The trial lane gets its
// document's percentage and the production plans split the remainder evenly.
func (t *Tables) splitSharedCapacity() {
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
	for _, upstreams := range byAddress {
		if len(upstreams) > 1 {
			splitCapacity(upstreams, trialPercent)
		}
	}
}

// splitCapacity sets the share of each upstream, at least one slot.
func splitCapacity(upstreams []*Upstream, trialPercent map[string]int) {
	remainingPercent, productionCount := fullPercent, 0
	for _, upstream := range upstreams {
		percent, isTrial := trialPercent[upstream.ID]
		if !isTrial {
			productionCount++
		}
		remainingPercent -= percent
	}
	for _, upstream := range upstreams {
		percent, isTrial := trialPercent[upstream.ID]
		if !isTrial {
			percent = max(remainingPercent, 1) / productionCount
		}
		upstream.Slots = max(1, upstream.Slots*percent/fullPercent)
		upstream.KVTokens = upstream.KVTokens * percent / fullPercent
	}
}
