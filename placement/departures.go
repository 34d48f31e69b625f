package placement

import "time"

// maxReportAge is how old the state that an upstream reports may be.
const maxReportAge = 400 * time.Millisecond

// departures counts the requests that have left an upstream recently, for at least maxReportAge and
// at most twice that: its reports may still count them.
type departures struct {
	since           time.Duration
	current, former int
}

func (d *departures) add(now time.Duration, count int) {
	d.advance(now)
	d.current += count
}

func (d *departures) recent(now time.Duration) int {
	d.advance(now)
	return d.current + d.former
}

func (d *departures) advance(now time.Duration) {
	if now-d.since < maxReportAge {
		return
	}
	d.former = d.current
	if now-d.since >= 2*maxReportAge {
		d.former = 0
	}
	d.since, d.current = now, 0
}
