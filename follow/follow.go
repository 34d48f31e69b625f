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

	"github.com/wigeontiller/wigeontiller/fleet"
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
	// expireInterval is how often lapsed entries are looked at.
	expireInterval = 100 * time.Millisecond
)

// Batch is the answer to one call.
type Batch struct {
	Changes []fleet.Change
	// Revision is the store's version that the answer goes up to.
	Revision int64
}

// Source reads one table of the store. Errors: ErrHistoryGone; any other means
// that nothing was learned.
type Source interface {
	Read(ctx context.Context, kind fleet.Kind) (Batch, error)
	Changes(ctx context.Context, kind fleet.Kind, since int64, wait time.Duration) (Batch, error)
}

// Follower holds the current view. It is safe for concurrent use.
type Follower struct {
	source  Source
	logger  zerolog.Logger
	metrics *telemetry.Metrics
	now     func() time.Duration

	mutex   sync.Mutex
	book    *fleet.Book
	current atomic.Pointer[Snapshot]
	// OnChange is called after the view changed, under no lock. It is set before Run.
	OnChange func()
}

// Snapshot is a view with its age.
type Snapshot struct {
	fleet.View
	// FreshAt is the time up to which the view is complete.
	FreshAt time.Duration
	// Known is true when both tables were read.
	Known bool
}

// New returns a follower that knows nothing. The clock also counts the time in
// which the machine was suspended.
func New(source Source, now func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics) *Follower {
	f := &Follower{source: source, logger: logger, metrics: metrics, now: now, book: fleet.NewBook()}
	f.current.Store(&Snapshot{View: f.book.View()})
	return f
}

// Current returns what is believed now.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Run follows both tables until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range []fleet.Kind{fleet.Operator, fleet.Upstreams} {
		group.Go(func() { f.follow(ctx, kind) })
	}
	group.Go(func() { f.expire(ctx) })
	group.Wait()
}

func (f *Follower) follow(ctx context.Context, kind fleet.Kind) {
	pause := firstPause
	synced, lost := false, false
	for ctx.Err() == nil {
		ok, err := f.step(ctx, kind, synced)
		if ctx.Err() != nil {
			return
		}
		if err == nil && ok {
			if lost {
				f.logger.Info().Int("table", int(kind)).Msg("store regained")
			}
			synced, lost, pause = true, false, firstPause
			continue
		}
		if errors.Is(err, ErrHistoryGone) {
			f.logger.Info().Int("table", int(kind)).Msg("store history gone, reading the table again")
			synced = false
			continue
		}
		if !lost {
			f.logger.Warn().Err(err).Int("table", int(kind)).Bool("older_than_known", err == nil).Msg("store lost")
		}
		lost = true
		f.metrics.Count("wigeontiller_store_failures_total", 1)
		f.fail(kind)
		sleep(ctx, pause/2+rand.N(pause/2))
		pause = min(2*pause, lastPause)
	}
}

func (f *Follower) fail(kind fleet.Kind) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.book.Failed(kind)
}

// step makes one call and merges its answer. It reports false when the answer
// was older than what is known.
func (f *Follower) step(ctx context.Context, kind fleet.Kind, synced bool) (bool, error) {
	asked := f.now()
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		batch, err := f.source.Read(ctx, kind)
		if err != nil {
			return false, err
		}
		return f.merge(kind, batch, asked, true), nil
	}
	ctx, cancel := context.WithTimeout(ctx, fleet.FollowWait+callSlack)
	defer cancel()
	f.mutex.Lock()
	since := f.book.Revision(kind)
	f.mutex.Unlock()
	batch, err := f.source.Changes(ctx, kind, since, fleet.FollowWait)
	if err != nil {
		return false, err
	}
	return f.merge(kind, batch, asked, false), nil
}

func (f *Follower) merge(kind fleet.Kind, batch Batch, asked time.Duration, whole bool) bool {
	f.mutex.Lock()
	now := f.now()
	before := f.book.View()
	merge := f.book.Apply
	if whole {
		merge = f.book.Replace
	}
	ok := merge(kind, batch.Changes, batch.Revision, asked, now)
	snapshot := f.publish()
	f.mutex.Unlock()
	if ok && (whole || len(batch.Changes) > 0) {
		f.logChanges(kind, before, snapshot, batch)
		if f.OnChange != nil {
			f.OnChange()
		}
	}
	return ok
}

// publish makes the snapshot of the book; the mutex is held.
func (f *Follower) publish() *Snapshot {
	snapshot := &Snapshot{View: f.book.View(), FreshAt: f.book.FreshAt(), Known: f.book.Known()}
	f.current.Store(snapshot)
	return snapshot
}

func (f *Follower) logChanges(kind fleet.Kind, before fleet.View, after *Snapshot, batch Batch) {
	event := f.logger.Info().Int("table", int(kind)).Int64("revision", batch.Revision).
		Int("changes", len(batch.Changes)).Int("upstreams", len(after.Upstreams)).Int("zones_out", len(after.ZonesOut))
	if after.Site != nil {
		event = event.Int64("site_version", after.Site.Version)
		if before.Site != nil {
			event = event.Int64("site_before", before.Site.Version)
		}
	}
	event.Msg("beliefs changed")
}

func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.mutex.Lock()
		removed := f.book.Expire(f.now())
		var snapshot *Snapshot
		if removed {
			snapshot = f.publish()
		}
		f.mutex.Unlock()
		if removed {
			f.logger.Info().Int("upstreams", len(snapshot.Upstreams)).Msg("entries that lapsed did not come back")
			if f.OnChange != nil {
				f.OnChange()
			}
		}
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
