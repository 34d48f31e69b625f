package soak

// checkPromotions looks at the answers of operators that raced.
func checkPromotions(r *Record, i *Invariant) {
	won := map[uint64]Promotion{}
	for _, promotion := range r.Promotions {
		if !promotion.Accepted {
			i.Checked++
			continue
		}
		first, twice := won[promotion.Replaces]
		i.hold(!twice, "version %d was replaced by %d (%s) and by %d (%s)",
			promotion.Replaces, first.Version, first.Operator, promotion.Version, promotion.Operator)
		won[promotion.Replaces] = promotion
	}
}

// checkVersionFalls looks at each process on its own.
func checkVersionFalls(r *Record, i *Invariant) {
	last := map[string]VersionSample{}
	for _, sample := range r.Versions {
		before := last[sample.Node]
		i.hold(sample.Version >= before.Version, "%s had version %d at %v and %d at %v",
			sample.Node, before.Version, before.At, sample.Version, sample.At)
		last[sample.Node] = sample
	}
}

func checkCounters(r *Record, i *Invariant) {
	for _, read := range r.Counters {
		i.hold(read.Broken == 0, "%s counts %g breaches", read.Node, read.Broken)
	}
}
