package membership

import "time"

// mergeAll takes in the updates and summaries of a message.
func (s *State) mergeAll(now time.Time, message Message) {
	// Pages are news to the data centre only when a contact asked for them; who
	// joins or has fallen behind learns what the others know.
	spread := message.Kind != Sync || message.Scope != ""
	for _, update := range message.Updates {
		s.merge(now, update, spread)
	}
	for _, summary := range message.Summaries {
		s.mergeSummary(now, summary)
	}
}

func (s *State) merge(now time.Time, update Member, spread bool) {
	if update.Name == s.self.Name {
		s.refute(now, update)
		return
	}
	known := s.table.records[update.Name]
	if known != nil && !update.overrides(known.Member) {
		return
	}
	// A tombstone is kept also of a member never heard of: an older page with it
	// as live may still come.
	s.table.put(now, update)
	s.noteCentre(now, update.DataCentre)
	if spread {
		s.updates.add(update.Name, s.centreSize())
	}
}

// refute answers what others say of this node under a later incarnation.
func (s *State) refute(now time.Time, update Member) {
	newer := update.Incarnation > s.self.Incarnation
	wrong := update.Incarnation == s.self.Incarnation && update.Status != Alive
	if s.leaving || !newer && !wrong {
		return
	}
	s.self.Incarnation = update.Incarnation + 1
	s.publishSelf(now)
}

// noteVersion keeps the sender's site version.
func (s *State) noteVersion(message Message) {
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
	s.updates.add(name, s.centreSize())
}

// expireSuspicions declares suspects dead. Only the suspect's own data centre
// does, and no node that hears nobody.
func (s *State) expireSuspicions(now time.Time) {
	if s.table.suspects == 0 || s.Isolated(now) {
		return
	}
	expired := s.table.list(func(r *record) bool {
		return r.Status == Suspect && s.sameCentre(r) && now.Sub(r.since) >= suspicionTime
	})
	for _, member := range expired {
		member.Status = Dead
		s.table.put(now, member)
		s.updates.add(member.Name, s.centreSize())
	}
}

// cleanup drops tombstones and the members of data centres gone for good.
func (s *State) cleanup(now time.Time) {
	if now.Before(s.nextCleanup) {
		return
	}
	s.nextCleanup = now.Add(probeInterval)
	old := s.table.list(func(r *record) bool {
		if r.Live() {
			return s.centreSilent(now, r.DataCentre) >= forgetAfter
		}
		return now.Sub(r.since) >= tombstoneTime
	})
	for _, member := range old {
		s.table.remove(member.Name)
	}
	for sequence, r := range s.relays {
		if now.After(r.expires) {
			delete(s.relays, sequence)
		}
	}
}
