package membership

import (
	"net/netip"
	"time"
)

// probe is the one outstanding probe of a node.
type probe struct {
	target   Member
	sequence uint64
	// indirect is when other nodes are asked; failed is when the target is suspected.
	indirect, failed time.Time
	asked            bool
}

// relay is a ping on behalf of another node.
type relay struct {
	origin   netip.AddrPort
	sequence uint64
	expires  time.Time
}

func (s *State) tickProbe(now time.Time) []Packet {
	if s.probe != nil {
		return s.continueProbe(now)
	}
	if now.Before(s.nextProbe) {
		return nil
	}
	s.nextProbe = now.Add(s.probePace())
	target, ok := s.nextTarget()
	if !ok {
		return nil
	}
	s.sequence++
	s.probe = &probe{
		target:   target,
		sequence: s.sequence,
		indirect: now.Add(probeTimeout),
		failed:   now.Add(probeLimit),
	}
	return []Packet{s.ping(target.Address, s.sequence)}
}

// probePace is the time between two probes.
func (s *State) probePace() time.Duration {
	if s.table.suspects > 0 {
		return alarmInterval
	}
	return probeInterval
}

func (s *State) continueProbe(now time.Time) []Packet {
	if !now.Before(s.probe.failed) {
		if !s.Isolated(now) {
			s.suspect(now, s.probe.target.Name)
		}
		s.probe = nil
		return nil
	}
	if s.probe.asked || now.Before(s.probe.indirect) {
		return nil
	}
	s.probe.asked = true
	request := s.message(PingRequest)
	request.Sequence = s.probe.sequence
	request.Target = s.probe.target.Address
	var packets []Packet
	for _, helper := range s.pickCentre(indirectProbes, s.probe.target.Name) {
		packets = append(packets, Packet{To: helper.Address, Message: request})
	}
	return packets
}

func (s *State) ping(to netip.AddrPort, sequence uint64) Packet {
	message := s.message(Ping)
	message.Sequence = sequence
	message.Updates = s.updates.take(&s.table)
	message.Summaries = s.knownSummaries()
	return Packet{To: to, Message: message}
}

// nextTarget walks a shuffled ring of the data centre, so that each member is
// probed within a bounded time.
func (s *State) nextTarget() (Member, bool) {
	for range 2 {
		for len(s.ring) > 0 {
			name := s.ring[0]
			s.ring = s.ring[1:]
			if known := s.table.records[name]; known != nil && known.Live() && s.sameCentre(known) {
				return known.Member, true
			}
		}
		s.fillRing()
	}
	return Member{}, false
}

func (s *State) fillRing() {
	for _, member := range s.localPeers("") {
		s.ring = append(s.ring, member.Name)
	}
	s.rand.Shuffle(len(s.ring), func(i, j int) { s.ring[i], s.ring[j] = s.ring[j], s.ring[i] })
}

func (s *State) relayPing(now time.Time, from netip.AddrPort, message Message) []Packet {
	if !message.Target.IsValid() {
		return nil
	}
	s.sequence++
	s.relays[s.sequence] = relay{origin: from, sequence: message.Sequence, expires: now.Add(probeInterval)}
	return []Packet{s.ping(message.Target, s.sequence)}
}

// acknowledged ends the probe, or passes the answer on to who asked for it.
func (s *State) acknowledged(message Message) []Packet {
	if s.probe != nil && s.probe.sequence == message.Sequence {
		s.probe = nil
		return nil
	}
	waiting, ok := s.relays[message.Sequence]
	if !ok {
		return nil
	}
	delete(s.relays, message.Sequence)
	reply := s.message(Ack)
	reply.Sequence = waiting.sequence
	return []Packet{{To: waiting.origin, Message: reply}}
}
