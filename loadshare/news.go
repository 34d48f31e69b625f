package loadshare

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// The forms of a change of upstreams.
const (
	changeGone = iota
	changeReady
	changeDraining
)

// appendNews writes changes of upstreams; other changes are left out.
func appendNews(b []byte, news *fleet.Update, sentAt time.Duration) []byte {
	for _, version := range []int64{news.PreviousChange, news.LastChange, news.Revision} {
		b = binary.AppendUvarint(b, uint64(max(0, version)))
	}
	b = binary.AppendUvarint(b, uint64(max(0, (sentAt-news.FreshAt).Microseconds())))
	b = binary.AppendUvarint(b, uint64(len(news.Changes)))
	for i := range news.Changes {
		u := news.Changes[i].Upstream
		if u == nil {
			b = appendText(append(b, changeGone), news.Changes[i].Removed)
			continue
		}
		form := byte(changeReady)
		if u.Draining {
			form = changeDraining
		}
		b = appendText(append(b, form), u.ID)
		b = appendText(appendText(appendText(b, u.Service), u.Address), u.Zone)
		b = binary.AppendUvarint(b, uint64(max(0, u.Slots)))
		b = binary.AppendUvarint(b, uint64(max(0, u.StartedMs)))
		b = binary.AppendUvarint(b, uint64(max(0, u.ColdFor.Microseconds())))
	}
	return b
}

func (r *reader) version() int64 { return int64(r.number() & math.MaxInt64) }

func (r *reader) news(sentAt time.Duration) *fleet.Update {
	news := &fleet.Update{PreviousChange: r.version(), LastChange: r.version(), Revision: r.version()}
	news.FreshAt = sentAt - time.Duration(r.microseconds())*time.Microsecond
	for n := r.number(); n > 0 && !r.failed; n-- {
		form := r.bytes(1)
		if r.failed {
			break
		}
		if form[0] == changeGone {
			news.Changes = append(news.Changes, fleet.Change{Removed: r.text()})
			continue
		}
		news.Changes = append(news.Changes, fleet.Change{Upstream: &fleet.Upstream{
			ID: r.text(), Service: r.text(), Address: r.text(), Zone: r.text(), Slots: r.count(),
			Draining: form[0] == changeDraining, StartedMs: r.version(),
			ColdFor: time.Duration(r.microseconds()) * time.Microsecond,
		}})
	}
	return news
}
