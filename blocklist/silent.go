package blocklist

import (
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// silentTTL is how long an attempt without a response is kept in doubt: longer than the platform takes
	// to remove the entry of an upstream that has ended, and an upstream to start again.
	silentTTL = 8 * time.Second
	// maxSilent bounds these attempts.
	maxSilent = 128
)

// silentAttempt is an attempt that got no whole response, although its connection did not tell that the upstream
// has ended.
type silentAttempt struct {
	upstream      *fleet.Upstream
	process       string
	attempt       string
	features      []uint64
	events        int
	sent, givenUp time.Time
}

// RecordSilent records an attempt that got no whole response, how many events had arrived, and when it was sent and given up. It
// counts as under way at the upstream's end if the upstream turns out to have ended soon after.
func (b *Blocklist) RecordSilent(upstream *fleet.Upstream, process, attempt string, features []uint64, events int, sent, givenUp time.Time) {
	if len(features) == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.silent = append(b.silent, silentAttempt{upstream: upstream, process: process, attempt: attempt, features: features, events: events, sent: sent, givenUp: givenUp})
	b.silent = b.silent[max(0, len(b.silent)-maxSilent):]
}

// ObserveUpstreams compares the silent attempts with the upstreams that there are now. Those whose
// upstream is gone, or was started again, become ends.
func (b *Blocklist) ObserveUpstreams(upstreams map[string]*fleet.Upstream) {
	b.mutex.Lock()
	var ended []silentAttempt
	kept := b.silent[:0]
	for _, silent := range b.silent {
		known := upstreams[silent.upstream.ID]
		switch {
		case time.Since(silent.givenUp) > silentTTL:
		case known == nil || known.StartedMs != silent.upstream.StartedMs:
			ended = append(ended, silent)
		default:
			kept = append(kept, silent)
		}
	}
	b.silent = kept
	b.mutex.Unlock()
	for _, silent := range ended {
		b.RecordEnd(silent.process, silent.attempt, silent.features, silent.events, silent.sent, silent.givenUp)
	}
}
