package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	probeInterval = time.Second
	// alarmInterval is the probes' interval while a member is suspected: a rack
	// or a switch takes several members at once.
	alarmInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// probeLimit is when a probe has failed, indirect ones included.
	probeLimit      = 600 * time.Millisecond
	indirectProbes  = 3
	suspicionTime   = 4 * time.Second
	gossipInterval  = 500 * time.Millisecond
	summaryInterval = time.Second
	syncInterval    = 5 * time.Second
	// pagesPerSecond and pageBurst bound the pages that a node answers with.
	pagesPerSecond = 10
	pageBurst      = 40
	seedInterval   = time.Second
	// seedHealInterval paces joins of seeds that are not members, so that two
	// halves that lost each other for good meet again.
	seedHealInterval = 10 * time.Second
	// unreachableAfter is how long a data centre's beat may stand still.
	unreachableAfter = 15 * time.Second
	// isolatedAfter is how long a node may hear nobody.
	isolatedAfter = 3 * time.Second
	// pauseAfter is the gap between ticks that counts as a pause of the process.
	pauseAfter = 2 * time.Second
	// tombstoneTime is longer than regions lose each other for.
	tombstoneTime = 2 * time.Hour
	// forgetAfter is when the members of an unreachable data centre are dropped.
	forgetAfter = 24 * time.Hour
	// TickInterval is how often the shell calls Tick.
	TickInterval = 100 * time.Millisecond
)

// State is one node's view. It is not safe for concurrent use.
type State struct {
	self    Member
	rand    *rand.Rand
	table   table
	updates updates
	centres map[string]*centre
	seeds   []netip.AddrPort
	// siteVersion is the configuration in force here.
	siteVersion uint64
	leaving     bool
	// pagesLeft is the allowance of pages at the time pagesAt.
	pagesLeft float64
	pagesAt   time.Time

	lastTick, lastHeard   time.Time
	nextProbe, nextGossip time.Time
	nextSummary           time.Time
	nextSeed, nextCleanup time.Time
	sequence              uint64
	// nextSync is by scope, so that changes elsewhere do not keep a contact from
	// asking its own data centre.
	nextSync map[string]time.Time
	ring     []string
	probe    *probe
	relays   map[uint64]relay
}

// New returns a view that knows only the node itself. The incarnation is the
// time of the start, so that a restart overrides what is left of the last one.
func New(self Member, now time.Time, random *rand.Rand) *State {
	self.Status = Alive
	self.Incarnation = uint64(now.UnixMilli())
	state := &State{
		self:     self,
		rand:     random,
		table:    newTable(),
		updates:  newUpdates(),
		centres:  map[string]*centre{},
		relays:   map[uint64]relay{},
		nextSync: map[string]time.Time{},
		lastTick: now,
		// Spread the rounds of nodes that start together.
		nextProbe:   now.Add(time.Duration(random.Int64N(int64(probeInterval)))),
		nextSummary: now.Add(time.Duration(random.Int64N(int64(summaryInterval)))),
	}
	state.publishSelf(now)
	return state
}

// Tick moves time on and returns what to send.
func (s *State) Tick(now time.Time) []Packet {
	s.forgivePause(now)
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

// Receive takes one message in and returns what to send.
func (s *State) Receive(now time.Time, from netip.AddrPort, message Message) []Packet {
	if message.From == s.self.Name {
		return nil
	}
	s.lastHeard = now
	s.mergeAll(now, message)
	s.noteVersion(message)
	if s.leaving {
		return nil
	}
	packets := s.answer(now, from, message)
	if message.Kind != SyncRequest && message.Kind != Sync {
		packets = append(packets, s.syncIfDiffers(now, from, message)...)
	}
	return packets
}

func (s *State) answer(now time.Time, from netip.AddrPort, message Message) []Packet {
	switch message.Kind {
	case Ping:
		return []Packet{s.ack(from, message)}
	case Ack:
		return s.acknowledged(message)
	case PingRequest:
		return s.relayPing(now, from, message)
	case SyncRequest:
		return s.pages(now, from, message)
	}
	return nil
}

// ack answers a ping. A sender that is held as dead is told so, to refute it.
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
		Hash:        s.table.total,
	}
}

// Leave announces that the node goes and sends nothing after that.
func (s *State) Leave(now time.Time) []Packet {
	s.self.Status = Left
	s.table.put(now, s.self)
	s.leaving = true
	note := s.message(Gossip)
	note.Updates = []Member{s.self}
	var packets []Packet
	for _, member := range s.table.list(func(r *record) bool { return s.sameCentre(r) && r.Live() }) {
		packets = append(packets, Packet{To: member.Address, Message: note})
	}
	for _, name := range s.otherCentres() {
		if target, ok := s.contact(name); ok {
			packets = append(packets, Packet{To: target.Address, Message: note})
		}
	}
	return packets
}

// SetSiteVersion tells the others of the configuration in force here.
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

// SetSeeds replaces the addresses to join by.
func (s *State) SetSeeds(seeds []netip.AddrPort) {
	s.seeds = seeds
}

func (s *State) publishSelf(now time.Time) {
	s.table.put(now, s.self)
	s.updates.add(s.self.Name, s.centreSize())
}

// forgivePause keeps a process that was stopped from blaming the others for it.
func (s *State) forgivePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	if gap < pauseAfter {
		return
	}
	s.probe = nil
	for _, r := range s.table.records {
		if r.Status == Suspect {
			r.since = r.since.Add(gap)
		}
	}
	for _, c := range s.centres {
		c.changed = c.changed.Add(gap)
	}
}
