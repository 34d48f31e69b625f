package loadshare

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/admission"
	"github.com/wigeontiller/wigeontiller/placement"
)

const (
	// maxDemands bounds the classes that a message holds.
	maxDemands = 16
	// demandTimeout is how long the demand of a node or zone counts without a new message.
	demandTimeout = unresponsiveAfter
	// demandRefresh is how often demand is sent again that did not change.
	demandRefresh = time.Second
	// demandInterval is how often a node looks for demand to be sent at once.
	demandInterval = 100 * time.Millisecond
	// demandChange is the part by which a number must change to be sent before demandRefresh.
	demandChange = 0.1
	// maxOwnDemandRate and maxBundleDemandRate bound, in bytes a second and beside the refreshes,
	// what a node sends to its relay, and a relay to a node, of demand that changes;
	// demandBurstBytes of it may be sent at once.
	maxOwnDemandRate, maxBundleDemandRate = 150, 400
	demandBurstBytes                      = 500
	// maxRelayDemandRate bounds what all nodes of a zone send to their relay together, and twice
	// as much what it sends to them.
	maxRelayDemandRate = 10_000
	// demandFraming is the rest of a datagram that holds demand only; a bundle is sent anyway.
	demandFraming = 45
	// relaysDemand names the demand that this node has from its relay to the scheduler.
	relaysDemand = "relay/demand"
)

// demandState is what a node keeps of the demand at others. Agent.mutex guards it.
type demandState struct {
	// sent is this node's demand as it was last sent.
	sent demandSender
	// bundled is the fleet's demand, and zoned that of its zone, as this node last sent them as relay.
	bundled, zoned demandSender
	// nodes holds the demand of single nodes, and zones that of other zones, to be summed.
	nodes map[uint32]heardDemand
	zones map[string]heardDemand
	// bundle is what this node has from its relay.
	bundle heardDemand
	// relayed is true while the scheduler has demand under relaysDemand.
	relayed bool
	// fleet is the demand of all nodes as far as it is known, for the metrics.
	fleet []admission.Demand
}

// heardDemand is the demand of one message. Its order is looked at apart from that of the totals, so that a
// message with demand that a later one overtakes counts.
type heardDemand struct {
	at                    time.Time
	sender                string
	incarnation, sequence uint64
	demands               []admission.Demand
}

// replaces reports whether the message is newer than another one of the same sender, or of another one.
func (h *heardDemand) replaces(other *heardDemand) bool {
	return h.sender != other.sender || h.incarnation != other.incarnation || h.sequence > other.sequence
}

func newDemandState() demandState {
	return demandState{nodes: map[uint32]heardDemand{}, zones: map[string]heardDemand{}}
}

// demandSender decides when demand is sent.
type demandSender struct {
	demands []admission.Demand
	at      time.Time
	// budget is what may still be sent at once, in bytes, as of budgetAt.
	budget   float64
	budgetAt time.Time
}

// due reports whether demand is to be sent: regularly, if there is some or was some when it was last
// sent, and at once if it changed and the budget allows it.
func (d *demandSender) due(now time.Time, demands []admission.Demand, bytesPerSecond float64) bool {
	if d.budgetAt.IsZero() {
		d.budget = demandBurstBytes
	} else {
		d.budget = min(demandBurstBytes, d.budget+bytesPerSecond*now.Sub(d.budgetAt).Seconds())
	}
	d.budgetAt = now
	if len(demands)+len(d.demands) == 0 {
		return false
	}
	return now.Sub(d.at) >= demandRefresh || d.budget > 0 && demandChanged(d.demands, demands)
}

// take records that demand is sent in so many bytes.
func (d *demandSender) take(now time.Time, demands []admission.Demand, framing int) []admission.Demand {
	d.budget = max(-demandBurstBytes, d.budget-float64(framing+len(appendDemands(nil, demands))))
	d.demands, d.at = demands, now
	return demands
}

// demandChanged reports whether what waits or arrives of a class changed by more than a tenth.
func demandChanged(before, now []admission.Demand) bool {
	known := make(map[admission.Class]admission.Demand, len(before))
	for _, demand := range before {
		known[demand.Class] = demand
	}
	for _, demand := range now {
		last := known[demand.Class]
		delete(known, demand.Class)
		if changed(float64(demand.OnTime), float64(last.OnTime)) || changed(float64(demand.Late), float64(last.Late)) || changed(demand.ArrivalsPerSecond, last.ArrivalsPerSecond) {
			return true
		}
	}
	return len(known) > 0
}

