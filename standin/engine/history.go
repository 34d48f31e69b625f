package engine

import "time"

// historyLength is the number of snapshots kept for reports with a lag.
const historyLength = 512

// snapshot is a load report and the time at which it was taken.
type snapshot struct {
	takenAt time.Time
	load    Load
}

// history holds the latest snapshots, oldest first.
type history struct{ snapshots []snapshot }

// recordSnapshot records the current load. The caller holds the mutex.
func (e *Engine) recordSnapshot(now time.Time) {
	kept := e.history.snapshots
	if len(kept) >= historyLength {
		kept = append(kept[:0], kept[1:]...)
	}
	e.history.snapshots = append(kept, snapshot{takenAt: now, load: e.measure(now)})
}

// loadWithLag returns the load report of the time now - lag.
func (e *Engine) loadWithLag(now time.Time, lag time.Duration) Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if lag <= 0 {
		return e.measure(now)
	}
	snapshots := e.history.snapshots
	found := snapshots[0]
	for _, one := range snapshots {
		if one.takenAt.After(now.Add(-lag)) {
			break
		}
		found = one
	}
	return found.load
}
