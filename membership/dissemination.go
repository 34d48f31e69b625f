package membership

import (
	"net/netip"
	"time"
)

const (
	announceFanOut = 3
	// pageBudgetBytes limits the members on one sync page.
	pageBudgetBytes = 1000
)

// tickGossip sends queued updates to a random local peer between probes.
func (s *State) tickGossip(now time.Time) []Packet {
	if now.Before(s.nextGossip) || len(s.updates.remaining) == 0 {
		return nil
	}
	s.nextGossip = now.Add(gossipInterval)
	var packets []Packet
	for _, member := range s.randomLocalPeers(1, "") {
		message := s.message(Gossip)
		message.Updates = s.updates.take(&s.table)
		packets = append(packets, Packet{To: member.Address, Message: message})
	}
	return packets
}

// announce sends a new site version to a few members immediately.
func (s *State) announce() []Packet {
	var packets []Packet
	for _, member := range s.randomLocalPeers(announceFanOut, "") {
		packets = append(packets, Packet{To: member.Address, Message: s.message(Gossip)})
	}
	if !s.isContact() {
		return packets
	}
	for _, name := range s.otherDataCentres() {
		if target, ok := s.pickRecipient(name); ok {
			packets = append(packets, Packet{To: target.Address, Message: s.message(Gossip)})
		}
	}
	return packets
}

// tickSeeds pings a seed that is not a live member: every seedInterval while the
// node is alone or isolated, every seedHealInterval otherwise.
func (s *State) tickSeeds(now time.Time) []Packet {
	if now.Before(s.nextSeed) {
		return nil
	}
	alone := len(s.table.records) == 1
	s.nextSeed = now.Add(seedHealInterval)
	if alone || s.Isolated(now) {
		s.nextSeed = now.Add(seedInterval)
	}
	unjoined := s.unjoinedSeeds()
	if len(unjoined) == 0 {
		return nil
	}
	s.sequence++
	packet := s.ping(unjoined[s.rand.IntN(len(unjoined))], s.sequence)
	packet.Message.Updates = append(packet.Message.Updates, s.self)
	return []Packet{packet}
}

// unjoinedSeeds returns the seeds that are not live members.
func (s *State) unjoinedSeeds() []netip.AddrPort {
	live := map[netip.AddrPort]bool{}
	for _, r := range s.table.records {
		if r.Live() {
			live[r.Address] = true
		}
	}
	var found []netip.AddrPort
	for _, seed := range s.seeds {
		if !live[seed] {
			found = append(found, seed)
		}
	}
	return found
}

// requestSyncIfDiffers requests the sender's entries (anti-entropy) if its hash
// differs from this node's.
func (s *State) requestSyncIfDiffers(now time.Time, from netip.AddrPort, message Message) []Packet {
	scope := ""
	differs := message.Hash != s.table.totalHash
	// An Ack from another data centre comes from a seed, and a seed is asked for
	// the members of all data centres.
	if message.DataCentre != s.self.DataCentre && message.Kind != Ack && len(s.localPeers("")) > 0 {
		// A node of another data centre is asked only for the members of its own.
		scope = message.DataCentre
		differs = message.Kind == DataCentreSummary && s.summaryDiffers(message)
	}
	if !differs || now.Before(s.nextSync[scope]) {
		return nil
	}
	s.nextSync[scope] = now.Add(syncInterval)
	request := s.message(SyncRequest)
	request.Scope = scope
	for name, hash := range s.table.hashByDataCentre {
		request.Summaries = append(request.Summaries, Summary{DataCentre: name, Hash: hash})
	}
	return []Packet{{To: from, Message: request}}
}

func (s *State) summaryDiffers(message Message) bool {
	for _, summary := range message.Summaries {
		if summary.DataCentre == message.DataCentre {
			return summary.Hash != s.table.hashByDataCentre[summary.DataCentre]
		}
	}
	return false
}

// syncPages answers a SyncRequest with the members of each data centre whose hash
// differs, as far as the page tokens allow. The requester asks again for the pages
// left out, perhaps at another node; the random order makes each answer a
// different part.
func (s *State) syncPages(now time.Time, to netip.AddrPort, request Message) []Packet {
	requesterHashes := map[string]uint64{}
	for _, summary := range request.Summaries {
		requesterHashes[summary.DataCentre] = summary.Hash
	}
	members := s.table.list(func(r *record) bool {
		wanted := request.Scope == "" || request.Scope == r.DataCentre
		return wanted && requesterHashes[r.DataCentre] != s.table.hashByDataCentre[r.DataCentre]
	})
	var packets []Packet
	for len(members) > 0 {
		page := s.message(Sync)
		page.Scope = request.Scope
		budget := pageBudgetBytes
		for len(members) > 0 && budget >= encodedBytes(members[0]) && len(page.Updates) < maxUpdates {
			budget -= encodedBytes(members[0])
			page.Updates = append(page.Updates, members[0])
			members = members[1:]
		}
		packets = append(packets, Packet{To: to, Message: page})
	}
	s.rand.Shuffle(len(packets), func(i, j int) { packets[i], packets[j] = packets[j], packets[i] })
	return packets[:s.takePageTokens(now, len(packets))]
}

// takePageTokens takes tokens for up to wanted pages and returns how many it took.
func (s *State) takePageTokens(now time.Time, wanted int) int {
	s.pageTokens = min(pageBurst, s.pageTokens+now.Sub(s.pageTokensAt).Seconds()*pagesPerSecond)
	s.pageTokensAt = now
	taken := min(wanted, int(s.pageTokens))
	s.pageTokens -= float64(taken)
	return taken
}
