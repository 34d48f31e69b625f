package membership

import (
	"maps"
	"slices"
	"time"
)

// dataCentreState is a node's entry for one data centre.
type dataCentreState struct {
	heartbeat uint64
	// advancedAt is when this node last saw the heartbeat increase.
	advancedAt time.Time
}

func (s *State) ensureDataCentre(now time.Time, name string) {
	if s.dataCentres[name] == nil {
		s.dataCentres[name] = &dataCentreState{advancedAt: now}
	}
}

func (s *State) mergeSummary(now time.Time, summary Summary) {
	s.ensureDataCentre(now, summary.DataCentre)
	known := s.dataCentres[summary.DataCentre]
	if summary.Heartbeat > known.heartbeat {
		known.heartbeat = summary.Heartbeat
		known.advancedAt = now
	}
}

// tickSummary sends a summary of the own data centre to each other one if this
// node is a contact.
func (s *State) tickSummary(now time.Time) []Packet {
	if now.Before(s.nextSummary) {
		return nil
	}
	s.nextSummary = now.Add(summaryInterval)
	if !s.isContact() {
		return nil
	}
	s.ensureDataCentre(now, s.self.DataCentre)
	own := s.dataCentres[s.self.DataCentre]
	own.heartbeat = max(own.heartbeat+1, uint64(now.UnixMilli()))
	own.advancedAt = now
	message := s.message(DataCentreSummary)
	message.Updates = s.updates.peek(&s.table, s.self.DataCentre)
	message.Summaries = []Summary{{
		DataCentre: s.self.DataCentre,
		Heartbeat:  own.heartbeat,
		Hash:       s.table.hashByDataCentre[s.self.DataCentre],
	}}
	var packets []Packet
	for _, name := range s.otherDataCentres() {
		if target, ok := s.pickRecipient(name); ok {
			packets = append(packets, Packet{To: target.Address, Message: message})
		}
	}
	return packets
}

// otherSummaries returns the heartbeats of the other data centres, for members of
// the own one.
func (s *State) otherSummaries() []Summary {
	var found []Summary
	for _, name := range s.otherDataCentres() {
		found = append(found, Summary{DataCentre: name, Heartbeat: s.dataCentres[name].heartbeat})
	}
	return found
}

func (s *State) otherDataCentres() []string {
	names := slices.Sorted(maps.Keys(s.dataCentres))
	return slices.DeleteFunc(names, func(name string) bool {
		return name == s.self.DataCentre || s.table.hashByDataCentre[name] == 0
	})
}

func (s *State) liveMembersIn(dataCentre string) []Member {
	return s.table.list(func(r *record) bool { return r.DataCentre == dataCentre && r.Live() })
}

func (s *State) isContact() bool {
	return slices.ContainsFunc(contacts(s.liveMembersIn(s.self.DataCentre)), func(m Member) bool { return m.Name == s.self.Name })
}

// contacts returns the members that exchange summaries for their data centre.
func contacts(among []Member) []Member {
	var found []Member
	for _, role := range contactRoles {
		if owner, ok := Owner(role, among); ok {
			found = append(found, owner)
		}
	}
	return found
}

// pickRecipient returns a live member of another data centre to send to. It is
// usually one of the contacts and sometimes any member, in case this view of the
// contacts is stale.
func (s *State) pickRecipient(dataCentre string) (Member, bool) {
	among := s.liveMembersIn(dataCentre)
	if len(among) == 0 {
		return Member{}, false
	}
	if s.rand.IntN(anyMemberOneIn) != 0 {
		among = contacts(among)
	}
	return among[s.rand.IntN(len(among))], true
}

// anyMemberOneIn is N where one in N messages to another data centre goes to a
// random member instead of a contact.
const anyMemberOneIn = 4

// contactRoles are the roles that make a member a contact.
var contactRoles = []string{"contact/0", "contact/1", "contact/2"}

func (s *State) isLocal(r *record) bool {
	return r.DataCentre == s.self.DataCentre
}

// localPeers returns the live members of the own data centre except this node and
// the named one.
func (s *State) localPeers(except string) []Member {
	return s.table.list(func(r *record) bool {
		return s.isLocal(r) && r.Live() && r.Name != s.self.Name && r.Name != except
	})
}

// randomLocalPeers returns up to count randomly chosen local peers.
func (s *State) randomLocalPeers(count int, except string) []Member {
	among := s.localPeers(except)
	s.rand.Shuffle(len(among), func(i, j int) { among[i], among[j] = among[j], among[i] })
	return among[:min(count, len(among))]
}

func (s *State) localSize() int {
	size := 0
	for _, r := range s.table.records {
		if s.isLocal(r) && r.Live() {
			size++
		}
	}
	return max(size, 1)
}

func (s *State) heartbeatAge(now time.Time, name string) time.Duration {
	known := s.dataCentres[name]
	if known == nil || name == s.self.DataCentre {
		return 0
	}
	return now.Sub(known.advancedAt)
}
