package placement

import "time"

// passes follows an engine's passes. All that came during one pass is read in the
// next one, before any stream gets its next event; an engine that writes nothing
// reads at once.
type passes struct {
	// end is the end of the pass that runs.
	end time.Duration
	// pendingMs is the reading that waits for the next one.
	pendingMs float64
	// readingMs is the reading in the pass that runs.
	readingMs float64
}

// pass is what a pass takes: baseMs without reading, all times pace.
type pass struct {
	baseMs, pace float64
	// writes is true where streams are written, so that passes follow each other.
	writes bool
}

func (p pass) takes(readMs float64) time.Duration {
	base := p.baseMs
	if !p.writes {
		base = 0
	}
	return time.Duration((base + readMs) * p.pace * float64(time.Millisecond))
}

// roll goes on to the pass that runs now.
func (p *passes) roll(now time.Duration, next pass) {
	for p.end <= now {
		switch {
		case p.pendingMs > 0:
			p.end += next.takes(p.pendingMs)
			p.readingMs, p.pendingMs = p.pendingMs, 0
		case next.writes && next.takes(0) > 0:
			p.end += next.takes(0) * (1 + (now-p.end)/next.takes(0))
			p.readingMs = 0
		default:
			p.end, p.readingMs = now, 0
			return
		}
	}
}

// add books reading, or takes it back where ms is negative.
func (p *passes) add(now time.Duration, ms float64, next pass) {
	p.roll(now, next)
	p.pendingMs += ms
	if p.pendingMs < 0 {
		begun := min(-p.pendingMs, p.readingMs)
		p.readingMs -= begun
		p.end = max(now, p.end-time.Duration(begun*next.pace*float64(time.Millisecond)))
		p.pendingMs = 0
	}
	if p.end <= now {
		p.roll(now, next)
	}
}

// unread is the reading that is left, in ms of the model.
func (p *passes) unread(now time.Duration, next pass) float64 {
	left := float64((p.end - now).Microseconds()) / 1000 / next.pace
	return p.pendingMs + max(0, min(p.readingMs, left))
}

// after is the time in ms until a part that comes now is read.
func (p *passes) after(now time.Duration, ms float64, next pass) float64 {
	return float64((p.end - now + next.takes(p.pendingMs+ms)).Microseconds()) / 1000
}

// readBut notes that all but so much reading is done. What is left has not begun, as a
// pass ended just now.
func (p *passes) readBut(now time.Duration, leftMs float64, next pass) {
	p.roll(now, next)
	if left := p.unread(now, next); left > leftMs {
		p.pendingMs, p.readingMs, p.end = leftMs, 0, now
		p.roll(now, next)
	}
}
