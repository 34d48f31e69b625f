package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

var errDown = errors.New("down")

// scripted is a source whose state a test sets.
type scripted struct {
	mutex    sync.Mutex
	site     int64
	revision int64
	down     bool
	gone     bool
	// stuck keeps the history gone after a read, as while reads are stale.
	stuck  bool
	silent bool
	reads  int
	calls  int
}

func (s *scripted) set(f func(s *scripted)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s)
}

func (s *scripted) batch(kind fleet.Table) Batch {
	batch := Batch{Revision: s.revision}
	if kind == fleet.OperatorTable {
		site := &fleet.Configuration{Version: s.site}
		site.Index()
		batch.Changes = []fleet.Change{{Configuration: site}}
	}
	return batch
}

func (s *scripted) Read(_ context.Context, kind fleet.Table) (Batch, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return Batch{}, errDown
	}
	s.reads++
	s.gone = s.stuck
	return s.batch(kind), nil
}

func (s *scripted) Changes(ctx context.Context, kind fleet.Table, since int64, wait time.Duration) (Batch, error) {
	for start := time.Now(); ; {
		s.mutex.Lock()
		if start.Equal(time.Now()) {
			s.calls++
		}
		batch, down, gone, silent := s.batch(kind), s.down, s.gone, s.silent
		s.mutex.Unlock()
		switch {
		case ctx.Err() != nil:
			return Batch{}, ctx.Err()
		case silent:
			<-ctx.Done()
			return Batch{}, ctx.Err()
		case down:
			return Batch{}, errDown
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

func run(t *testing.T, test func(t *testing.T, source *scripted, f *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		source := &scripted{site: 1, revision: 1}
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

func age(f *Follower) time.Duration { return f.now() - f.Current().FreshAt }

func TestAChangeIsKnownAtOnce(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		is.True(f.Current().Synced)
		source.set(func(s *scripted) { s.site, s.revision = 2, 2 })
		time.Sleep(50 * time.Millisecond)
		is.Equal(f.Current().Configuration.Version, int64(2))
	})
}

func TestBeliefsStayFreshOnAQuietSite(t *testing.T) {
	run(t, func(t *testing.T, _ *scripted, f *Follower) {
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age(f) > 2*fleet.ShortPollWait+100*time.Millisecond {
				t.Fatalf("beliefs are %v old", age(f))
			}
		}
	})
}

func TestASilentConnectionIsLeft(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		source.set(func(s *scripted) { s.silent = true })
		time.Sleep(fleet.ShortPollWait + 100*time.Millisecond)
		source.set(func(s *scripted) { s.silent = false; s.site, s.revision = 3, 3 })
		// The call that hangs is given up, and the next one brings the change.
		time.Sleep(fleet.ShortPollWait + callSlack)
		is.Equal(f.Current().Configuration.Version, int64(3))
	})
}

func TestALostHistoryIsReadAgain(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		before := 0
		source.set(func(s *scripted) { before = s.reads })
		source.set(func(s *scripted) { s.gone = true; s.site, s.revision = 4, 4 })
		time.Sleep(2 * time.Second)
		source.set(func(s *scripted) { is.True(s.reads > before) })
		is.Equal(f.Current().Configuration.Version, int64(4))
	})
}

func TestAHistoryThatStaysGoneIsAskedForInTurns(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		source.set(func(s *scripted) { s.gone, s.stuck, s.reads = true, true, 0 })
		time.Sleep(4 * time.Second)
		// Two tables, with pauses that double up to lastPause.
		source.set(func(s *scripted) { is.True(s.reads < 2*30) })
		source.set(func(s *scripted) { s.gone, s.stuck = false, false; s.site, s.revision = 7, 7 })
		time.Sleep(lastPause + 100*time.Millisecond)
		is.Equal(f.Current().Configuration.Version, int64(7))
	})
}

func TestAStaleReadIsNotTaken(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		source.set(func(s *scripted) { s.site, s.revision = 8, 8 })
		time.Sleep(100 * time.Millisecond)
		fresh := f.Current().FreshAt
		source.set(func(s *scripted) { s.gone = true; s.site, s.revision = 6, 6 })
		time.Sleep(2500 * time.Millisecond)
		is.Equal(f.Current().Configuration.Version, int64(8))
		is.True(f.Current().FreshAt-fresh < 2*time.Second) // what is stale makes nothing fresh
		source.set(func(s *scripted) { s.site, s.revision = 9, 9 })
		time.Sleep(time.Second)
		is.Equal(f.Current().Configuration.Version, int64(9))
	})
}

// tell lets another node confirm that nothing changed, each half second.
func tell(f *Follower, changed int64, times int) {
	for range times {
		time.Sleep(500 * time.Millisecond)
		claim := fleet.Watermark{LastChange: changed, FreshAt: f.now()}
		f.Confirm([2]fleet.Watermark{claim, claim})
	}
}

func TestANodeThatIsToldAsksTheStoreSeldom(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		f.Tells = func() bool { return false }
		f.mutex.Unlock()
		tell(f, 1, 6)
		calls := 0
		source.set(func(s *scripted) { calls = s.calls })
		tell(f, 1, 20)
		source.set(func(s *scripted) { is.True(s.calls-calls <= 2) })
		is.True(age(f) < 600*time.Millisecond)
	})
}

