package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	probeInterval = time.Second
	// suspectProbeInterval replaces probeInterval while a member is suspected: a
	// failed rack or switch takes down several members at once.
	suspectProbeInterval = 500 * time.Millisecond
	// directProbeTimeout is the time without an ack after which indirect probes start.
	directProbeTimeout = 300 * time.Millisecond
	// totalProbeTimeout is the time after which a probe has failed, indirect ones
	// included.
	totalProbeTimeout  = 600 * time.Millisecond
	indirectProbeCount = 3
	suspicionTimeout   = 4 * time.Second
	gossipInterval     = 500 * time.Millisecond
	summaryInterval    = time.Second
	syncInterval       = 5 * time.Second
	// pagesPerSecond and pageBurst are the token bucket for the pages that a node
	// sends in reply to sync requests.
	pagesPerSecond = 10
	pageBurst      = 40
	seedInterval   = time.Second
	// seedHealInterval is the interval at which a joined node pings seeds that are
	// not members, so that two halves that have dropped each other merge again.
	seedHealInterval = 10 * time.Second
	// unreachableAfter is the heartbeat age at which a data centre is unreachable.
	unreachableAfter = 15 * time.Second
	// isolatedAfter is the time without a received message after which a node is isolated.
	isolatedAfter = 3 * time.Second
	// pauseThreshold is the gap between ticks that counts as a pause of the process.
	pauseThreshold = 2 * time.Second
	// tombstoneRetention exceeds the longest expected partition between regions.
	tombstoneRetention = 2 * time.Hour
	// forgetAfter is the heartbeat age at which the members of an unreachable data
	// centre are removed.
	forgetAfter = 24 * time.Hour
	// TickInterval is the interval at which the agent calls State.Tick.
	TickInterval = 100 * time.Millisecond
)

// State is one node's view of the membership. It is not safe for concurrent use.
type State struct {
	self        Member
	rand        *rand.Rand
	table       table
	updates     updateQueue
	dataCentres map[string]*dataCentreState
	seeds       []netip.AddrPort
	// siteVersion is the version of the configuration in force at this node.
	siteVersion uint64
	leaving     bool
	// pageTokens is the token bucket's level at the time pageTokensAt.
	pageTokens   float64
	pageTokensAt time.Time

	lastTick, lastReceived time.Time
	nextProbe, nextGossip  time.Time
	nextSummary            time.Time
	nextSeed, nextCleanup  time.Time
	sequence               uint64
	// nextSync is keyed by scope, so that changes in other data centres do not
	// delay a contact's sync with its own.
	nextSync map[string]time.Time
	// probeQueue holds the members still to probe in this round, in random order.
	probeQueue []string
	probe      *probe
	relays     map[uint64]relay
}

// New returns a view that holds only the node itself. The incarnation is the
// start time in Unix milliseconds, so that a restart overrides the entries of the
// previous process.
func New(self Member, now time.Time, random *rand.Rand) *State {
	self.Status = Alive
	self.Incarnation = uint64(now.UnixMilli())
	state := &State{
		self:        self,
		rand:        random,
		table:       newTable(),
		updates:     newUpdateQueue(),
		dataCentres: map[string]*dataCentreState{},
		relays:      map[uint64]relay{},
		nextSync:    map[string]time.Time{},
		lastTick:    now,
		// Random offsets keep nodes that start together from sending in step.
		nextProbe:   now.Add(time.Duration(random.Int64N(int64(probeInterval)))),
		nextSummary: now.Add(time.Duration(random.Int64N(int64(summaryInterval)))),
	}
	state.publishSelf(now)
	return state
}

// Tick runs the periodic work that is due and returns the packets to send.
func (s *State) Tick(now time.Time) []Packet {
	s.compensatePause(now)
	s.lastTick = now
	if s.leaving {
		return nil
	}
	var packets []Packet
	packets = append(packets, s.tickSeeds(now)...)
	packets = append(packets, s.tickProbe(now)...)
	packets = append(packets, s.tickGossip(now)...)
	packets = append(packets, s.tickSummary(now)...)
	s.expireSuspicions(now)
	s.cleanup(now)
	return packets
}

// Receive processes one message and returns the packets to send.
func (s *State) Receive(now time.Time, from netip.AddrPort, message Message) []Packet {
	if message.From == s.self.Name {
		return nil
	}
	s.lastReceived = now
	s.mergeMessage(now, message)
	s.recordSiteVersion(message)
	if s.leaving {
		return nil
	}
	packets := s.respond(now, from, message)
	if message.Kind != SyncRequest && message.Kind != Sync {
		packets = append(packets, s.requestSyncIfDiffers(now, from, message)...)
	}
	return packets
}

func (s *State) respond(now time.Time, from netip.AddrPort, message Message) []Packet {
	switch message.Kind {
	case Ping:
		return []Packet{s.ack(from, message)}
	case Ack:
		return s.handleAck(message)
	case PingRequest:
		return s.relayPing(now, from, message)
	case SyncRequest:
		return s.syncPages(now, from, message)
	}
	return nil
}

// ack answers a ping. If the view does not hold the sender as alive, the ack
// includes that entry so that the sender can refute it.
func (s *State) ack(to netip.AddrPort, message Message) Packet {
	reply := s.message(Ack)
	reply.Sequence = message.Sequence
	reply.Updates = s.updates.take(&s.table)
	if known := s.table.records[message.From]; known != nil && known.Status != Alive {
		reply.Updates = append(reply.Updates, known.Member)
	}
	return Packet{To: to, Message: reply}
}

func (s *State) message(kind Kind) Message {
	return Message{
		Kind:        kind,
		From:        s.self.Name,
		DataCentre:  s.self.DataCentre,
		SiteVersion: s.siteVersion,
		Hash:        s.table.totalHash,
	}
}

// Leave announces that the node leaves. The state sends nothing afterwards.
func (s *State) Leave(now time.Time) []Packet {
	s.self.Status = Left
	s.table.put(now, s.self)
	s.leaving = true
	message := s.message(Gossip)
	message.Updates = []Member{s.self}
	var packets []Packet
	for _, member := range s.table.list(func(r *record) bool { return s.isLocal(r) && r.Live() }) {
		packets = append(packets, Packet{To: member.Address, Message: message})
	}
	for _, name := range s.otherDataCentres() {
		if target, ok := s.pickRecipient(name); ok {
			packets = append(packets, Packet{To: target.Address, Message: message})
		}
	}
	return packets
}

// SetSiteVersion sets the version of the configuration in force at this node and
// returns the packets that announce it; older versions are ignored.
func (s *State) SetSiteVersion(version uint64) []Packet {
	if version <= s.siteVersion {
		return nil
	}
	s.siteVersion = version
	if s.leaving {
		return nil
	}
	return s.announce()
}

// SetSeeds replaces the addresses that the node joins through.
func (s *State) SetSeeds(seeds []netip.AddrPort) {
	s.seeds = seeds
}

func (s *State) publishSelf(now time.Time) {
	s.table.put(now, s.self)
	s.updates.add(s.self.Name, s.localSize())
}

// compensatePause keeps a process that was paused from counting its own pause as
// silence of the other members.
func (s *State) compensatePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	if gap < pauseThreshold {
		return
	}
	s.probe = nil
	for _, r := range s.table.records {
		if r.Status == Suspect {
			r.since = r.since.Add(gap)
		}
	}
	for _, c := range s.dataCentres {
		c.advancedAt = c.advancedAt.Add(gap)
	}
}
