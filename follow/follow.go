// Package follow keeps a node's beliefs up to date with the store: it reads the
// tables, waits for changes, and reads again where the store's history has a gap.
//
// Lock order: Follower.mutex is a leaf.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/periodic"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// ErrHistoryGone is returned by a source that no longer has the changes asked for.
var ErrHistoryGone = eris.New("history is gone")

const (
	// callSlack is how much longer than it may wait a call may take, before the
	// connection counts as dead: the store answers in 4 ms when it is well.
	callSlack = 600 * time.Millisecond
	// readTimeout bounds a read of a whole table.
	readTimeout = 2500 * time.Millisecond
	// firstPause is the pause after a failed call; it doubles up to lastPause.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// callSpacing is the mean time between calls for the table of upstreams after a
	// burst of callBurst, so that many that start at once cost few calls. It is a small
	// part of the time in which a node must know that one leaves, 2 s on the users' sites.
	callSpacing = 300 * time.Millisecond
	callBurst   = 4
	// expireInterval is how often lapsed entries are looked at.
	expireInterval = 100 * time.Millisecond
)

// Batch is the answer to one call.
type Batch struct {
	Changes []fleet.Change
	// Last is the version of the last change, for an answer to Changes.
	Last int64
	// Revision is the store's version that the answer goes up to.
	Revision int64
}

// Source reads one table of the store. Errors: ErrHistoryGone; any other means
// that nothing was learned.
type Source interface {
	Read(ctx context.Context, kind fleet.Table) (Batch, error)
	Changes(ctx context.Context, kind fleet.Table, since int64, wait time.Duration) (Batch, error)
}

// Follower holds the current view. It is safe for concurrent use.
type Follower struct {
	source  Source
	logger  zerolog.Logger
	metrics *telemetry.Metrics
	now     func() time.Duration

	mutex   sync.Mutex
	book    *fleet.Replica
	current atomic.Pointer[Snapshot]
	// OnChange is called after the view changed, under no lock. It is set before Run.
	OnChange func()
	// Tells reports whether this node is one of those that tell the others that
	// there is no change. The others wait long at the store. It is set before Run.
	Tells func() bool
	// Told is called after an answer of the store, under no lock, with the changes of
	// upstreams in it, if any. It is set before Run.
	Told func(news *fleet.Update)

	// waits holds the long calls, by table.
	waits [2]waiting
}

// waiting is one table's call that waits at the store.
type waiting struct {
	cancel context.CancelFunc
	// behindSince is when a change was first heard of that the call has not brought.
	behindSince time.Duration
	// aloneUntil is until when the node doesn't count on others' news.
	aloneUntil time.Duration
}

// Snapshot is a view with its age.
type Snapshot struct {
	fleet.View
	// FreshAt is the time up to which the view is complete.
	FreshAt time.Duration
	// Synced is true when both tables were read.
	Synced bool
}

// New returns a follower that knows nothing. The clock also counts the time in
// which the machine was suspended.
func New(source Source, now func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics) *Follower {
	f := &Follower{Tells: func() bool { return true }, Told: func(*fleet.Update) {}, source: source, logger: logger, metrics: metrics, now: now, book: fleet.NewReplica()}
	f.current.Store(&Snapshot{View: f.book.View()})
	return f
}

// Current returns what is believed now.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Run follows both tables until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range []fleet.Table{fleet.OperatorTable, fleet.UpstreamTable} {
		group.Go(func() { f.follow(ctx, kind) })
	}
	group.Go(func() { periodic.Run(ctx, expireInterval, f.lookAgain) })
	group.Wait()
}

