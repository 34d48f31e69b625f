package engine

import "time"

// historyLength bounds the snapshots kept for late reports.
const historyLength = 512

// snapshot is a report and when it was true.
type snapshot struct {
	at   time.Time
	load Load
}

// history holds the latest snapshots, oldest first.
type history struct{ snapshots []snapshot }

// remember keeps the load as it is; the mutex is held.
func (e *Engine) remember(now time.Time) {
	kept := e.history.snapshots
	if len(kept) >= historyLength {
		kept = append(kept[:0], kept[1:]...)
	}
	e.history.snapshots = append(kept, snapshot{at: now, load: e.measure(now)})
}

// loadBefore returns the report as it was a lag ago.
func (e *Engine) loadBefore(now time.Time, lag time.Duration) Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if lag <= 0 {
		return e.measure(now)
	}
	snapshots := e.history.snapshots
	found := snapshots[0]
	for _, one := range snapshots {
		if one.at.After(now.Add(-lag)) {
			break
		}
		found = one
	}
	return found.load
}
