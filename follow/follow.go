// Package follow keeps a node's view of the store's tables up to date: it reads the
// tables, polls for changes, and reads a table again if the store's history has a gap.
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

// ErrHistoryGone is returned by a source that no longer has the requested changes.
var ErrHistoryGone = eris.New("store no longer has the requested changes")

const (
	// callSlack is added to a request's wait to get its timeout; after that the
	// connection counts as dead. A healthy store responds within 4 ms.
	callSlack = 600 * time.Millisecond
	// readTimeout bounds a read of a whole table.
	readTimeout = 2500 * time.Millisecond
	// minBackoff is the delay after a failed request; it doubles up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// callInterval is the mean time between requests for the table of upstreams after a
	// burst of callBurst, so that many upstreams that start at once cause few requests.
	// It is a small part of the time within which a node must learn that an upstream
	// is draining, 2 s on the users' sites.
	callInterval = 300 * time.Millisecond
	callBurst    = 4
	// sweepInterval is how often overdue polls and lapsed entries are checked.
	sweepInterval = 100 * time.Millisecond
)

// errEraChanged is returned for changes of a later era of the store than the known one.
var errEraChanged = eris.New("store was restored from a backup")

// Batch is the response to one request.
type Batch struct {
	// Era is the store's era; 0 is not stated.
	Era     int64
	Changes []fleet.Change
	// Last is the version of the last change; it is set by Changes only.
	Last int64
	// Revision is the store version up to which the response is complete.
	Revision int64
}

// Source reads one table of the store. Errors: ErrHistoryGone; any other error means
// that there was no usable response.
type Source interface {
	Read(ctx context.Context, kind fleet.Table) (Batch, error)
	Changes(ctx context.Context, kind fleet.Table, since int64, wait time.Duration) (Batch, error)
	// Decode decodes a document that another node sent as it had received it.
	Decode(document []byte) (*fleet.Configuration, error)
}

// Follower holds the current view. It is safe for concurrent use.
type Follower struct {
	source  Source
	logger  zerolog.Logger
	metrics *telemetry.Metrics
	now     func() time.Duration

	mutex   sync.Mutex
	replica *fleet.Replica
	current atomic.Pointer[Snapshot]
	// OnChange is called after the view changed, under no lock. It is set before Run.
	OnChange func()
	// IsPublisher reports whether this node polls the store at short intervals and
	// confirms its view to the other nodes, which use long polls. It is set before Run.
	IsPublisher func() bool
	// OnStoreResponse is called after a response of the store, under no lock, with its
	// changes, or nil if it has none. It is set before Run.
	OnStoreResponse func(update *fleet.Update)

	// StaleCallSpacing returns the mean time between requests of this node for a table that
	// is old, if it is not a publisher and the publishers can be expected to forward what
	// they get; 0 is no spacing. It is set before Run.
	StaleCallSpacing func() time.Duration

	// FirstPollDelay is the time from the first read of a table to the first poll, in which the
	// node learns of the others and of whether it is a publisher. It is set before Run.
	FirstPollDelay time.Duration
	// OnEra is called when the store was restored from a backup, under no lock, so that this
	// system's own rows are written again. It is set before Run.
	OnEra func()

	// polls holds the state of the long polls, by table.
	polls [2]longPoll
}

// longPoll is the state of one table's long poll.
type longPoll struct {
	// cancel ends the current long poll; nil if there is none.
	cancel context.CancelFunc
	// behindSince is when another node first reported a change that this node lacks; 0 is none.
	behindSince time.Duration
	// shortPollUntil is the time until which the node uses short polls instead of
	// relying on other nodes' updates.
	shortPollUntil time.Duration
	// catchUp makes the next request of a node that relies on publishers a single one that
	// does not wait.
	catchUp bool
}

// Snapshot is a read-only copy of the view at one moment, with its age.
type Snapshot struct {
	fleet.View
	// FreshAt is the time up to which the view is complete, on the follower's clock.
	FreshAt time.Duration
	// Synced is true when both tables were read and a document is in force.
	Synced bool
}

// New returns a follower with an empty view. The clock must include the time in
// which the machine was suspended.
func New(source Source, now func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics) *Follower {
	f := &Follower{
		IsPublisher: func() bool { return true }, StaleCallSpacing: func() time.Duration { return 0 }, OnStoreResponse: func(*fleet.Update) {}, source: source, logger: logger, metrics: metrics, now: now, replica: fleet.NewReplica(),
	}
	f.current.Store(&Snapshot{View: f.replica.View()})
	return f
}

