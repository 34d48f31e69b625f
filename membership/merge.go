package membership

import "time"

// mergeMessage merges the updates and summaries of a message into the view.
func (s *State) mergeMessage(now time.Time, message Message) {
	// Pages are passed on only if a contact requested them from another data
	// centre; a node that joins or lags receives what its peers already have.
	disseminate := message.Kind != Sync || message.Scope != ""
	for _, update := range message.Updates {
		s.merge(now, update, disseminate)
	}
	for _, summary := range message.Summaries {
		s.mergeSummary(now, summary)
	}
}

func (s *State) merge(now time.Time, update Member, disseminate bool) {
	if update.Name == s.self.Name {
		s.refute(now, update)
		return
	}
	known := s.table.records[update.Name]
	if known != nil && !update.overrides(known.Member) {
		return
	}
	// A tombstone is kept even for an unknown member: an older page that lists it
	// as live may still arrive.
	s.table.put(now, update)
	s.ensureDataCentre(now, update.DataCentre)
	if disseminate {
		s.updates.add(update.Name, s.localSize())
	}
}

// refute raises this node's incarnation if others have a newer one or hold the
// node as suspect, dead or left.
func (s *State) refute(now time.Time, update Member) {
	newer := update.Incarnation > s.self.Incarnation
	refutable := update.Incarnation == s.self.Incarnation && update.Status != Alive
	if s.leaving || !newer && !refutable {
		return
	}
	s.self.Incarnation = update.Incarnation + 1
	s.publishSelf(now)
}

// recordSiteVersion keeps the highest site version that the sender reported.
func (s *State) recordSiteVersion(message Message) {
	known := s.table.records[message.From]
	if known != nil && message.SiteVersion > known.siteVersion {
		known.siteVersion = message.SiteVersion
	}
}

func (s *State) suspect(now time.Time, name string) {
	known := s.table.records[name]
	if known == nil || known.Status != Alive {
		return
	}
	member := known.Member
	member.Status = Suspect
	s.table.put(now, member)
	s.updates.add(name, s.localSize())
}

// expireSuspicions declares suspects dead after suspicionTimeout. Only nodes of
// the suspect's data centre do so, and no isolated node.
func (s *State) expireSuspicions(now time.Time) {
	if s.table.suspects == 0 || s.Isolated(now) {
		return
	}
	expired := s.table.list(func(r *record) bool {
		return r.Status == Suspect && s.isLocal(r) && now.Sub(r.since) >= suspicionTimeout
	})
	for _, member := range expired {
		member.Status = Dead
		s.table.put(now, member)
		s.updates.add(member.Name, s.localSize())
	}
}

// cleanup removes expired tombstones and relays, and the members of data centres
// that have been unreachable for forgetAfter.
func (s *State) cleanup(now time.Time) {
	if now.Before(s.nextCleanup) {
		return
	}
	s.nextCleanup = now.Add(probeInterval)
	expired := s.table.list(func(r *record) bool {
		if r.Live() {
			return s.heartbeatAge(now, r.DataCentre) >= forgetAfter
		}
		return now.Sub(r.since) >= tombstoneRetention
	})
	for _, member := range expired {
		s.table.remove(member.Name)
	}
	for sequence, r := range s.relays {
		if now.After(r.expires) {
			delete(s.relays, sequence)
		}
	}
}