func TestNewsOfUpstreamsNeedNoCall(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		f.Tells = func() bool { return false }
		f.mutex.Unlock()
		tell(f, 1, 6)
		source.set(func(s *scripted) { s.calls = 0 })
		for revision := int64(2); revision < 50; revision++ {
			news := &fleet.Update{PreviousChange: revision - 1, LastChange: revision, Revision: revision, FreshAt: f.now()}
			news.Changes = []fleet.Change{{Upstream: &fleet.Upstream{ID: "u", StartedMs: revision}}}
			f.Learn(news)
			is.Equal(f.Current().Upstreams["u"].StartedMs, revision)
			time.Sleep(500 * time.Millisecond)
			f.Confirm([2]fleet.Watermark{{LastChange: 1, FreshAt: f.now()}, {LastChange: revision, Revision: revision, FreshAt: f.now()}})
		}
		// 24 s: one or two calls for the operator's table, none for the upstreams'.
		source.set(func(s *scripted) { is.True(s.calls <= 2) })
	})
}

func TestNewsThatWereLostAreAskedFor(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		f.Tells = func() bool { return false }
		f.mutex.Unlock()
		tell(f, 1, 6)
		source.set(func(s *scripted) { s.revision = 9 })
		f.Learn(&fleet.Update{PreviousChange: 5, LastChange: 9, Revision: 9, FreshAt: f.now()})
		is.Equal(f.book.LastChange(fleet.UpstreamTable), int64(1))
		time.Sleep(behindTime + 2*expireInterval)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		is.Equal(f.book.Revision(fleet.UpstreamTable), int64(9))
	})
}

func TestANodeThatIsNotToldAsksItself(t *testing.T) {
	run(t, func(t *testing.T, _ *scripted, f *Follower) {
		f.mutex.Lock()
		f.Tells = func() bool { return false }
		f.mutex.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			// The age at which it asks, its own short call, and the look for it.
			if age(f) > quietAge+fleet.ShortPollWait+2*expireInterval {
				t.Fatalf("beliefs are %v old", age(f))
			}
		}
	})
}

func TestANodeWhoseLongCallWentSilentAsksAgain(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		f.Tells = func() bool { return false }
		f.mutex.Unlock()
		tell(f, 1, 4)
		source.set(func(s *scripted) { s.silent = true })
		time.Sleep(fleet.LongPollWait)
		source.set(func(s *scripted) { s.silent = false; s.site, s.revision = 5, 5 })
		tell(f, 5, 2)
		time.Sleep(fleet.ShortPollWait + callSlack)
		is.Equal(f.Current().Configuration.Version, int64(5))
	})
}

func TestAnOutageAgesBeliefs(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		source.set(func(s *scripted) { s.down = true })
		time.Sleep(5 * time.Second)
		is.True(age(f) > 4500*time.Millisecond)
		is.True(f.Current().Synced)
		source.set(func(s *scripted) { s.down = false })
		time.Sleep(lastPause + 1100*time.Millisecond)
		is.True(age(f) < 2*time.Second)
	})
}

func TestManyChangesCostFewCalls(t *testing.T) {
	run(t, func(t *testing.T, source *scripted, f *Follower) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		source.set(func(s *scripted) { s.calls = 0 })
		for revision := int64(2); revision <= 200; revision++ {
			source.set(func(s *scripted) { s.site, s.revision = revision, revision })
			time.Sleep(20 * time.Millisecond)
		}
		// 4 s: a call for each of the operator's changes, which nothing may hold up, and
		// few for those of the upstreams.
		source.set(func(s *scripted) { is.True(s.calls <= 199+callBurst+int(4*time.Second/callSpacing)+2) })
		time.Sleep(callSpacing)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		is.Equal(f.book.Revision(fleet.UpstreamTable), int64(200))
	})
}

func TestAnOlderDocumentIsNotPublished(t *testing.T) {
	run(t, func(t *testing.T, _ *scripted, f *Follower) {
		is := is.New(t)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.current.Store(&Snapshot{View: fleet.View{Configuration: &fleet.Configuration{Version: 9}}})
		is.Equal(f.publish().Configuration.Version, int64(9)) // the book's is 1
		is.Equal(f.metrics.CounterValue(`wigeontiller_invariant_broken_total{invariant="`+promiseNewer+`"}`), int64(1))
	})
}

// overtaken answers each call after a hook has run.
type overtaken struct {
	*scripted
	hook func()
}

func (o *overtaken) Changes(context.Context, fleet.Table, int64, time.Duration) (Batch, error) {
	o.hook()
	return Batch{Revision: 5}, nil
}

func TestAnAnswerThatNewsOvertookIsNoFailure(t *testing.T) {
	is := is.New(t)
	source := &overtaken{scripted: &scripted{site: 1, revision: 1}, hook: func() {}}
	f := New(source, func() time.Duration { return time.Second }, zerolog.Nop(), telemetry.NewMetrics())
	_, err := f.step(t.Context(), fleet.UpstreamTable, false)
	is.NoErr(err)
	source.hook = func() { f.Learn(&fleet.Update{PreviousChange: 1, LastChange: 9, Revision: 9}) }
	_, err = f.step(t.Context(), fleet.UpstreamTable, true)
	is.True(errors.Is(err, errAskAgain))
	source.hook = func() {}
	ok, err := f.step(t.Context(), fleet.UpstreamTable, true) // a stale answer is none
	is.NoErr(err)
	is.True(!ok)
}