// Current returns the latest snapshot.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Run follows both tables until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, kind := range []fleet.Table{fleet.OperatorTable, fleet.UpstreamTable} {
		group.Go(func() { f.followTable(ctx, kind) })
	}
	group.Go(func() { periodic.Run(ctx, sweepInterval, f.sweep) })
	group.Wait()
}

func (f *Follower) followTable(ctx context.Context, kind fleet.Table) {
	backoff := minBackoff
	started, synced, lost := false, false, false
	calls := rate.NewLimiter(rate.Every(callInterval), callBurst)
	for ctx.Err() == nil {
		if kind == fleet.UpstreamTable && calls.Wait(ctx) != nil {
			return
		}
		if synced {
			f.spaceStaleCalls(ctx, kind)
		}
		ok, err := f.poll(ctx, kind, synced)
		if ctx.Err() != nil {
			return
		}
		if err == nil && ok {
			if lost {
				f.logger.Info().Int("table", int(kind)).Msg(telemetry.LogStoreReachable)
			}
			if !started {
				sleep(ctx, f.FirstPollDelay)
			}
			started, synced, lost, backoff = true, true, false, minBackoff
			continue
		}
		if errors.Is(err, errPollAgain) {
			continue
		}
		if (errors.Is(err, ErrHistoryGone) || errors.Is(err, errEraChanged)) && synced {
			f.logger.Info().Int("table", int(kind)).Err(err).Msg("reading the table again")
			synced = false
			continue
		}
		if !lost {
			f.logger.Warn().Err(err).Int("table", int(kind)).Bool("older_than_known", err == nil).Msg(telemetry.LogStoreUnreachable)
		}
		lost = true
		f.metrics.Count("wigeontiller_store_failures_total", 1)
		f.recordFailure(kind)
		sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Follower) recordFailure(kind fleet.Table) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.replica.RecordFailure(kind)
}

