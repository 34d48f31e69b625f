package membership

import (
	"net/netip"
	"time"
)

const (
	announceFanOut = 3
	// pageBudgetBytes bounds the members on one page.
	pageBudgetBytes = 1000
)

// tickGossip sends news on between probes.
func (s *State) tickGossip(now time.Time) []Packet {
	if now.Before(s.nextGossip) || len(s.updates.left) == 0 {
		return nil
	}
	s.nextGossip = now.Add(gossipInterval)
	var packets []Packet
	for _, member := range s.pickCentre(1, "") {
		note := s.message(Gossip)
		note.Updates = s.updates.take(&s.table)
		packets = append(packets, Packet{To: member.Address, Message: note})
	}
	return packets
}

// announce tells a few members of a new site version at once.
func (s *State) announce() []Packet {
	var packets []Packet
	for _, member := range s.pickCentre(announceFanOut, "") {
		packets = append(packets, Packet{To: member.Address, Message: s.message(Gossip)})
	}
	if !s.isContact() {
		return packets
	}
	for _, name := range s.otherCentres() {
		if target, ok := s.contact(name); ok {
			packets = append(packets, Packet{To: target.Address, Message: s.message(Gossip)})
		}
	}
	return packets
}

// tickSeeds joins: fast while nobody is known, slowly afterwards.
func (s *State) tickSeeds(now time.Time) []Packet {
	if now.Before(s.nextSeed) {
		return nil
	}
	alone := len(s.table.records) == 1
	s.nextSeed = now.Add(seedHealInterval)
	if alone || s.Isolated(now) {
		s.nextSeed = now.Add(seedInterval)
	}
	strangers := s.strangers()
	if len(strangers) == 0 {
		return nil
	}
	s.sequence++
	packet := s.ping(strangers[s.rand.IntN(len(strangers))], s.sequence)
	packet.Message.Updates = append(packet.Message.Updates, s.self)
	return []Packet{packet}
}

// strangers returns the seeds that are no live members.
func (s *State) strangers() []netip.AddrPort {
	known := map[netip.AddrPort]bool{}
	for _, r := range s.table.records {
		if r.Live() {
			known[r.Address] = true
		}
	}
	var found []netip.AddrPort
	for _, seed := range s.seeds {
		if !known[seed] {
			found = append(found, seed)
		}
	}
	return found
}

// syncIfDiffers asks the sender for what this node does not hold as it does.
func (s *State) syncIfDiffers(now time.Time, from netip.AddrPort, message Message) []Packet {
	scope := ""
	differs := message.Hash != s.table.total
	// An Ack from elsewhere comes from a seed, and a seed is asked for all.
	if message.DataCentre != s.self.DataCentre && message.Kind != Ack && len(s.localPeers("")) > 0 {
		// Of another data centre only its own members are asked for.
		scope = message.DataCentre
		differs = message.Kind == SummaryNote && s.summaryDiffers(message)
	}
	if !differs || now.Before(s.nextSync[scope]) {
		return nil
	}
	s.nextSync[scope] = now.Add(syncInterval)
	request := s.message(SyncRequest)
	request.Scope = scope
	for name, hash := range s.table.hashes {
		request.Summaries = append(request.Summaries, Summary{DataCentre: name, Hash: hash})
	}
	return []Packet{{To: from, Message: request}}
}

func (s *State) summaryDiffers(message Message) bool {
	for _, summary := range message.Summaries {
		if summary.DataCentre == message.DataCentre {
			return summary.Hash != s.table.hashes[summary.DataCentre]
		}
	}
	return false
}

// pages answers a SyncRequest with the members of each data centre that differs,
// as far as the allowance goes. What is cut off is asked for again, perhaps of
// another node; the order by chance makes each answer a different part.
func (s *State) pages(now time.Time, to netip.AddrPort, request Message) []Packet {
	theirs := map[string]uint64{}
	for _, summary := range request.Summaries {
		theirs[summary.DataCentre] = summary.Hash
	}
	members := s.table.list(func(r *record) bool {
		wanted := request.Scope == "" || request.Scope == r.DataCentre
		return wanted && theirs[r.DataCentre] != s.table.hashes[r.DataCentre]
	})
	var packets []Packet
	for len(members) > 0 {
		page := s.message(Sync)
		page.Scope = request.Scope
		budget := pageBudgetBytes
		for len(members) > 0 && budget >= sizeOf(members[0]) && len(page.Updates) < maxUpdates {
			budget -= sizeOf(members[0])
			page.Updates = append(page.Updates, members[0])
			members = members[1:]
		}
		packets = append(packets, Packet{To: to, Message: page})
	}
	s.rand.Shuffle(len(packets), func(i, j int) { packets[i], packets[j] = packets[j], packets[i] })
	return packets[:s.takePages(now, len(packets))]
}

// takePages returns how many of the wanted pages the allowance covers.
func (s *State) takePages(now time.Time, wanted int) int {
	s.pagesLeft = min(pageBurst, s.pagesLeft+now.Sub(s.pagesAt).Seconds()*pagesPerSecond)
	s.pagesAt = now
	taken := min(wanted, int(s.pagesLeft))
	s.pagesLeft -= float64(taken)
	return taken
}
