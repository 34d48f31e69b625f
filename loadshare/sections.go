package loadshare

import (
	"encoding/binary"
	"time"

	"github.com/wigeontiller/wigeontiller/placement"
)

// The fields of an encoded load update that are not zero, as bits.
const (
	hasRunning = 1 << iota
	hasMemory
	hasHelperPrompts
	hasPrefill
	hasSpeedFactor
	hasUnattributed
	hasAvoidFor
)

// appendShares appends load updates. Fields that are zero take no space.
func appendShares(b []byte, shares []placement.LoadUpdate) []byte {
	b = binary.AppendUvarint(b, uint64(len(shares)))
	for i := range shares {
		b = appendShare(b, &shares[i])
	}
	return b
}

func appendShare(b []byte, share *placement.LoadUpdate) []byte {
	b = binary.BigEndian.AppendUint32(b, share.Hash)
	mask := len(b)
	b = append(b, 0)
	field := func(bit byte, value int64) {
		if value == 0 {
			return
		}
		b[mask] |= bit
		if bit == hasPrefill {
			b = binary.AppendVarint(b, value)
		} else {
			b = binary.AppendUvarint(b, uint64(value))
		}
	}
	field(hasRunning, int64(max(0, share.Totals.Running)))
	field(hasMemory, int64(max(0, share.Totals.MemoryTokens)))
	field(hasHelperPrompts, int64(max(0, share.Totals.HelperPrompts)))
	field(hasPrefill, int64(share.AddedPrefillMs*fixedPointScale))
	field(hasSpeedFactor, int64(max(0, share.SpeedFactor)*fixedPointScale))
	field(hasUnattributed, int64(max(0, share.Unattributed)))
	field(hasAvoidFor, max(0, share.AvoidFor.Milliseconds()))
	return b
}

func (r *fieldReader) shares() []placement.LoadUpdate {
	var shares []placement.LoadUpdate
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		if share := r.share(); !r.failed {
			shares = append(shares, share)
		}
	}
	return shares
}

func (r *fieldReader) share() placement.LoadUpdate {
	hash := r.bytes(4)
	mask := r.bytes(1)
	if r.failed {
		return placement.LoadUpdate{}
	}
	share := placement.LoadUpdate{Hash: binary.BigEndian.Uint32(hash)}
	count := func(bit byte) int {
		if mask[0]&bit == 0 {
			return 0
		}
		return r.count()
	}
	share.Totals = placement.Totals{Running: count(hasRunning), MemoryTokens: count(hasMemory), HelperPrompts: count(hasHelperPrompts)}
	if mask[0]&hasPrefill != 0 {
		share.AddedPrefillMs = float64(r.varint()) / fixedPointScale
	}
	share.SpeedFactor = float64(count(hasSpeedFactor)) / fixedPointScale
	share.Unattributed = count(hasUnattributed)
	share.AvoidFor = time.Duration(count(hasAvoidFor)) * time.Millisecond
	return share
}

func appendFlag(b []byte, flag bool) []byte {
	if flag {
		return append(b, 1)
	}
	return append(b, 0)
}

func (r *fieldReader) flag() bool {
	b := r.bytes(1)
	return !r.failed && b[0] != 0
}

func (r *fieldReader) hash() uint32 {
	b := r.bytes(4)
	if r.failed {
		return 0
	}
	return binary.BigEndian.Uint32(b)
}

func appendBundle(b []byte, content *bundle) []byte {
	b = binary.AppendUvarint(b, uint64(max(0, content.Nodes)))
	b = binary.AppendUvarint(b, uint64(len(content.Members)))
	for i := range content.Members {
		member := &content.Members[i]
		b = binary.BigEndian.AppendUint32(b, member.Hash)
		b = appendFlag(b, member.ShuttingDown)
		b = appendShares(b, member.Shares)
	}
	return b
}

func (r *fieldReader) bundle() *bundle {
	content := &bundle{Nodes: r.count()}
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		content.Members = append(content.Members, memberLoad{Hash: r.hash(), ShuttingDown: r.flag(), Shares: r.shares()})
	}
	return content
}

func appendZones(b []byte, zones []zoneLoad) []byte {
	b = binary.AppendUvarint(b, uint64(len(zones)))
	for i := range zones {
		zone := &zones[i]
		b = appendText(b, zone.Zone)
		b = binary.BigEndian.AppendUint32(b, zone.Relay)
		b = binary.AppendUvarint(b, zone.Incarnation)
		b = binary.AppendUvarint(b, zone.Sequence)
		b = appendFlag(b, zone.Full)
		b = binary.AppendUvarint(b, uint64(max(0, zone.Nodes)))
		b = appendShares(b, zone.Shares)
	}
	return b
}

func (r *fieldReader) zones() []zoneLoad {
	var zones []zoneLoad
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		zones = append(zones, zoneLoad{
			Zone: r.text(), Relay: r.hash(), Incarnation: r.uvarint(), Sequence: r.uvarint(),
			Full: r.flag(), Nodes: r.count(), Shares: r.shares(),
		})
	}
	return zones
}
