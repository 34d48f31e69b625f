// Package loadshare exchanges between the nodes of a fleet, by datagrams, the load that
// each has placed on the upstreams. A lost datagram costs little: all totals are sent
// again, and pending prefill time decreases by itself.
//
// Lock order: Agent.mutex is a leaf; the scheduler takes it under its own lock, for SenderRank.
package loadshare

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/admission"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/quarantine"
)

// errMalformed is returned for a datagram that is not in this format.
var errMalformed = eris.New("malformed datagram")

// formatVersion is the first byte of each datagram.
const formatVersion = 4

// message is one datagram.
type message struct {
	Node string
	// Incarnation increases with each start of the node.
	Incarnation uint64
	Sequence    uint64
	// Full is true if Shares, or Members, holds all totals.
	Full bool
	// Relayed is true if the relay of the sender's zone passes the sender's totals on, so that
	// they are part of the zone's sums.
	Relayed bool
	// SentAt is the time of sending, on the sender's clock.
	SentAt time.Duration
	// HasClaims is true if Claims is set.
	HasClaims bool
	// Claims give the revision and age of the sender's view, by table; times are on its clock.
	Claims [2]fleet.Watermark
	// ShuttingDown is true if the node shuts down.
	ShuttingDown bool
	Shares       []placement.LoadUpdate
	// Update holds changes of upstreams, with a time on the sender's clock; nil is none.
	Update *fleet.Update
	// Announced describes the sender to nodes that may not have it in their directory; nil is
	// not stated.
	Announced *Node
	// Bundle is what a relay sends to the nodes of its zone; nil for other messages.
	Bundle *bundle
	// Zones are the sums of zones, as their relays sent them.
	Zones []zoneLoad
	// Evidence is about the features of requests that crash upstreams, with times on the sender's clock;
	// nil is none.
	Evidence *quarantine.Evidence
	// Limits are what upstreams stated, with times on the sender's clock.
	Limits []placement.LimitUpdate
	// HasDemands is true if Demands is set, which may be empty: in a bundle it is the demand at all
	// nodes, in a message with the sums of the sender's zone that of the zone, and else the sender's.
	// Older versions ignore it, and what appendProgress writes, as these are the last sections.
	HasDemands bool
	Demands    []admission.Demand
}

// bundle is the load of the nodes of one zone, by node.
type bundle struct {
	// Nodes is the number of the zone's nodes that share limits.
	Nodes   int
	Members []memberLoad
}

// memberLoad is the load of one node of a relay's zone.
type memberLoad struct {
	// Hash identifies the node.
	Hash         uint32
	ShuttingDown bool
	Shares       []placement.LoadUpdate
}

// zoneLoad is the sum of the load of a zone's nodes, by its relay.
type zoneLoad struct {
	Zone string
	// Relay identifies the node that made the sum, in its Incarnation.
	Relay       uint32
	Incarnation uint64
	Sequence    uint64
	// Full is true if Shares holds all of the zone's totals.
	Full bool
	// Nodes is the number of the zone's nodes that share limits.
	Nodes  int
	Shares []placement.LoadUpdate
}

const (
	flagFull         = 1
	flagShuttingDown = 2
	flagUpdate       = 4
	flagRelayed      = 8
	flagAnnounced    = 16
	flagClaims       = 32
	flagBundle       = 64
	flagZones        = 128
	flagEvidence     = 256
	flagLimits       = 512
	flagDemands      = 1024
	flagProgress     = 2048
	// fixedPointScale encodes prefill time in tenths of a ms and speed factors in tenths.
	fixedPointScale = 10
	// capacityScale encodes the processor share of a machine in thousandths.
	capacityScale = 1000
)

// flags returns the second and third byte of the datagram.
func (m *message) flags() uint16 {
	var flags uint16
	for flag, set := range map[uint16]bool{
		flagFull: m.Full, flagShuttingDown: m.ShuttingDown, flagUpdate: m.Update != nil, flagRelayed: m.Relayed,
		flagAnnounced: m.Announced != nil, flagClaims: m.HasClaims, flagBundle: m.Bundle != nil, flagZones: len(m.Zones) > 0,
		flagEvidence: m.Evidence != nil, flagLimits: len(m.Limits) > 0, flagDemands: m.HasDemands,
		flagProgress: m.Evidence != nil,
	} {
		if set {
			flags |= flag
		}
	}
	return flags
}