func changed(a, b float64) bool { return math.Abs(a-b) > demandChange*max(a, b) }

// boundDemands returns the classes with the most waiting, and of equal ones with the most arrivals,
// if there are more than a message holds.
func boundDemands(demands []admission.Demand) []admission.Demand {
	if len(demands) <= maxDemands {
		return demands
	}
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b admission.Demand) int {
		return cmp.Or(cmp.Compare(b.OnTime+b.Late, a.OnTime+a.Late), cmp.Compare(b.ArrivalsPerSecond, a.ArrivalsPerSecond))
	})
	return sorted[:maxDemands]
}

func (a *Agent) ownDemands() []admission.Demand {
	var demands []admission.Demand
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { demands = a.demandsOf(s, now) })
	return boundDemands(demands)
}

// addDemands adds this node's demand to a message, if it is due.
func (a *Agent) addDemands(m *message) bool {
	demands := a.ownDemands()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	if a.relay.acting || !a.demand.sent.due(now, demands, a.demandRate(maxOwnDemandRate, maxRelayDemandRate)) {
		return false
	}
	m.HasDemands, m.Demands = true, a.demand.sent.take(now, demands, demandFraming)
	return true
}

// demandRate returns a node's part of what a zone may send, in bytes a second; the mutex is held.
func (a *Agent) demandRate(most, zone float64) float64 {
	return min(most, zone/float64(max(1, len(a.relay.ranked[a.self.Zone]))))
}

// sendDemands sends this node's demand between two heartbeats, if it changed.
func (a *Agent) sendDemands() {
	m := &message{}
	if a.addDemands(m) {
		a.sendShares(m)
	}
}

// addRelayDemands adds the demand of all zones to a bundle, and that of this zone to the message to the
// other zones, if it is due, and gives this node's scheduler that of the others.
func (a *Agent) addRelayDemands(toNodes, toZones *message) {
	own := a.ownDemands()
	a.mutex.Lock()
	now := time.Now()
	members, others := a.heardDemands(now)
	zone := admission.Sum(append(members, own)...)
	fleet := boundDemands(admission.Sum(append(others, zone)...))
	zone = boundDemands(zone)
	rate := a.demandRate(maxBundleDemandRate, 2*maxRelayDemandRate)
	due := a.demand.bundled.due(now, fleet, rate)
	if due {
		toNodes.HasDemands, toNodes.Demands = true, a.demand.bundled.take(now, fleet, 0)
		a.demand.relayed = true
	}
	// A change that is small for the fleet may be large for the zone.
	if a.demand.zoned.due(now, zone, rate) {
		toZones.HasDemands, toZones.Demands = true, a.demand.zoned.take(now, zone, 0)
	}
	a.demand.fleet = fleet
	a.mutex.Unlock()
	if due {
		a.gate.Do(func(s *placement.Scheduler, now time.Duration) {
			a.setDemands(s, now, relaysDemand, admission.Less(fleet, own))
		})
	}
}

// heardDemands returns the demand of this zone's other nodes and of the other zones that were heard
// lately, and forgets the rest; the mutex is held.
func (a *Agent) heardDemands(now time.Time) (members, zones [][]admission.Demand) {
	for hash, heard := range a.demand.nodes {
		if now.Sub(heard.at) > demandTimeout {
			delete(a.demand.nodes, hash)
			continue
		}
		members = append(members, heard.demands)
	}
	for zone, heard := range a.demand.zones {
		if now.Sub(heard.at) > demandTimeout {
			delete(a.demand.zones, zone)
			continue
		}
		zones = append(zones, heard.demands)
	}
	return members, zones
}

// forgetDemand forgets the demand of a node that is gone or has started again; the mutex is held.
func (a *Agent) forgetDemand(name string) { delete(a.demand.nodes, nodeHash(name)) }

