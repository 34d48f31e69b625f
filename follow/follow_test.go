package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

var errUnavailable = errors.New("down")

// scriptedSource is a source whose state is set by the test.
type scriptedSource struct {
	mutex       sync.Mutex
	version     int64
	revision    int64
	unavailable bool
	historyGone bool
	// staysGone keeps the history gone after a read, as happens while reads are stale.
	staysGone    bool
	unresponsive bool
	reads        int
	calls        int
}

func (s *scriptedSource) set(f func(s *scriptedSource)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s)
}

func (s *scriptedSource) batch(kind fleet.Table) Batch {
	batch := Batch{Revision: s.revision}
	if kind == fleet.OperatorTable {
		configuration := &fleet.Configuration{Version: s.version}
		configuration.Index()
		batch.Changes = []fleet.Change{{Configuration: configuration}}
	}
	return batch
}

func (s *scriptedSource) Read(_ context.Context, kind fleet.Table) (Batch, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.unavailable {
		return Batch{}, errUnavailable
	}
	s.reads++
	s.historyGone = s.staysGone
	return s.batch(kind), nil
}

func (s *scriptedSource) Decode([]byte) (*fleet.Configuration, error) { return nil, errUnavailable }

func (s *scriptedSource) Changes(ctx context.Context, kind fleet.Table, since int64, wait time.Duration) (Batch, error) {
	for start := time.Now(); ; {
		s.mutex.Lock()
		if start.Equal(time.Now()) {
			s.calls++
		}
		batch, unavailable, gone, unresponsive := s.batch(kind), s.unavailable, s.historyGone, s.unresponsive
		s.mutex.Unlock()
		switch {
		case ctx.Err() != nil:
			return Batch{}, ctx.Err()
		case unresponsive:
			<-ctx.Done()
			return Batch{}, ctx.Err()
		case unavailable:
			return Batch{}, errUnavailable
		case gone:
			return Batch{}, ErrHistoryGone
		case batch.Revision != since:
			batch.Last = batch.Revision
			return batch, nil
		case time.Since(start) >= wait:
			return Batch{Revision: batch.Revision}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func runFollower(t *testing.T, test func(t *testing.T, source *scriptedSource, f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		source := &scriptedSource{version: 1, revision: 1}
		f := New(source, func() time.Duration { return time.Since(started) }, zerolog.Nop(), telemetry.NewMetrics())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(50 * time.Millisecond)
		test(t, source, f)
		cancel()
		<-done
	})
}

func viewAge(f *Follower) time.Duration { return f.now() - f.Current().FreshAt }

func TestFollowerMergesChangeImmediately(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		is.True(f.Current().Synced)
		source.set(func(s *scriptedSource) { s.version, s.revision = 2, 2 })
		time.Sleep(50 * time.Millisecond)
		is.Equal(f.Current().Configuration.Version, int64(2))
	})
}

func TestFollowerViewStaysFreshWithoutChanges(t *testing.T) {
	runFollower(t, func(t *testing.T, _ *scriptedSource, f *Follower) {
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if viewAge(f) > 2*fleet.ShortPollWait+100*time.Millisecond {
				t.Fatalf("the view is %v old", viewAge(f))
			}
		}
	})
}

func TestFollowerAbandonsUnresponsiveConnection(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		source.set(func(s *scriptedSource) { s.unresponsive = true })
		time.Sleep(fleet.ShortPollWait + 100*time.Millisecond)
		source.set(func(s *scriptedSource) { s.unresponsive = false; s.version, s.revision = 3, 3 })
		// The hanging request times out, and the next one returns the change.
		time.Sleep(fleet.ShortPollWait + callSlack)
		is.Equal(f.Current().Configuration.Version, int64(3))
	})
}

func TestFollowerReadsTableAgainWhenHistoryIsGone(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		before := 0
		source.set(func(s *scriptedSource) { before = s.reads })
		source.set(func(s *scriptedSource) { s.historyGone = true; s.version, s.revision = 4, 4 })
		time.Sleep(2 * time.Second)
		source.set(func(s *scriptedSource) { is.True(s.reads > before) })
		is.Equal(f.Current().Configuration.Version, int64(4))
	})
}

