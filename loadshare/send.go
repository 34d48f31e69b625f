package loadshare

import (
	"net/netip"
	"time"

	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/quarantine"
)

// ScheduleFlush sends the changed shares to the peers after a short delay. It never blocks.
func (a *Agent) ScheduleFlush() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.flushPending {
		return
	}
	a.flushPending = true
	delay := flushDelay
	if a.relayed() {
		delay = relayedFlushDelay
	}
	time.AfterFunc(delay, a.flush)
}

func (a *Agent) flush() {
	a.mutex.Lock()
	a.flushPending = false
	acting := a.relay.acting
	a.mutex.Unlock()
	if acting {
		// The next bundle takes the changes along.
		return
	}
	var shares []placement.LoadUpdate
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { shares = s.LoadUpdates(now, false) })
	evidence, limits := a.evidenceToSend(quarantine.Unsent), a.limitsToSend(placement.Unsent)
	if len(shares)+len(limits) > 0 || evidence != nil {
		a.sendShares(&message{Shares: shares, Evidence: evidence, Limits: limits})
	}
}

// sendShares sends this node's totals to those that need them: all peers, or this zone's relay
// and its deputy.
func (a *Agent) sendShares(m *message) {
	a.mutex.Lock()
	now, relayed := time.Now(), a.relayed()
	var targets []netip.AddrPort
	switch {
	case relayed:
		targets = a.relayTargets(now)
	case m.Full:
		targets = a.targetsWith(now, maxProbed)
	default:
		targets = a.activeTargets(now)
	}
	a.mutex.Unlock()
	m.Relayed = relayed
	if !relayed {
		a.addClaims(m)
	}
	a.send(m, targets)
}

// addClaims adds this node's claims.
func (a *Agent) addClaims(m *message) {
	m.HasClaims, m.Claims = true, a.View.Claims()
}

// send completes the message's head and sends it as one datagram to each target.
func (a *Agent) send(m *message, targets []netip.AddrPort) {
	a.mutex.Lock()
	a.sequence++
	m.Node, m.Incarnation, m.Sequence = a.self.Name, a.incarnation, a.sequence
	m.SentAt, m.ShuttingDown = a.clock(), a.shuttingDown
	a.mutex.Unlock()
	data := m.encode()
	for _, address := range targets {
		if _, err := a.conn.WriteToUDPAddrPort(data, address); err != nil {
			a.metrics.Count("wigeontiller_datagrams_unsent_total", 1)
		}
	}
	a.metrics.Count("wigeontiller_datagrams_sent_total", int64(len(targets)))
	a.metrics.Count("wigeontiller_datagram_bytes_sent_total", int64(len(targets)*len(data)))
}

// heartbeat sends all of this node's totals and checks the peers.
func (a *Agent) heartbeat() {
	a.mutex.Lock()
	acting := a.relay.acting
	a.mutex.Unlock()
	if !acting {
		var shares []placement.LoadUpdate
		a.gate.Do(func(s *placement.Scheduler, now time.Duration) { shares = s.LoadUpdates(now, true) })
		evidenceScope, limitScope := quarantine.All, placement.All
		if a.isRelayed() {
			// The relay's bundles hold the rest.
			evidenceScope, limitScope = quarantine.Own, placement.Own
		}
		m := &message{Full: true, Shares: shares, Evidence: a.evidenceToSend(evidenceScope), Limits: a.limitsToSend(limitScope)}
		a.addDemands(m)
		a.sendShares(m)
	}
	a.checkPeers()
}