// applyDemands merges the demand of a message.
func (a *Agent) applyDemands(m *message) {
	if !m.HasDemands {
		return
	}
	now, source := time.Now(), ""
	demands := m.Demands
	a.mutex.Lock()
	zone := a.peers[m.Node].node.Zone
	hash := nodeHash(m.Node)
	heard := heardDemand{at: now, sender: m.Node, incarnation: m.Incarnation, sequence: m.Sequence, demands: demands}
	node, other := a.demand.nodes[hash], a.demand.zones[zone]
	switch {
	case m.Bundle != nil:
		if a.currentRelay(now) != m.Node || a.relay.acting || !heard.replaces(&a.demand.bundle) {
			break
		}
		a.demand.bundle = heard
		// The relay counted this node as it was last sent.
		source, a.demand.relayed, a.demand.fleet = relaysDemand, true, demands
		demands = admission.Less(demands, a.demand.sent.demands)
	case len(m.Zones) > 0:
		if from := a.relay.zones[zone]; zone != a.self.Zone && from != nil && from.relay == hash && from.incarnation == m.Incarnation && heard.replaces(&other) {
			a.demand.zones[zone] = heard
		}
	case !heard.replaces(&node):
	case !m.Relayed:
		a.demand.nodes[hash] = heard
		source = m.Node
	case zone == a.self.Zone:
		a.demand.nodes[hash] = heard
	}
	a.mutex.Unlock()
	if source != "" {
		a.gate.Do(func(s *placement.Scheduler, now time.Duration) { a.setDemands(s, now, source, demands) })
	}
}

// checkDemands drops the relay's demand after the fleet became small, and reports the fleet's.
func (a *Agent) checkDemands() {
	own := a.ownDemands()
	a.mutex.Lock()
	drop := a.demand.relayed && !a.relayed()
	a.demand.relayed = a.demand.relayed && !drop
	fleet := a.demand.fleet
	if !a.relayed() {
		members, _ := a.heardDemands(time.Now())
		fleet = admission.Sum(append(members, own)...)
	}
	a.mutex.Unlock()
	if drop {
		a.gate.Do(func(s *placement.Scheduler, _ time.Duration) { s.RemoveNode(relaysDemand) })
	}
	onTime, late, arrivals := 0, 0, 0.0
	for _, demand := range fleet {
		onTime += demand.OnTime
		late += demand.Late
		arrivals += demand.ArrivalsPerSecond
	}
	a.metrics.Gauge("wigeontiller_fleet_waiting_on_time", int64(onTime))
	a.metrics.Gauge("wigeontiller_fleet_waiting_late", int64(late))
	a.metrics.Gauge("wigeontiller_fleet_arrivals_per_second", int64(math.Round(arrivals)))
}

// arrivalsScale encodes arrivals in hundredths a second.
const arrivalsScale = 100

func appendDemands(b []byte, demands []admission.Demand) []byte {
	demands = demands[:min(len(demands), maxDemands)]
	b = append(b, byte(len(demands)))
	for _, demand := range demands {
		b = binary.BigEndian.AppendUint32(b, demand.Service)
		b = append(b, demand.Priority)
		b = binary.AppendUvarint(b, uint64(max(0, demand.OnTime)))
		b = binary.AppendUvarint(b, uint64(max(0, demand.Late)))
		b = appendScaled(b, demand.ArrivalsPerSecond*arrivalsScale)
		b = appendScaled(b, demand.PlaceMs)
	}
	return b
}

// appendScaled appends a rounded number that may be out of range.
func appendScaled(b []byte, value float64) []byte {
	if !(value > 0) {
		value = 0
	}
	return binary.AppendUvarint(b, uint64(math.Round(min(value, maxCount))))
}

func (r *fieldReader) demands() []admission.Demand {
	count := r.bytes(1)
	if r.failed || count[0] > maxDemands {
		r.failed = true
		return nil
	}
	demands := make([]admission.Demand, 0, count[0])
	for n := count[0]; n > 0 && !r.failed; n-- {
		demand := admission.Demand{Class: admission.Class{Service: r.hash()}}
		if priority := r.bytes(1); !r.failed {
			demand.Priority = priority[0]
		}
		demand.OnTime, demand.Late = r.count(), r.count()
		demand.ArrivalsPerSecond = float64(r.count()) / arrivalsScale
		demand.PlaceMs = float64(r.count())
		demands = append(demands, demand)
	}
	return demands
}