// poll makes one request and merges its response. It reports false if the response
// was older than the view.
func (f *Follower) poll(ctx context.Context, kind fleet.Table, synced bool) (bool, error) {
	requestedAt := f.now()
	if !synced {
		return f.readTable(ctx, kind, requestedAt)
	}
	wait, long, publisher := fleet.ShortPollWait, false, f.IsPublisher()
	spaced := f.StaleCallSpacing() > 0
	f.mutex.Lock()
	since := f.replica.Revision(kind)
	catchUp := f.polls[kind].catchUp || requestedAt-f.replica.TableFreshAt(kind) > maxLongPollAge
	switch {
	case publisher:
	case spaced && catchUp:
		wait = 0
	case spaced || requestedAt >= f.polls[kind].shortPollUntil:
		wait, long = fleet.LongPollWait, true
	}
	f.polls[kind].catchUp = false
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	if long {
		f.polls[kind].cancel = cancel
	}
	f.mutex.Unlock()
	if long && (kind == fleet.UpstreamTable || spaced) {
		// The publishers forward changes of this table.
		<-ctx.Done()
		return false, errPollAgain
	}
	batch, err := f.source.Changes(ctx, kind, since, wait)
	f.mutex.Lock()
	f.polls[kind].cancel = nil
	canceled := long && errors.Is(ctx.Err(), context.Canceled)
	f.mutex.Unlock()
	if err != nil && canceled {
		return false, errPollAgain
	}
	if err != nil {
		return false, err
	}
	if batch.Era > f.era(kind) {
		return false, errEraChanged
	}
	if f.merge(kind, batch, requestedAt, false) {
		return true, nil
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.replica.Revision(kind) != since {
		return false, errPollAgain
	}
	return false, nil
}

// errPollAgain is returned for a long poll that was canceled to poll anew, and for a
// response that another node's update superseded.
var errPollAgain = eris.New("poll again")

// readTable reads a whole table. A read may be stale, so it is accepted only if the
// store also returns the changes since the revision that was read.
func (f *Follower) readTable(ctx context.Context, kind fleet.Table, requestedAt time.Duration) (bool, error) {
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
	if since.Era != batch.Era {
		return false, errEraChanged
	}
	return f.merge(kind, batch, requestedAt, true) && f.merge(kind, since, requestedAt, false), nil
}

const (
	// maxLongPollAge is the age of a table at which its long poll is replaced by short
	// polls: the publishers confirm once per ShortPollWait, and two datagrams may be lost.
	maxLongPollAge = 1800 * time.Millisecond
	// behindTimeout is how long a change that another node has may be missing here.
	behindTimeout = 300 * time.Millisecond
	// shortPollTime is how long a node uses short polls after either of these.
	shortPollTime = 3 * time.Second
)

func (f *Follower) merge(kind fleet.Table, batch Batch, requestedAt time.Duration, full bool) bool {
	f.mutex.Lock()
	now := f.now()
	if batch.Era != 0 && batch.Era < f.replica.Era(kind) {
		f.mutex.Unlock()
		return false
	}
	newEra := full && batch.Era > f.replica.Era(kind) && f.beginEra(kind, batch.Era)
	before, last := f.replica.View(), f.replica.LastChange(kind)
	merge := f.replica.Apply
	if full {
		merge = func(kind fleet.Table, changes []fleet.Change, _, revision int64, requestedAt, now time.Duration) bool {
			return f.replica.Replace(kind, changes, revision, requestedAt, now)
		}
	}
	ok := merge(kind, batch.Changes, batch.Last, batch.Revision, requestedAt, now)
	if ok {
		f.polls[kind].behindSince = 0
	}
	snapshot := f.publish()
	f.mutex.Unlock()
	if ok && (full || len(batch.Changes) > 0) {
		f.notifyChange(kind, before, snapshot, batch, false)
	}
	if newEra && f.OnEra != nil {
		f.OnEra()
	}
	if ok {
		var update *fleet.Update
		if !full && len(batch.Changes) > 0 {
			update = &fleet.Update{Table: kind, Era: batch.Era, PreviousChange: last, LastChange: batch.Last, Revision: batch.Revision, Changes: batch.Changes, FreshAt: requestedAt}
		}
		if update == nil {
			update = f.holds(kind)
		}
		f.OnStoreResponse(update)
	}
	return ok
}

// notifyChange logs changes and calls OnChange. fromPeer is true for another node's update.
func (f *Follower) notifyChange(kind fleet.Table, before fleet.View, after *Snapshot, batch Batch, fromPeer bool) {
	f.logChanges(kind, before, after, batch, fromPeer)
	if f.OnChange != nil {
		f.OnChange()
	}
}

// invariantNeverOlder names the invariant that no document is replaced by an older one
// or removed.
const invariantNeverOlder = "document_never_older"

// publish stores a snapshot of the replica as the current one; the mutex is held.
func (f *Follower) publish() *Snapshot {
	snapshot := &Snapshot{View: f.replica.View(), FreshAt: f.replica.FreshAt(), Synced: f.replica.Synced()}
	if before := f.current.Load().Configuration; before != nil && (snapshot.Configuration == nil || snapshot.Configuration.Version < before.Version) {
		f.metrics.InvariantBroken(invariantNeverOlder)
		f.logger.Error().Str("promise", invariantNeverOlder).Int64("site_before", before.Version).Msg(telemetry.LogInvariantBroken)
		snapshot.Configuration = before
	}
	f.current.Store(snapshot)
	return snapshot
}

func (f *Follower) logChanges(kind fleet.Table, before fleet.View, after *Snapshot, batch Batch, fromPeer bool) {
	event := f.logger.Info().Int("table", int(kind)).Bool("told", fromPeer).Int64("era", batch.Era).Int64("revision", batch.Revision).
		Int("changes", len(batch.Changes)).Int("upstreams", len(after.Upstreams)).Int("zones_out", len(after.ZonesOutOfService))
	if after.Configuration != nil {
		event = event.Int64("site_version", after.Configuration.Version)
		if before.Configuration != nil {
			event = event.Int64("site_before", before.Configuration.Version)
		}
	}
	event.Msg(telemetry.LogViewChanged)
}

// sweep cancels overdue long polls and drops lapsed entries that did not come back.
func (f *Follower) sweep() {
	f.mutex.Lock()
	f.cancelStalePolls()
	removed := f.replica.RemoveExpired(f.now())
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

func sleep(ctx context.Context, backoff time.Duration) {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
