package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// spaceStaleCalls delays the next request for a table that is old until this node's turn, the
// publishers have confirmed the table, or this node is a publisher or lacks a change.
func (f *Follower) spaceStaleCalls(ctx context.Context, kind fleet.Table) {
	const mean = 0.5
	part, started := rand.Float64()/mean, f.now()
	for ctx.Err() == nil {
		// The number of nodes that are heard, and with it the spacing, changes meanwhile.
		if f.now()-started >= time.Duration(part*float64(f.StaleCallSpacing())) {
			return
		}
		f.mutex.Lock()
		fresh := f.now()-f.replica.TableFreshAt(kind) <= maxLongPollAge
		behind := f.polls[kind].behindSince != 0
		f.mutex.Unlock()
		if fresh || behind || f.IsPublisher() {
			return
		}
		sleep(ctx, sweepInterval)
	}
}

// era returns the store's era in which a table was read.
func (f *Follower) era(kind fleet.Table) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.replica.Era(kind)
}

// beginEra prepares a table for a whole read of a later era of the store. It reports whether
// an earlier one was known; the mutex is held.
func (f *Follower) beginEra(kind fleet.Table, era int64) bool {
	before := f.replica.Era(kind)
	f.replica.BeginEra(kind, era, f.now())
	if before == 0 {
		return false
	}
	f.metrics.Count("wigeontiller_store_eras_total", 1)
	f.logger.Warn().Int("table", int(kind)).Int64("era", era).Int64("era_before", before).Msg(telemetry.LogStoreEra)
	return true
}

// Claims returns how far this node's own store responses cover each table.
func (f *Follower) Claims() [2]fleet.Watermark {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.replica.Watermarks()
}

// Confirm merges another node's claims, whose times are on this node's clock.
func (f *Follower) Confirm(claims [2]fleet.Watermark) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for kind := range claims {
		if f.replica.ApplyWatermark(fleet.Table(kind), claims[kind], f.now()) {
			f.markBehind(fleet.Table(kind))
		}
	}
	f.publish()
}

// markBehind records that another node has a change that this one lacks; the mutex is held.
func (f *Follower) markBehind(kind fleet.Table) {
	if f.polls[kind].behindSince == 0 {
		f.polls[kind].behindSince = f.now()
	}
}

// ApplyUpdate merges another node's update of a table, whose time is on this node's clock.
func (f *Follower) ApplyUpdate(update *fleet.Update) {
	kind := update.Table
	f.mutex.Lock()
	applied := !update.Holds && update.Era == f.replica.Era(kind) && update.Revision <= f.replica.Revision(kind)
	f.mutex.Unlock()
	known := f.current.Load().Configuration
	for i := range update.Changes {
		if applied {
			// Two nodes publish each change; its document is decoded once.
			break
		}
		change := &update.Changes[i]
		if change.Document == nil {
			continue
		}
		document, err := f.source.Decode(change.Document)
		switch {
		case err != nil:
			// The store's own copy is read instead.
			f.logger.Warn().Err(err).Msg("invalid document from another node")
			f.mutex.Lock()
			f.markBehind(kind)
			f.mutex.Unlock()
			return
		case known == nil || document.Version > known.Version:
			change.Configuration = document
		}
	}
	f.mutex.Lock()
	before, last := f.replica.View(), f.replica.LastChange(kind)
	if update.Holds {
		changed := f.replica.ApplyHolds(*update, f.now())
		snapshot := f.publish()
		f.mutex.Unlock()
		if changed {
			f.notifyChange(kind, before, snapshot, Batch{Era: update.Era, Changes: update.Changes}, true)
		}
		return
	}
	if !f.replica.ApplyUpdate(kind, *update, f.now()) {
		f.markBehind(kind)
		f.mutex.Unlock()
		return
	}
	f.polls[kind].behindSince = 0
	changed := f.replica.LastChange(kind) > last
	snapshot := f.publish()
	f.mutex.Unlock()
	if changed {
		f.notifyChange(kind, before, snapshot, Batch{Era: update.Era, Changes: update.Changes, Revision: update.Revision}, true)
	}
}

// cancelStalePolls cancels the long polls of tables that are too old or behind; the
// mutex is held.
func (f *Follower) cancelStalePolls() {
	now := f.now()
	for kind := range f.polls {
		poll := &f.polls[kind]
		if poll.cancel == nil {
			continue
		}
		old := now-f.replica.TableFreshAt(fleet.Table(kind)) > maxLongPollAge
		if behind := poll.behindSince != 0 && now-poll.behindSince > behindTimeout; old || behind {
			poll.shortPollUntil = now + shortPollTime
			poll.catchUp = true
			poll.cancel()
			poll.cancel = nil
		}
	}
}

// holds returns this node's state that is newer than the store's, after the store was restored
// from a backup; nil is nothing.
func (f *Follower) holds(kind fleet.Table) *fleet.Update {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.replica.Holds(kind, f.now())
}