func TestFollowerBacksOffWhileHistoryStaysGone(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		source.set(func(s *scriptedSource) { s.historyGone, s.staysGone, s.reads = true, true, 0 })
		time.Sleep(4 * time.Second)
		// Two tables, each with a backoff that doubles up to maxBackoff.
		source.set(func(s *scriptedSource) { is.True(s.reads < 2*30) })
		source.set(func(s *scriptedSource) { s.historyGone, s.staysGone = false, false; s.version, s.revision = 7, 7 })
		time.Sleep(maxBackoff + 100*time.Millisecond)
		is.Equal(f.Current().Configuration.Version, int64(7))
	})
}

func TestFollowerRejectsStaleRead(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		source.set(func(s *scriptedSource) { s.version, s.revision = 8, 8 })
		time.Sleep(100 * time.Millisecond)
		fresh := f.Current().FreshAt
		source.set(func(s *scriptedSource) { s.historyGone = true; s.version, s.revision = 6, 6 })
		time.Sleep(2500 * time.Millisecond)
		is.Equal(f.Current().Configuration.Version, int64(8))
		is.True(f.Current().FreshAt-fresh < 2*time.Second) // a stale read does not advance FreshAt
		source.set(func(s *scriptedSource) { s.version, s.revision = 9, 9 })
		time.Sleep(time.Second)
		is.Equal(f.Current().Configuration.Version, int64(9))
	})
}

// confirmRepeatedly passes another node's confirmation that nothing changed, every 500 ms.
func confirmRepeatedly(f *Follower, changed int64, times int) {
	for range times {
		time.Sleep(500 * time.Millisecond)
		claim := fleet.Watermark{LastChange: changed, FreshAt: f.now()}
		f.Confirm([2]fleet.Watermark{claim, claim})
	}
}

func TestFollowerPollsRarelyWhilePeersConfirm(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		f.IsPublisher = func() bool { return false }
		f.mutex.Unlock()
		confirmRepeatedly(f, 1, 6)
		calls := 0
		source.set(func(s *scriptedSource) { calls = s.calls })
		confirmRepeatedly(f, 1, 20)
		source.set(func(s *scriptedSource) { is.True(s.calls-calls <= 2) })
		is.True(viewAge(f) < 600*time.Millisecond)
	})
}

func TestFollowerAppliesPeerUpdatesWithoutPolling(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		f.IsPublisher = func() bool { return false }
		f.mutex.Unlock()
		confirmRepeatedly(f, 1, 6)
		source.set(func(s *scriptedSource) { s.calls = 0 })
		for revision := int64(2); revision < 50; revision++ {
			update := &fleet.Update{Table: fleet.UpstreamTable, PreviousChange: revision - 1, LastChange: revision, Revision: revision, FreshAt: f.now()}
			update.Changes = []fleet.Change{{Upstream: &fleet.Upstream{ID: "u", StartedMs: revision}}}
			f.ApplyUpdate(update)
			is.Equal(f.Current().Upstreams["u"].StartedMs, revision)
			time.Sleep(500 * time.Millisecond)
			f.Confirm([2]fleet.Watermark{{LastChange: 1, FreshAt: f.now()}, {LastChange: revision, Revision: revision, FreshAt: f.now()}})
		}
		// In 24 s, one or two requests for the operator's table and none for the upstreams.
		source.set(func(s *scriptedSource) { is.True(s.calls <= 2) })
	})
}

func TestFollowerPollsForLostPeerUpdate(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		f.IsPublisher = func() bool { return false }
		f.mutex.Unlock()
		confirmRepeatedly(f, 1, 6)
		source.set(func(s *scriptedSource) { s.revision = 9 })
		f.ApplyUpdate(&fleet.Update{Table: fleet.UpstreamTable, PreviousChange: 5, LastChange: 9, Revision: 9, FreshAt: f.now()})
		is.Equal(f.replica.LastChange(fleet.UpstreamTable), int64(1))
		time.Sleep(behindTimeout + 2*sweepInterval)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		is.Equal(f.replica.Revision(fleet.UpstreamTable), int64(9))
	})
}

func TestFollowerPollsWithoutPeerConfirmations(t *testing.T) {
	runFollower(t, func(t *testing.T, _ *scriptedSource, f *Follower) {
		f.mutex.Lock()
		f.IsPublisher = func() bool { return false }
		f.mutex.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			// The age at which a long poll is canceled, one short poll, and two sweeps.
			if viewAge(f) > maxLongPollAge+fleet.ShortPollWait+2*sweepInterval {
				t.Fatalf("the view is %v old", viewAge(f))
			}
		}
	})
}

