package budget

// Resource describes what is shared.
type Resource struct {
	// Name is an upstream's ID or an organisation's name.
	Name     string
	Capacity Amount
	Ramp     Ramp
	// Voters is the most nodes that can vote on the resource's keeper at once.
	Voters int
	// Ballot names the resource whose pledges count for this one too, so that
	// many resources need one vote; it is empty for a resource with its own.
	Ballot string
	// NodeSlotsPercent and NodeKVPercent are the most that one node may hold.
	NodeSlotsPercent, NodeKVPercent int
	// FallbackPercent is the share of the capacity given out as fallback.
	FallbackPercent int
	// Rate is true when a share is a rate, of which nothing remains in use once
	// it has expired.
	Rate bool
}

// nodeLimit is the most that one node may hold, rounded up.
func (r Resource) nodeLimit() Amount {
	return Amount{
		Slots:    ceilDiv(r.Capacity.Slots*r.NodeSlotsPercent, 100),
		KVTokens: ceilDiv(r.Capacity.KVTokens*r.NodeKVPercent, 100),
	}
}

// fallbackLimit is the most that all nodes together hold as fallback.
func (r Resource) fallbackLimit() Amount {
	return r.Capacity.Scale(min(float64(r.FallbackPercent)/100, r.Ramp.Initial()))
}
