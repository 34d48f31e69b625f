// Package loadshare exchanges between the nodes of a fleet, by datagrams, the load that
// each has placed on the upstreams. A lost datagram costs little: all totals are sent
// again, and pending prefill time decreases by itself.
//
// Lock order: Agent.mutex is a leaf.
package loadshare

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
)

// errMalformed is returned for a datagram that is not in this format.
var errMalformed = eris.New("malformed datagram")

// formatVersion is the first byte of each datagram.
const formatVersion = 2

// message is one datagram.
type message struct {
	Node string
	// Incarnation increases with each start of the node.
	Incarnation uint64
	Sequence    uint64
	// Full is true if Shares holds all of the node's totals.
	Full bool
	// SentAt is the time of sending, on the sender's clock.
	SentAt time.Duration
	// Claims give the revision and age of the sender's view, by table; times are on its clock.
	Claims [2]fleet.Watermark
	// ShuttingDown is true if the node shuts down.
	ShuttingDown bool
	Shares       []placement.LoadUpdate
	// Update holds changes of upstreams, with a time on the sender's clock; nil is none.
	Update *fleet.Update
}

const (
	flagFull         = 1
	flagShuttingDown = 2
	flagUpdate       = 4
	// fixedPointScale encodes prefill time in tenths of a ms and speed factors in tenths.
	fixedPointScale = 10
)

func (m *message) encode() []byte {
	b := []byte{formatVersion, 0}
	if m.Full {
		b[1] |= flagFull
	}
	if m.ShuttingDown {
		b[1] |= flagShuttingDown
	}
	if m.Update != nil {
		b[1] |= flagUpdate
	}
	b = appendText(b, m.Node)
	b = binary.AppendUvarint(b, m.Incarnation)
	b = binary.AppendUvarint(b, m.Sequence)
	b = binary.AppendUvarint(b, uint64(m.SentAt.Microseconds()))
	for _, claim := range m.Claims {
		b = binary.AppendUvarint(b, uint64(max(0, claim.LastChange)))
		b = binary.AppendUvarint(b, uint64(max(0, claim.Revision-claim.LastChange)))
		b = binary.AppendUvarint(b, uint64(max(0, (m.SentAt-claim.FreshAt).Microseconds())))
	}
	b = binary.AppendUvarint(b, uint64(len(m.Shares)))
	for i := range m.Shares {
		share := &m.Shares[i]
		b = binary.BigEndian.AppendUint32(b, share.Hash)
		b = binary.AppendUvarint(b, uint64(share.Totals.Running))
		b = binary.AppendUvarint(b, uint64(share.Totals.MemoryTokens))
		b = binary.AppendUvarint(b, uint64(share.Totals.HelperPrompts))
		b = binary.AppendVarint(b, int64(share.AddedPrefillMs*fixedPointScale))
		b = binary.AppendUvarint(b, uint64(share.SpeedFactor*fixedPointScale))
		b = binary.AppendUvarint(b, uint64(share.Unattributed))
		b = binary.AppendUvarint(b, uint64(share.AvoidFor.Milliseconds()))
	}
	if m.Update != nil {
		b = appendUpdate(b, m.Update, m.SentAt)
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
	const fixed = 2
	if len(data) < fixed || data[0] != formatVersion {
		return nil, errMalformed
	}
	m := &message{Full: data[1]&flagFull != 0, ShuttingDown: data[1]&flagShuttingDown != 0}
	r := &fieldReader{data: data[fixed:]}
	m.Node = r.text()
	m.Incarnation = r.uvarint()
	m.Sequence = r.uvarint()
	m.SentAt = time.Duration(r.microseconds()) * time.Microsecond
	for i := range m.Claims {
		m.Claims[i].LastChange = r.version()
		m.Claims[i].Revision = m.Claims[i].LastChange + int64(r.count())
		m.Claims[i].FreshAt = m.SentAt - time.Duration(r.microseconds())*time.Microsecond
	}
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		hash := r.bytes(4)
		if r.failed {
			break
		}
		share := placement.LoadUpdate{Hash: binary.BigEndian.Uint32(hash)}
		share.Totals = placement.Totals{Running: r.count(), MemoryTokens: r.count(), HelperPrompts: r.count()}
		share.AddedPrefillMs = float64(r.varint()) / fixedPointScale
		share.SpeedFactor = float64(r.count()) / fixedPointScale
		share.Unattributed = r.count()
		share.AvoidFor = time.Duration(r.count()) * time.Millisecond
		m.Shares = append(m.Shares, share)
	}
	if data[1]&flagUpdate != 0 {
		m.Update = r.update(m.SentAt)
	}
	if r.failed || m.Node == "" {
		return nil, errMalformed
	}
	return m, nil
}
