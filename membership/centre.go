package membership

import (
	"maps"
	"slices"
	"time"
)

// centre is what a node keeps of a data centre.
type centre struct {
	beat uint64
	// changed is when the beat last grew here.
	changed time.Time
}

func (s *State) noteCentre(now time.Time, name string) {
	if s.centres[name] == nil {
		s.centres[name] = &centre{changed: now}
	}
}

func (s *State) mergeSummary(now time.Time, summary Summary) {
	s.noteCentre(now, summary.DataCentre)
	known := s.centres[summary.DataCentre]
	if summary.Beat > known.beat {
		known.beat = summary.Beat
		known.changed = now
	}
}

// tickSummary lets a contact tell each other data centre of its own.
func (s *State) tickSummary(now time.Time) []Packet {
	if now.Before(s.nextSummary) {
		return nil
	}
	s.nextSummary = now.Add(summaryInterval)
	if !s.isContact() {
		return nil
	}
	s.noteCentre(now, s.self.DataCentre)
	own := s.centres[s.self.DataCentre]
	own.beat = max(own.beat+1, uint64(now.UnixMilli()))
	own.changed = now
	note := s.message(SummaryNote)
	note.Updates = s.updates.peek(&s.table, s.self.DataCentre)
	note.Summaries = []Summary{{
		DataCentre: s.self.DataCentre,
		Beat:       own.beat,
		Hash:       s.table.hashes[s.self.DataCentre],
	}}
	var packets []Packet
	for _, name := range s.otherCentres() {
		if target, ok := s.contact(name); ok {
			packets = append(packets, Packet{To: target.Address, Message: note})
		}
	}
	return packets
}

// knownSummaries returns the beats for the own data centre's members.
func (s *State) knownSummaries() []Summary {
	var found []Summary
	for _, name := range s.otherCentres() {
		found = append(found, Summary{DataCentre: name, Beat: s.centres[name].beat})
	}
	return found
}

func (s *State) otherCentres() []string {
	names := slices.Sorted(maps.Keys(s.centres))
	return slices.DeleteFunc(names, func(name string) bool {
		return name == s.self.DataCentre || s.table.hashes[name] == 0
	})
}

func (s *State) liveIn(dataCentre string) []Member {
	return s.table.list(func(r *record) bool { return r.DataCentre == dataCentre && r.Live() })
}

func (s *State) isContact() bool {
	return slices.ContainsFunc(contacts(s.liveIn(s.self.DataCentre)), func(m Member) bool { return m.Name == s.self.Name })
}

// contacts returns the members that speak for their data centre.
func contacts(among []Member) []Member {
	var found []Member
	for _, role := range contactRoles {
		if owner, ok := Owner(role, among); ok {
			found = append(found, owner)
		}
	}
	return found
}

// contact returns whom to tell in another data centre: mostly one of its
// contacts, now and then anyone, in case this view of them is old.
func (s *State) contact(dataCentre string) (Member, bool) {
	among := s.liveIn(dataCentre)
	if len(among) == 0 {
		return Member{}, false
	}
	if s.rand.IntN(anyoneEvery) != 0 {
		among = contacts(among)
	}
	return among[s.rand.IntN(len(among))], true
}

// anyoneEvery is how many notes to another data centre go to one chosen among
// all of its members.
const anyoneEvery = 4

// contactRoles are the roles that make a member a contact.
var contactRoles = []string{"contact/0", "contact/1", "contact/2"}

func (s *State) sameCentre(r *record) bool {
	return r.DataCentre == s.self.DataCentre
}

// localPeers returns the other live members of the data centre but one.
func (s *State) localPeers(but string) []Member {
	return s.table.list(func(r *record) bool {
		return s.sameCentre(r) && r.Live() && r.Name != s.self.Name && r.Name != but
	})
}

// pickCentre returns up to count local peers by chance.
func (s *State) pickCentre(count int, but string) []Member {
	among := s.localPeers(but)
	s.rand.Shuffle(len(among), func(i, j int) { among[i], among[j] = among[j], among[i] })
	return among[:min(count, len(among))]
}

func (s *State) centreSize() int {
	size := 0
	for _, r := range s.table.records {
		if s.sameCentre(r) && r.Live() {
			size++
		}
	}
	return max(size, 1)
}

func (s *State) centreSilent(now time.Time, name string) time.Duration {
	known := s.centres[name]
	if known == nil || name == s.self.DataCentre {
		return 0
	}
	return now.Sub(known.changed)
}