func (m *message) encode() []byte {
	b := binary.BigEndian.AppendUint16([]byte{formatVersion}, m.flags())
	b = appendText(b, m.Node)
	b = binary.AppendUvarint(b, m.Incarnation)
	b = binary.AppendUvarint(b, m.Sequence)
	b = binary.AppendUvarint(b, uint64(m.SentAt.Microseconds()))
	if m.HasClaims {
		for _, claim := range m.Claims {
			b = binary.AppendUvarint(b, uint64(max(0, claim.Era)))
			b = binary.AppendUvarint(b, uint64(max(0, claim.LastChange)))
			b = binary.AppendUvarint(b, uint64(max(0, claim.Revision-claim.LastChange)))
			b = binary.AppendUvarint(b, uint64(max(0, (m.SentAt-claim.FreshAt).Microseconds())))
		}
	}
	b = appendShares(b, m.Shares)
	if m.Update != nil {
		b = appendUpdate(b, m.Update, m.SentAt)
	}
	if m.Announced != nil {
		b = appendText(b, m.Announced.Zone)
		b = binary.AppendUvarint(b, uint64(max(0, m.Announced.Capacity)*capacityScale))
	}
	if m.Bundle != nil {
		b = appendBundle(b, m.Bundle)
	}
	if len(m.Zones) > 0 {
		b = appendZones(b, m.Zones)
	}
	if m.Evidence != nil {
		b = appendEvidence(b, m.Evidence, m.SentAt)
	}
	if len(m.Limits) > 0 {
		b = appendLimits(b, m.Limits, m.SentAt)
	}
	if m.HasDemands {
		b = appendDemands(b, m.Demands)
	}
	if m.Evidence != nil {
		b = appendProgress(b, m.Evidence, m.SentAt)
	}
	return b
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// fieldReader decodes the fields of a datagram in order. failed stays true after the first
// malformed field.
type fieldReader struct {
	data   []byte
	failed bool
}

func (r *fieldReader) uvarint() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return value
}

func (r *fieldReader) varint() int64 {
	value, n := binary.Varint(r.data)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return max(-maxCount, min(value, maxCount))
}

func (r *fieldReader) bytes(n uint64) []byte {
	if n > uint64(len(r.data)) {
		r.failed = true
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

func (r *fieldReader) text() string { return string(r.bytes(r.uvarint())) }

// maxCount bounds each count that a datagram reports for an upstream.
const maxCount = 1 << 32

// maxMicroseconds is 100 years.
const maxMicroseconds = 100 * 366 * 24 * 3600 * 1_000_000

func (r *fieldReader) microseconds() int64 { return int64(min(r.uvarint(), maxMicroseconds)) }

func (r *fieldReader) count() int { return int(min(r.uvarint(), maxCount)) }

func decode(data []byte) (*message, error) {
	const fixed = 3
	if len(data) < fixed || data[0] != formatVersion {
		return nil, errMalformed
	}
	flags := binary.BigEndian.Uint16(data[1:])
	m := &message{Full: flags&flagFull != 0, ShuttingDown: flags&flagShuttingDown != 0}
	m.Relayed, m.HasClaims = flags&flagRelayed != 0, flags&flagClaims != 0
	r := &fieldReader{data: data[fixed:]}
	m.Node = r.text()
	m.Incarnation = r.uvarint()
	m.Sequence = r.uvarint()
	m.SentAt = time.Duration(r.microseconds()) * time.Microsecond
	if m.HasClaims {
		for i := range m.Claims {
			m.Claims[i].Era = r.version()
			m.Claims[i].LastChange = r.version()
			m.Claims[i].Revision = m.Claims[i].LastChange + int64(r.count())
			m.Claims[i].FreshAt = m.SentAt - time.Duration(r.microseconds())*time.Microsecond
		}
	}
	m.Shares = r.shares()
	if flags&flagUpdate != 0 {
		m.Update = r.update(m.SentAt)
	}
	if flags&flagAnnounced != 0 {
		m.Announced = &Node{Name: m.Node, Zone: r.text(), Capacity: float64(r.count()) / capacityScale}
	}
	if flags&flagBundle != 0 {
		m.Bundle = r.bundle()
	}
	if flags&flagZones != 0 {
		m.Zones = r.zones()
	}
	if flags&flagEvidence != 0 {
		m.Evidence = r.evidence(m.SentAt)
	}
	if flags&flagLimits != 0 {
		m.Limits = r.limits(m.SentAt)
	}
	if flags&flagDemands != 0 {
		m.HasDemands, m.Demands = true, r.demands()
	}
	if flags&flagProgress != 0 && m.Evidence != nil {
		r.progress(m.Evidence, m.SentAt)
	}
	if r.failed || m.Node == "" {
		return nil, errMalformed
	}
	return m, nil
}
