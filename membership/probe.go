package membership

import (
	"net/netip"
	"time"
)

// probe is the one outstanding probe of a node.
type probe struct {
	target   Member
	sequence uint64
	// indirectAt is when indirect probes are requested; failsAt is when the target
	// becomes suspect.
	indirectAt, failsAt time.Time
	indirectSent        bool
}

// relay is a ping sent on behalf of another node.
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
	s.nextProbe = now.Add(s.currentProbeInterval())
	target, ok := s.nextTarget()
	if !ok {
		return nil
	}
	s.sequence++
	s.probe = &probe{
		target:     target,
		sequence:   s.sequence,
		indirectAt: now.Add(directProbeTimeout),
		failsAt:    now.Add(totalProbeTimeout),
	}
	return []Packet{s.ping(target.Address, s.sequence)}
}

// currentProbeInterval returns the time between two probes.
func (s *State) currentProbeInterval() time.Duration {
	if s.table.suspects > 0 {
		return suspectProbeInterval
	}
	return probeInterval
}

func (s *State) continueProbe(now time.Time) []Packet {
	if !now.Before(s.probe.failsAt) {
		if !s.Isolated(now) {
			s.suspect(now, s.probe.target.Name)
		}
		s.probe = nil
		return nil
	}
	if s.probe.indirectSent || now.Before(s.probe.indirectAt) {
		return nil
	}
	s.probe.indirectSent = true
	request := s.message(PingRequest)
	request.Sequence = s.probe.sequence
	request.Target = s.probe.target.Address
	var packets []Packet
	for _, peer := range s.randomLocalPeers(indirectProbeCount, s.probe.target.Name) {
		packets = append(packets, Packet{To: peer.Address, Message: request})
	}
	return packets
}

func (s *State) ping(to netip.AddrPort, sequence uint64) Packet {
	message := s.message(Ping)
	message.Sequence = sequence
	message.Updates = s.updates.take(&s.table)
	message.Summaries = s.otherSummaries()
	return Packet{To: to, Message: message}
}

// nextTarget returns the next member to probe. It goes through the data centre's
// members in shuffled rounds, so that each is probed within a bounded time.
func (s *State) nextTarget() (Member, bool) {
	for range 2 {
		for len(s.probeQueue) > 0 {
			name := s.probeQueue[0]
			s.probeQueue = s.probeQueue[1:]
			if known := s.table.records[name]; known != nil && known.Live() && s.isLocal(known) {
				return known.Member, true
			}
		}
		s.refillProbeQueue()
	}
	return Member{}, false
}

func (s *State) refillProbeQueue() {
	for _, member := range s.localPeers("") {
		s.probeQueue = append(s.probeQueue, member.Name)
	}
	s.rand.Shuffle(len(s.probeQueue), func(i, j int) { s.probeQueue[i], s.probeQueue[j] = s.probeQueue[j], s.probeQueue[i] })
}

func (s *State) relayPing(now time.Time, from netip.AddrPort, message Message) []Packet {
	if !message.Target.IsValid() {
		return nil
	}
	s.sequence++
	s.relays[s.sequence] = relay{origin: from, sequence: message.Sequence, expires: now.Add(probeInterval)}
	return []Packet{s.ping(message.Target, s.sequence)}
}

// handleAck ends the outstanding probe, or relays the ack to the node that
// requested the indirect probe.
func (s *State) handleAck(message Message) []Packet {
	if s.probe != nil && s.probe.sequence == message.Sequence {
		s.probe = nil
		return nil
	}
	pending, ok := s.relays[message.Sequence]
	if !ok {
		return nil
	}
	delete(s.relays, message.Sequence)
	reply := s.message(Ack)
	reply.Sequence = pending.sequence
	return []Packet{{To: pending.origin, Message: reply}}
}
