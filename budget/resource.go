package budget

// Resource describes shared capacity.
type Resource struct {
	// Name is an upstream's ID or an organisation's name.
	Name     string
	Capacity Amount
	Ramp     Ramp
	// Lease names the lease that the resource's allocator must hold. One lease
	// covers many resources.
	Lease string
	// NodeSlotsPercent and NodeKVPercent are the most that one node may hold,
	// in percent of the capacity.
	NodeSlotsPercent, NodeKVPercent int
	// FallbackPercent is the percentage of the capacity that is given out as
	// fallback shares.
	FallbackPercent int
	// Rate is true when a share is a rate, of which nothing stays in use after
	// it has expired.
	Rate bool
}

// nodeLimit returns the most that one node may hold, rounded up.
func (r Resource) nodeLimit() Amount {
	return Amount{
		Slots:    ceilDiv(r.Capacity.Slots*r.NodeSlotsPercent, 100),
		KVTokens: ceilDiv(r.Capacity.KVTokens*r.NodeKVPercent, 100),
	}
}

// fallbackLimit returns the most that all nodes together hold as fallback.
func (r Resource) fallbackLimit() Amount {
	return r.Capacity.Scale(min(float64(r.FallbackPercent)/100, r.Ramp.Initial()))
}

// standbyLimit returns the most that all nodes together hold as standby.
func (r Resource) standbyLimit() Amount {
	return r.Capacity.Sub(r.fallbackLimit())
}
