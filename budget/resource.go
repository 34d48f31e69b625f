package budget

// Resource describes what is shared.
type Resource struct {
	// Name is an upstream's ID or an organisation's name.
	Name     string
	Capacity Amount
	Ramp     Ramp
	// Lease names the lease that its keeper must hold. Many resources have one.
	Lease string
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

// standbyLimit is the most that all nodes together hold as standby.
func (r Resource) standbyLimit() Amount {
	return r.Capacity.Sub(r.fallbackLimit())
}