func TestFollowerPollsAgainWhenLongPollHangs(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		f.IsPublisher = func() bool { return false }
		f.mutex.Unlock()
		confirmRepeatedly(f, 1, 4)
		source.set(func(s *scriptedSource) { s.unresponsive = true })
		time.Sleep(fleet.LongPollWait)
		source.set(func(s *scriptedSource) { s.unresponsive = false; s.version, s.revision = 5, 5 })
		confirmRepeatedly(f, 5, 2)
		time.Sleep(fleet.ShortPollWait + callSlack)
		is.Equal(f.Current().Configuration.Version, int64(5))
	})
}

func TestFollowerViewAgesDuringOutage(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		source.set(func(s *scriptedSource) { s.unavailable = true })
		time.Sleep(5 * time.Second)
		is.True(viewAge(f) > 4500*time.Millisecond)
		is.True(f.Current().Synced)
		source.set(func(s *scriptedSource) { s.unavailable = false })
		time.Sleep(maxBackoff + 1100*time.Millisecond)
		is.True(viewAge(f) < 2*time.Second)
	})
}

func TestFollowerLimitsRequestsDuringManyChanges(t *testing.T) {
	runFollower(t, func(t *testing.T, source *scriptedSource, f *Follower) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		source.set(func(s *scriptedSource) { s.calls = 0 })
		for revision := int64(2); revision <= 200; revision++ {
			source.set(func(s *scriptedSource) { s.version, s.revision = revision, revision })
			time.Sleep(20 * time.Millisecond)
		}
		// In 4 s, one request for each of the operator's changes, which must not be
		// delayed, and few for those of the upstreams.
		source.set(func(s *scriptedSource) { is.True(s.calls <= 199+callBurst+int(4*time.Second/callInterval)+2) })
		time.Sleep(callInterval)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		is.Equal(f.replica.Revision(fleet.UpstreamTable), int64(200))
	})
}

func TestPublishRejectsOlderConfiguration(t *testing.T) {
	runFollower(t, func(t *testing.T, _ *scriptedSource, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.current.Store(&Snapshot{View: fleet.View{Configuration: &fleet.Configuration{Version: 9}}})
		is.Equal(f.publish().Configuration.Version, int64(9)) // the replica has version 1
		is.Equal(f.metrics.CounterValue(`wigeontiller_invariant_broken_total{invariant="`+invariantNeverOlder+`"}`), int64(1))
	})
}

// hookedSource runs a hook before each response.
type hookedSource struct {
	*scriptedSource
	hook func()
}

func (o *hookedSource) Changes(context.Context, fleet.Table, int64, time.Duration) (Batch, error) {
	o.hook()
	return Batch{Revision: 5}, nil
}

func TestPollRetriesWhenPeerUpdateSupersedesResponse(t *testing.T) {
	is := is.New(t)
	source := &hookedSource{scriptedSource: &scriptedSource{version: 1, revision: 1}, hook: func() {}}
	f := New(source, func() time.Duration { return time.Second }, zerolog.Nop(), telemetry.NewMetrics())
	_, err := f.poll(t.Context(), fleet.UpstreamTable, false)
	is.NoErr(err)
	source.hook = func() {
		f.ApplyUpdate(&fleet.Update{Table: fleet.UpstreamTable, PreviousChange: 1, LastChange: 9, Revision: 9})
	}
	_, err = f.poll(t.Context(), fleet.UpstreamTable, true)
	is.True(errors.Is(err, errPollAgain))
	source.hook = func() {}
	ok, err := f.poll(t.Context(), fleet.UpstreamTable, true) // a stale response is not merged
	is.NoErr(err)
	is.True(!ok)
}

// TestFollowerShortensItsPauseWhenFewNodesAreHeard starts a pause while gone nodes still count.
func TestFollowerShortensItsPauseWhenFewNodesAreHeard(t *testing.T) {
	runFollower(t, func(t *testing.T, _ *scriptedSource, f *Follower) {
		var spacing atomic.Int64
		spacing.Store(int64(time.Hour))
		f.mutex.Lock()
		f.IsPublisher = func() bool { return false }
		f.StaleCallSpacing = func() time.Duration { return time.Duration(spacing.Load()) }
		f.mutex.Unlock()
		time.Sleep(maxLongPollAge + fleet.LongPollWait)
		spacing.Store(int64(200 * time.Millisecond))
		time.Sleep(2*200*time.Millisecond + 3*sweepInterval)
		is.New(t).True(viewAge(f) < time.Second)
	})
}
