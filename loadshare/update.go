package loadshare

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// The kinds of an encoded change of an upstream.
const (
	changeRemoved = iota
	changeReady
	changeDraining
)

// appendUpdate appends the changes of upstreams. Other changes are written as the removal
// of an empty ID, which has no effect.
func appendUpdate(b []byte, update *fleet.Update, sentAt time.Duration) []byte {
	for _, version := range []int64{update.PreviousChange, update.LastChange, update.Revision} {
		b = binary.AppendUvarint(b, uint64(max(0, version)))
	}
	b = binary.AppendUvarint(b, uint64(max(0, (sentAt-update.FreshAt).Microseconds())))
	b = binary.AppendUvarint(b, uint64(len(update.Changes)))
	for i := range update.Changes {
		u := update.Changes[i].Upstream
		if u == nil {
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
	update := &fleet.Update{PreviousChange: r.version(), LastChange: r.version(), Revision: r.version()}
	update.FreshAt = sentAt - time.Duration(r.microseconds())*time.Microsecond
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		kind := r.bytes(1)
		if r.failed {
			break
		}
		if kind[0] == changeRemoved {
			update.Changes = append(update.Changes, fleet.Change{Removed: r.text()})
			continue
		}
		update.Changes = append(update.Changes, fleet.Change{Upstream: &fleet.Upstream{
			ID: r.text(), Service: r.text(), Address: r.text(), Zone: r.text(), Slots: r.count(),
			Draining: kind[0] == changeDraining, StartedMs: r.version(),
			ColdFor: time.Duration(r.microseconds()) * time.Microsecond,
		}})
	}
	return update
}