func (f *Follower) follow(ctx context.Context, kind fleet.Table) {
	pause := firstPause
	synced, lost := false, false
	calls := rate.NewLimiter(rate.Every(callSpacing), callBurst)
	for ctx.Err() == nil {
		if kind == fleet.UpstreamTable && calls.Wait(ctx) != nil {
			return
		}
		ok, err := f.step(ctx, kind, synced)
		if ctx.Err() != nil {
			return
		}
		if err == nil && ok {
			if lost {
				f.logger.Info().Int("table", int(kind)).Msg(telemetry.LogStoreReachable)
			}
			synced, lost, pause = true, false, firstPause
			continue
		}
		if errors.Is(err, errAskAgain) {
			continue
		}
		if errors.Is(err, ErrHistoryGone) && synced {
			f.logger.Info().Int("table", int(kind)).Msg("store history gone, reading the table again")
			synced = false
			continue
		}
		if !lost {
			f.logger.Warn().Err(err).Int("table", int(kind)).Bool("older_than_known", err == nil).Msg(telemetry.LogStoreUnreachable)
		}
		lost = true
		f.metrics.Count("wigeontiller_store_failures_total", 1)
		f.fail(kind)
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, lastPause)
	}
}

func (f *Follower) fail(kind fleet.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.book.RecordFailure(kind)
}

