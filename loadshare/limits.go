package loadshare

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/wigeontiller/wigeontiller/placement"
)

// limitsToSend returns the limits that upstreams stated, of a scope.
func (a *Agent) limitsToSend(scope placement.Scope) []placement.LimitUpdate {
	var updates []placement.LimitUpdate
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { updates = s.LimitUpdates(now, scope) })
	return updates
}

// applyLimits merges the limits of a message, whose times are on the clock of a node with this offset.
func (a *Agent) applyLimits(limits []placement.LimitUpdate, offset time.Duration) {
	if len(limits) == 0 {
		return
	}
	for i := range limits {
		limits[i].At += offset
	}
	a.mutex.Lock()
	acting := a.relay.acting
	a.mutex.Unlock()
	a.gate.Do(func(s *placement.Scheduler, now time.Duration) { s.ApplyLimits(now, limits, acting) })
}

// limitScale encodes a limit in thousandths of a request a second.
const limitScale = 1000

func appendLimits(b []byte, limits []placement.LimitUpdate, sentAt time.Duration) []byte {
	b = binary.AppendUvarint(b, uint64(len(limits)))
	for _, update := range limits {
		b = binary.BigEndian.AppendUint32(b, update.Incarnation)
		b = appendFlag(b, update.Limit.Stated)
		b = binary.AppendUvarint(b, uint64(min(math.Round(max(0, update.Limit.PerSecond)*limitScale), maxCount)))
		b = binary.AppendUvarint(b, uint64(max(0, (sentAt-update.At).Microseconds())))
	}
	return b
}

func (r *fieldReader) limits(sentAt time.Duration) []placement.LimitUpdate {
	var limits []placement.LimitUpdate
	for n := r.uvarint(); n > 0 && !r.failed; n-- {
		update := placement.LimitUpdate{Incarnation: r.hash()}
		update.Limit.Stated = r.flag()
		update.Limit.PerSecond = float64(r.count()) / limitScale
		update.At = sentAt - time.Duration(r.microseconds())*time.Microsecond
		limits = append(limits, update)
	}
	return limits
}
