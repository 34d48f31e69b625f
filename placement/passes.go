package placement

import "time"

// passTimeline estimates an engine's passes. All prompt chunks that arrive during one
// pass are prefilled in the next one, before any stream gets its next event; an engine
// without decoding streams prefills at once.
type passTimeline struct {
	// passEnd is the end of the current pass.
	passEnd time.Duration
	// pendingMs is the prefill time that waits for the next pass.
	pendingMs float64
	// runningMs is the prefill time in the current pass.
	runningMs float64
}

// passModel gives the duration of a pass: baseMs without prefill, plus the prefill
// time, all times speedFactor.
type passModel struct {
	baseMs, speedFactor float64
	// decoding is true while the engine has decoding streams, so that passes follow each
	// other without a break.
	decoding bool
}

func (p passModel) duration(ms float64) time.Duration {
	base := p.baseMs
	if !p.decoding {
		base = 0
	}
	return time.Duration((base + ms) * p.speedFactor * float64(time.Millisecond))
}

// advance moves on to the pass that runs at now.
func (p *passTimeline) advance(now time.Duration, next passModel) {
	for p.passEnd <= now {
		switch {
		case p.pendingMs > 0:
			p.passEnd += next.duration(p.pendingMs)
			p.runningMs, p.pendingMs = p.pendingMs, 0
		case next.decoding && next.duration(0) > 0:
			p.passEnd += next.duration(0) * (1 + (now-p.passEnd)/next.duration(0))
			p.runningMs = 0
		default:
			p.passEnd, p.runningMs = now, 0
			return
		}
	}
}

// add adds prefill time, or removes it where ms is negative.
func (p *passTimeline) add(now time.Duration, ms float64, next passModel) {
	p.advance(now, next)
	p.pendingMs += ms
	if p.pendingMs < 0 {
		started := min(-p.pendingMs, p.runningMs)
		p.runningMs -= started
		p.passEnd = max(now, p.passEnd-time.Duration(started*next.speedFactor*float64(time.Millisecond)))
		p.pendingMs = 0
	}
	if p.passEnd <= now {
		p.advance(now, next)
	}
}

// backlogMs is the prefill time that is left, in ms by the pass model.
func (p *passTimeline) backlogMs(now time.Duration, next passModel) float64 {
	left := float64((p.passEnd - now).Microseconds()) / 1000 / next.speedFactor
	return p.pendingMs + max(0, min(p.runningMs, left))
}

// msUntilPrefilled is the time in ms until a chunk that arrives now, with a prefill time of
// ms, is prefilled.
func (p *passTimeline) msUntilPrefilled(now time.Duration, ms float64, next passModel) float64 {
	return float64((p.passEnd - now + next.duration(p.pendingMs+ms)).Microseconds()) / 1000
}

// setBacklog records that at most backlogMs of prefill time is left. That part has not
// started, as a pass ended just now.
func (p *passTimeline) setBacklog(now time.Duration, backlogMs float64, next passModel) {
	p.advance(now, next)
	if estimate := p.backlogMs(now, next); estimate > backlogMs {
		p.pendingMs, p.runningMs, p.passEnd = backlogMs, 0, now
		p.advance(now, next)
	}
}