// step makes one call and merges its answer. It reports false when the answer
// was older than what is known.
func (f *Follower) step(ctx context.Context, kind fleet.Table, synced bool) (bool, error) {
	asked := f.now()
	if !synced {
		return f.read(ctx, kind, asked)
	}
	wait, long, tells := fleet.ShortPollWait, false, f.Tells()
	f.mutex.Lock()
	since := f.book.Revision(kind)
	if !tells && asked >= f.waits[kind].aloneUntil {
		wait, long = fleet.LongPollWait, true
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	if long {
		f.waits[kind].cancel = cancel
	}
	f.mutex.Unlock()
	if long && kind == fleet.UpstreamTable {
		// The nodes that tell pass these changes on.
		<-ctx.Done()
		return false, errAskAgain
	}
	batch, err := f.source.Changes(ctx, kind, since, wait)
	f.mutex.Lock()
	f.waits[kind].cancel = nil
	askAgain := long && errors.Is(ctx.Err(), context.Canceled)
	f.mutex.Unlock()
	if err != nil && askAgain {
		return false, errAskAgain
	}
	if err != nil {
		return false, err
	}
	if f.merge(kind, batch, asked, false) {
		return true, nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.book.Revision(kind) != since {
		return false, errAskAgain
	}
	return false, nil
}

// errAskAgain is returned for a long call that was given up to ask anew, and for an
// answer that was overtaken by another node's news.
var errAskAgain = eris.New("ask again")

// read reads a whole table. A read may be stale; it counts when the store then has
// the changes since.
func (f *Follower) read(ctx context.Context, kind fleet.Table, asked time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.source.Read(ctx, kind)
	if err != nil {
		return false, err
	}
	since, err := f.source.Changes(ctx, kind, batch.Revision, 0)
	if err != nil {
		return false, err
	}
	return f.merge(kind, batch, asked, true) && f.merge(kind, since, asked, false), nil
}

// Claims returns what this node knows of each table.
func (f *Follower) Claims() [2]fleet.Watermark {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.book.Watermarks()
}

// Confirm takes another node's claims, with their times on this node's clock.
func (f *Follower) Confirm(claims [2]fleet.Watermark) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for kind := range claims {
		if f.book.ApplyWatermark(fleet.Table(kind), claims[kind], f.now()) {
			f.behind(fleet.Table(kind))
		}
	}
	f.publish()
}

// behind notes that another node has a change that this one lacks; the mutex is held.
func (f *Follower) behind(kind fleet.Table) {
	if f.waits[kind].behindSince == 0 {
		f.waits[kind].behindSince = f.now()
	}
}

// Learn takes another node's news of the upstreams, with its time on this node's clock.
func (f *Follower) Learn(news *fleet.Update) {
	const kind = fleet.UpstreamTable
	f.mutex.Lock()
	before, last := f.book.View(), f.book.LastChange(kind)
	if !f.book.ApplyUpdate(kind, *news, f.now()) {
		f.behind(kind)
		f.mutex.Unlock()
		return
	}
	f.waits[kind].behindSince = 0
	changed := f.book.LastChange(kind) > last
	snapshot := f.publish()
	f.mutex.Unlock()
	if changed {
		f.changed(kind, before, snapshot, Batch{Changes: news.Changes, Revision: news.Revision}, true)
	}
}

const (
	// quietAge is the age of a table from which a node that waits long asks itself:
	// the others' news come each FollowWait, and two of them may be lost.
	quietAge = 1800 * time.Millisecond
	// behindTime is how much later than another node a change may come.
	behindTime = 300 * time.Millisecond
	// aloneTime is how long a node asks itself after that.
	aloneTime = 3 * time.Second
)

// askSooner gives up long calls of tables that are too old, or behind; the mutex
// is held.
func (f *Follower) askSooner() {
	now := f.now()
	for kind := range f.waits {
		w := &f.waits[kind]
		if w.cancel == nil {
			continue
		}
		old := now-f.book.TableFreshAt(fleet.Table(kind)) > quietAge
		if behind := w.behindSince != 0 && now-w.behindSince > behindTime; old || behind {
			w.aloneUntil = now + aloneTime
			w.cancel()
			w.cancel = nil
		}
	}
}

func (f *Follower) merge(kind fleet.Table, batch Batch, asked time.Duration, whole bool) bool {
	f.mutex.Lock()
	now := f.now()
	before, last := f.book.View(), f.book.LastChange(kind)
	merge := f.book.Apply
	if whole {
		merge = func(kind fleet.Table, changes []fleet.Change, _, revision int64, asked, now time.Duration) bool {
			return f.book.Replace(kind, changes, revision, asked, now)
		}
	}
	ok := merge(kind, batch.Changes, batch.Last, batch.Revision, asked, now)
	if ok {
		f.waits[kind].behindSince = 0
	}
	snapshot := f.publish()
	f.mutex.Unlock()
	if ok && (whole || len(batch.Changes) > 0) {
		f.changed(kind, before, snapshot, batch, false)
	}
	if ok {
		var news *fleet.Update
		if kind == fleet.UpstreamTable && !whole && len(batch.Changes) > 0 {
			news = &fleet.Update{PreviousChange: last, LastChange: batch.Last, Revision: batch.Revision, Changes: batch.Changes, FreshAt: asked}
		}
		f.Told(news)
	}
	return ok
}

// changed logs changes and hands them on.
func (f *Follower) changed(kind fleet.Table, before fleet.View, after *Snapshot, batch Batch, told bool) {
	f.logChanges(kind, before, after, batch, told)
	if f.OnChange != nil {
		f.OnChange()
	}
}

// promiseNewer is that no document is replaced by an older one, nor by none.
const promiseNewer = "document_never_older"

// publish makes the snapshot of the book; the mutex is held.
func (f *Follower) publish() *Snapshot {
	snapshot := &Snapshot{View: f.book.View(), FreshAt: f.book.FreshAt(), Synced: f.book.Synced()}
	if before := f.current.Load().Configuration; before != nil && (snapshot.Configuration == nil || snapshot.Configuration.Version < before.Version) {
		f.metrics.InvariantBroken(promiseNewer)
		f.logger.Error().Str("promise", promiseNewer).Int64("site_before", before.Version).Msg(telemetry.LogInvariantBroken)
		snapshot.Configuration = before
	}
	f.current.Store(snapshot)
	return snapshot
}

func (f *Follower) logChanges(kind fleet.Table, before fleet.View, after *Snapshot, batch Batch, told bool) {
	event := f.logger.Info().Int("table", int(kind)).Bool("told", told).Int64("revision", batch.Revision).
		Int("changes", len(batch.Changes)).Int("upstreams", len(after.Upstreams)).Int("zones_out", len(after.ZonesOutOfService))
	if after.Configuration != nil {
		event = event.Int64("site_version", after.Configuration.Version)
		if before.Configuration != nil {
			event = event.Int64("site_before", before.Configuration.Version)
		}
	}
	event.Msg(telemetry.LogBeliefsChanged)
}

// lookAgain gives up calls that wait too long and drops entries that did not come
// back.
func (f *Follower) lookAgain() {
	f.mutex.Lock()
	f.askSooner()
	removed := f.book.RemoveExpired(f.now())
	if removed {
		f.publish()
	}
	f.mutex.Unlock()
	if !removed {
		return
	}
	f.logger.Info().Int("upstreams", len(f.Current().Upstreams)).Msg("entries that lapsed did not come back")
	if f.OnChange != nil {
		f.OnChange()
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
