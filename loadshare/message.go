// Package loadshare tells the nodes of a fleet what each has placed where, by
// datagrams. A lost one costs little: totals are told whole again, and unread
// time drains by itself.
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

// errMessage is returned for a datagram that is not one of ours.
var errMessage = eris.New("datagram can't be read")

// formatVersion is the first byte of each datagram.
const formatVersion = 2

// message is one datagram.
type message struct {
	Node string
	// Incarnation grows with each start of the node.
	Incarnation uint64
	Sequence    uint64
	// Whole is true when Shares are all that the node has.
	Whole bool
	// SentAt is when it was sent, on the sender's clock.
	SentAt time.Duration
	// Claims are what the sender knows of the store's tables, with its own times.
	Claims [2]fleet.Watermark
	// Leaving is true when the node shuts down.
	Leaving bool
	Shares  []placement.LoadUpdate
	// News are changes of upstreams, with the sender's time; nil is none.
	News *fleet.Update
}

const (
	flagWhole   = 1
	flagLeaving = 2
	flagNews    = 4
	// tenths keeps a tenth of a ms of reading time, and of a pace.
	tenths = 10
)

func (m *message) encode() []byte {
	b := []byte{formatVersion, 0}
	if m.Whole {
		b[1] |= flagWhole
	}
	if m.Leaving {
		b[1] |= flagLeaving
	}
	if m.News != nil {
		b[1] |= flagNews
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
		b = binary.AppendVarint(b, int64(share.AddedPrefillMs*tenths))
		b = binary.AppendUvarint(b, uint64(share.SpeedFactor*tenths))
		b = binary.AppendUvarint(b, uint64(share.Unattributed))
		b = binary.AppendUvarint(b, uint64(share.AvoidFor.Milliseconds()))
	}
	if m.News != nil {
		b = appendNews(b, m.News, m.SentAt)
	}
	return b
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

// reader takes the fields of a datagram; it remembers the first failure.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) number() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return value
}

func (r *reader) signed() int64 {
	value, n := binary.Varint(r.data)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return max(-maxCount, min(value, maxCount))
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.data)) {
		r.failed = true
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

func (r *reader) text() string { return string(r.bytes(r.number())) }

// maxCount bounds what a datagram may claim to be at an upstream.
const maxCount = 1 << 32

// maxMicroseconds is a century.
const maxMicroseconds = 100 * 366 * 24 * 3600 * 1_000_000

func (r *reader) microseconds() int64 { return int64(min(r.number(), maxMicroseconds)) }

func (r *reader) count() int { return int(min(r.number(), maxCount)) }

func decode(data []byte) (*message, error) {
	const fixed = 2
	if len(data) < fixed || data[0] != formatVersion {
		return nil, errMessage
	}
	m := &message{Whole: data[1]&flagWhole != 0, Leaving: data[1]&flagLeaving != 0}
	r := &reader{data: data[fixed:]}
	m.Node = r.text()
	m.Incarnation = r.number()
	m.Sequence = r.number()
	m.SentAt = time.Duration(r.microseconds()) * time.Microsecond
	for i := range m.Claims {
		m.Claims[i].LastChange = r.version()
		m.Claims[i].Revision = m.Claims[i].LastChange + int64(r.count())
		m.Claims[i].FreshAt = m.SentAt - time.Duration(r.microseconds())*time.Microsecond
	}
	for n := r.number(); n > 0 && !r.failed; n-- {
		hash := r.bytes(4)
		if r.failed {
			break
		}
		share := placement.LoadUpdate{Hash: binary.BigEndian.Uint32(hash)}
		share.Totals = placement.Totals{Running: r.count(), MemoryTokens: r.count(), HelperPrompts: r.count()}
		share.AddedPrefillMs = float64(r.signed()) / tenths
		share.SpeedFactor = float64(r.count()) / tenths
		share.Unattributed = r.count()
		share.AvoidFor = time.Duration(r.count()) * time.Millisecond
		m.Shares = append(m.Shares, share)
	}
	if data[1]&flagNews != 0 {
		m.News = r.news(m.SentAt)
	}
	if r.failed || m.Node == "" {
		return nil, errMessage
	}
	return m, nil
}
