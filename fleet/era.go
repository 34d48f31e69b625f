package fleet

import (
	"maps"
	"time"
)

// The store begins a new era when it is restored from a backup that lacks its last seconds. What the
// operator and the upstreams wrote in them is written again a little later. Until then this node's
// state is newer than the store's: zones out of service, and upstreams that drain or are gone, are
// held. (A document is never replaced by one with a lower version, in any era.)
const (
	// eraHold is how long a zone that the backup has in service stays out of service: much
	// longer than the operator takes to write again. After that the store's state applies.
	eraHold = 30 * time.Second
	// goneHold is how long an upstream that had gone, and is in the backup again, gets nothing:
	// three heartbeats, after which the store itself drops an entry without them.
	goneHold = 6 * time.Second
	// departureTTL is how long departures are remembered.
	departureTTL = 2 * time.Minute
)

// departure records that an incarnation of an upstream was draining or that its entry was removed.
type departure struct {
	startedMs int64
	draining  bool
	at        time.Duration
}

// eraHolds is the state of a node that is newer than the backup with which the store's era began.
type eraHolds struct {
	// zones are out of service, by the end of the hold.
	zones map[string]time.Duration
	// departed are the upstreams that had departed when the era began, at upstreamsAt.
	departed    map[string]departure
	upstreamsAt time.Duration
}

// Era returns the store's era in which a table was read; 0 is not stated.
func (r *Replica) Era(table Table) int64 { return r.era[table] }

// BeginEra prepares a table for its first whole read in a later era: versions start anew.
func (r *Replica) BeginEra(table Table, era int64, now time.Duration) {
	r.era[table], r.revision[table], r.lastChange[table] = era, 0, 0
	if !r.known[table] {
		return
	}
	r.eraBeganAt[table] = now
	if table == OperatorTable {
		r.held.zones, r.zonesSaid = map[string]time.Duration{}, map[string]bool{}
		for zone := range r.view.ZonesOutOfService {
			r.held.zones[zone] = now + eraHold
		}
		return
	}
	// Entries that the backup lacks are written again, as after an outage.
	r.graceEndsAt = now + returnGrace
	before := r.held.departed
	r.held.departed, r.held.upstreamsAt = map[string]departure{}, now
	for id, entry := range r.view.Upstreams {
		// The backup may have an earlier incarnation.
		r.held.departed[id] = departure{startedMs: entry.StartedMs - 1}
	}
	for id, gone := range before {
		if gone.draining && now-gone.at <= departureTTL && gone.startedMs > r.held.departed[id].startedMs {
			r.held.departed[id] = gone
		}
	}
	for id, gone := range r.departures {
		r.held.departed[id] = gone
	}
}

// recordDeparture remembers an entry that drains or is removed.
func (r *Replica) recordDeparture(entry *Upstream, now time.Duration) {
	for id, gone := range r.departures {
		if now-gone.at > departureTTL {
			delete(r.departures, id)
		}
	}
	r.departures[entry.ID] = departure{startedMs: entry.StartedMs, draining: entry.Draining, at: now}
}

// holdBack makes an entry that is ready draining, if its incarnation is known to drain, or, for
// a while, if it is known to be gone.
func (r *Replica) holdBack(entry *Upstream) {
	if entry.Draining {
		return
	}
	gone, ok := r.held.departed[entry.ID]
	if !ok || entry.StartedMs > gone.startedMs {
		return
	}
	entry.Draining = true
	if !gone.draining {
		entry.heldUntil = r.held.upstreamsAt + goneHold
	}
}

// holdZones puts the zones out of service that the backup may have wrongly in service.
func (r *Replica) holdZones() {
	for zone := range r.held.zones {
		r.view.ZonesOutOfService[zone] = true
	}
}

// expireHolds ends the holds that have lasted long enough, if the store has answered since.
// It reports whether that changed the view; the maps of the view are then copies.
func (r *Replica) expireHolds(now time.Duration) bool {
	changed := false
	for zone, until := range r.held.zones {
		if now < until || r.freshAt[OperatorTable] < until {
			continue
		}
		delete(r.held.zones, zone)
		r.view.ZonesOutOfService = maps.Clone(r.view.ZonesOutOfService)
		delete(r.view.ZonesOutOfService, zone)
		changed = true
	}
	var returned []*Upstream
	for _, entry := range r.view.Upstreams {
		if entry.heldUntil != 0 && now >= entry.heldUntil && r.freshAt[UpstreamTable] >= entry.heldUntil {
			ready := *entry
			ready.Draining, ready.heldUntil = false, 0
			returned = append(returned, &ready)
		}
	}
	if len(returned) == 0 {
		return changed
	}
	r.view.Upstreams = maps.Clone(r.view.Upstreams)
	for _, entry := range returned {
		delete(r.held.departed, entry.ID)
		r.view.Upstreams[entry.ID] = entry
	}
	return true
}

// Holds returns, as an update for nodes that have read the backup only, this node's newer state in
// the first eraHold of an era; nil is nothing.
func (r *Replica) Holds(table Table, now time.Duration) *Update {
	if r.eraBeganAt[table] == 0 || now-r.eraBeganAt[table] > eraHold {
		return nil
	}
	update := &Update{Table: table, Era: r.era[table], Holds: true, FreshAt: r.ownAt[table]}
	if table == OperatorTable {
		if r.view.Configuration != nil {
			update.Changes = append(update.Changes, Change{Configuration: r.view.Configuration})
		}
		for zone := range r.held.zones {
			update.Changes = append(update.Changes, Change{Zone: zone})
		}
		return update
	}
	for id, gone := range r.held.departed {
		if gone.draining {
			update.Changes = append(update.Changes, Change{Upstream: &Upstream{ID: id, StartedMs: gone.startedMs, Draining: true}})
		}
	}
	return update
}

// ApplyHolds merges another node's holds, if they belong to the era that this node has read.
// It reports whether the view changed.
func (r *Replica) ApplyHolds(update Update, now time.Duration) bool {
	if !r.known[update.Table] || update.Era != r.era[update.Table] {
		return false
	}
	changed := false
	for _, change := range update.Changes {
		switch {
		case change.Configuration != nil:
			if r.view.Configuration == nil || change.Configuration.Version > r.view.Configuration.Version {
				r.view.Configuration, changed = change.Configuration, true
			}
		case change.Zone != "":
			// A zone of which the store has spoken in this era is not held again.
			if _, held := r.held.zones[change.Zone]; !held && !r.zonesSaid[change.Zone] {
				r.held.zones[change.Zone] = now + eraHold
				r.view.ZonesOutOfService = maps.Clone(r.view.ZonesOutOfService)
				r.view.ZonesOutOfService[change.Zone], changed = true, true
			}
		case change.Upstream != nil:
			changed = r.holdDraining(change.Upstream, now) || changed
		}
	}
	return changed
}

// holdDraining records that another node knew an incarnation to drain.
func (r *Replica) holdDraining(gone *Upstream, now time.Duration) bool {
	if known, ok := r.held.departed[gone.ID]; ok && known.draining && known.startedMs >= gone.StartedMs {
		return false
	}
	r.held.departed[gone.ID] = departure{startedMs: gone.StartedMs, draining: true, at: now}
	entry := r.view.Upstreams[gone.ID]
	if entry == nil || entry.Draining || entry.StartedMs > gone.StartedMs {
		return false
	}
	draining := *entry
	draining.Draining = true
	r.view.Upstreams = maps.Clone(r.view.Upstreams)
	r.view.Upstreams[gone.ID] = &draining
	return true
}
