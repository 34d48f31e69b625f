package loadshare

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"math"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// The kinds of an encoded change of an upstream.
const (
	changeRemoved = iota
	changeReady
	changeDraining
	changeDocument
	changeZoneOut
	changeZoneIn
)

// maxDocumentBytes bounds a decompressed document from another node.
const maxDocumentBytes = 8 << 20

// appendUpdate appends the changes of a table. A row without meaning is written as the removal
// of an empty ID, which has no effect.
func appendUpdate(b []byte, update *fleet.Update, sentAt time.Duration) []byte {
	b = append(b, byte(update.Table))
	b = appendFlag(b, update.Holds)
	for _, version := range []int64{update.Era, update.PreviousChange, update.LastChange, update.Revision} {
		b = binary.AppendUvarint(b, uint64(max(0, version)))
	}
	b = binary.AppendUvarint(b, uint64(max(0, (sentAt-update.FreshAt).Microseconds())))
	b = binary.AppendUvarint(b, uint64(len(update.Changes)))
	for i := range update.Changes {
		change := &update.Changes[i]
		u := change.Upstream
		switch {
		case change.Configuration != nil:
			b = appendText(append(b, changeDocument), string(compress(change.Configuration.Encoded)))
			continue
		case change.Zone != "" && change.InService:
			b = appendText(append(b, changeZoneIn), change.Zone)
			continue
		case change.Zone != "":
			b = appendText(append(b, changeZoneOut), change.Zone)
			continue
		case u == nil:
			b = appendText(append(b, changeRemoved), update.Changes[i].Removed)
			continue
		}
		kind := byte(changeReady)
		if u.Draining {
			kind = changeDraining
		}
		b = appendText(append(b, kind), u.ID)
		b = appendText(appendText(appendText(b, u.Service), u.Address), u.Zone)
		b = binary.AppendUvarint(b, uint64(max(0, u.Slots)))
		b = binary.AppendUvarint(b, uint64(max(0, u.StartedMs)))
		b = binary.AppendUvarint(b, uint64(max(0, u.ColdFor.Microseconds())))
	}
	return b
}

func (r *fieldReader) version() int64 { return int64(r.uvarint() & math.MaxInt64) }

func (r *fieldReader) update(sentAt time.Duration) *fleet.Update {
	table := r.bytes(1)
	if r.failed || table[0] > byte(fleet.UpstreamTable) {
		r.failed = true
		return nil
	}
	update := &fleet.Update{
		Table: fleet.Table(table[0]), Holds: r.flag(), Era: r.version(), PreviousChange: r.version(), LastChange: r.version(), Revision: r.version(),
	}
	update.FreshAt = sentAt - time.Duration(r.microseconds())*time.Microsecond
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		if change := r.change(); !r.failed {
			update.Changes = append(update.Changes, change)
		}
	}
	return update
}

func (r *fieldReader) change() fleet.Change {
	kind := r.bytes(1)
	if r.failed {
		return fleet.Change{}
	}
	switch kind[0] {
	case changeRemoved:
		return fleet.Change{Removed: r.text()}
	case changeDocument:
		return fleet.Change{Document: r.document()}
	case changeZoneOut, changeZoneIn:
		return fleet.Change{Zone: r.text(), InService: kind[0] == changeZoneIn}
	}
	return fleet.Change{Upstream: &fleet.Upstream{
		ID: r.text(), Service: r.text(), Address: r.text(), Zone: r.text(), Slots: r.count(),
		Draining: kind[0] == changeDraining, StartedMs: r.version(),
		ColdFor: time.Duration(r.microseconds()) * time.Microsecond,
	}}
}

// compress returns the document compressed.
func compress(document []byte) []byte {
	var b bytes.Buffer
	// Neither the level nor a write to a buffer can fail.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(document)
	_ = w.Close()
	return b.Bytes()
}

// document decompresses a document.
func (r *fieldReader) document() []byte {
	compressed := r.bytes(r.uvarint())
	if r.failed {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocumentBytes+1))
	if err != nil || len(data) == 0 || len(data) > maxDocumentBytes {
		r.failed = true
		return nil
	}
	return data
}
