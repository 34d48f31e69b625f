package claimstore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/claim"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
	"github.com/wigeontiller/wigeontiller/storage/memory"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// clock is a virtual clock; Sleep advances it.
type clock struct {
	mutex sync.Mutex
	now   time.Time
}

func (c *clock) Now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.now
}

func (c *clock) advance(period time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now = c.now.Add(period)
}

func (c *clock) Sleep(_ context.Context, period time.Duration) {
	c.advance(period)
}

func newStore(p storage.Platform, c *clock, node string) *Store {
	return New(Config{Platform: p, Logger: zerolog.Nop(), Metrics: telemetry.NewMetrics(), Node: node, Now: c.Now, Sleep: c.Sleep})
}

func newClock() *clock {
	return &clock{now: time.Date(2030, 1, 1, 0, 30, 0, 0, time.UTC)}
}

func callOf(c *clock, key string) Call {
	return Call{
		Scope:       claim.Scope{Environment: "works", Lane: "production", Organisation: "dock", Key: key},
		Fingerprint: "same", Deadline: c.Now().Add(10 * time.Second), Retention: time.Hour,
	}
}

func TestRepeatAtAnotherNodeReplaysFirstAnswer(t *testing.T) {
	for _, size := range []int{0, 100, maxRowResultBytes, maxRowResultBytes + 1, 1 << 20} {
		is := is.New(t)
		c, p := newClock(), memory.New()
		first, second := newStore(p, c, "a"), newStore(p, c, "b")
		held, answered := first.Claim(context.Background(), callOf(c, "key"))
		is.True(answered == nil)
		result := claim.Result{Status: 201, Header: []claim.HeaderField{{Name: "X-A", Value: "b"}}, Body: []byte(strings.Repeat("x", size))}
		held.Complete(result)
		first.Wait()
		held, answered = second.Claim(context.Background(), callOf(c, "key"))
		is.True(held == nil)
		is.Equal(answered.Verdict, claim.Replay)
		is.Equal(answered.Result.Status, 201)
		is.Equal(answered.Result.Header, result.Header)
		is.Equal(string(answered.Result.Body), string(result.Body))
	}
}

func TestRepeatsGetVerdictOfStoredOutcome(t *testing.T) {
	is := is.New(t)
	c, p := newClock(), memory.New()
	store := newStore(p, c, "a")
	ctx := context.Background()
	held, _ := store.Claim(ctx, callOf(c, "released"))
	held.Release()
	store.Wait()
	held, _ = store.Claim(ctx, callOf(c, "released"))
	is.True(held != nil) // a call that was not run may run
	held.MarkUnknown()
	store.Wait()
	_, answered := store.Claim(ctx, callOf(c, "released"))
	is.Equal(answered.Verdict, claim.OutcomeUnknown)
	held, _ = store.Claim(ctx, callOf(c, "dead"))
	is.True(held.MayDispatch())
	_, answered = store.Claim(ctx, callOf(c, "dead"))
	is.Equal(answered.Verdict, claim.InProgress) // after the maximum wait
	c.advance(time.Minute)
	is.True(!held.MayDispatch()) // a paused holder must not send
	_, answered = store.Claim(ctx, callOf(c, "dead"))
	is.Equal(answered.Verdict, claim.OutcomeUnknown)
}

func TestClaimsAreSeparatedByScopeAndFingerprint(t *testing.T) {
	is := is.New(t)
	c, p := newClock(), memory.New()
	store := newStore(p, c, "a")
	_, answered := store.Claim(context.Background(), callOf(c, "key"))
	is.True(answered == nil)
	other := callOf(c, "key")
	other.Fingerprint = "other"
	_, answered = store.Claim(context.Background(), other)
	is.Equal(answered.Verdict, claim.KeyReused)
	for _, change := range []func(*claim.Scope){
		func(s *claim.Scope) { s.Environment = "other" },
		func(s *claim.Scope) { s.Lane = "trial" },
		func(s *claim.Scope) { s.Organisation = "other" },
	} {
		separate := callOf(c, "key")
		change(&separate.Scope)
		held, _ := store.Claim(context.Background(), separate)
		is.True(held != nil) // the same key in a different scope
	}
	is.True(claim.Fingerprint("ab", "c", "", nil) != claim.Fingerprint("a", "bc", "", nil))
}

func TestAnotherNodeSweepsExpiredClaims(t *testing.T) {
	is := is.New(t)
	c, p := newClock(), memory.New()
	ctx := context.Background()
	claimer, sweeper := newStore(p, c, "a"), newStore(p, c, "b")
	const keys = maxIndexRowEntries + 10 // more than one index row
	for i := range keys {
		held, _ := claimer.Claim(ctx, callOf(c, fmt.Sprintf("key-%d", i)))
		size := 10
		if i == 0 {
			size = 2 * maxRowResultBytes
		}
		held.Complete(claim.Result{Status: 200, Body: make([]byte, size)})
	}
	claimer.Wait()
	claimer.Flush(ctx)
	row, err := p.Get(ctx, callOf(c, "key-0").Scope.RowKey())
	is.NoErr(err)
	object := strings.Split(strings.SplitAfter(string(row.Value), `"object":"`)[1], `"`)[0]
	_, err = p.GetObject(ctx, object)
	is.NoErr(err)
	sweeper.Sweep(ctx)
	_, answered := sweeper.Claim(ctx, callOf(c, "key-1"))
	is.Equal(answered.Verdict, claim.Replay) // nothing is swept before its expiry
	c.advance(4 * time.Hour)
	sweeper.Sweep(ctx)
	for i := range keys {
		_, err := p.Get(ctx, callOf(c, fmt.Sprintf("key-%d", i)).Scope.RowKey())
		is.Equal(err, storage.ErrNotFound)
	}
	_, err = p.GetObject(ctx, object)
	is.Equal(err, storage.ErrNotFound)
	is.Equal(sweeper.config.Metrics.CounterValue("wigeontiller_claims_swept_total") >= keys, true)
}

// pausedRows keeps transactions of several rows without sending them.
type pausedRows struct {
	direct
	withheld []storage.Write
}

func (r *pausedRows) Write(ctx context.Context, class grouped.Class, write storage.Write, before time.Time, also ...storage.Write) error {
	if len(also) > 0 {
		r.withheld = append([]storage.Write{write}, also...)
		return storage.ErrUnknown
	}
	return r.direct.Write(ctx, class, write, before)
}

// TestDelayedRemovalKeepsRecreatedRow delays a sweeper's removal until another sweeper
// has removed the row and the key was claimed again, with the same version.
func TestDelayedRemovalKeepsRecreatedRow(t *testing.T) {
	is := is.New(t)
	c, p := newClock(), memory.New()
	ctx := context.Background()
	claimer, delayed := newStore(p, c, "a"), newStore(p, c, "b")
	rows := &pausedRows{direct: direct{table: p}}
	delayed.config.Rows = rows
	held, _ := claimer.Claim(ctx, callOf(c, "key"))
	is.True(held != nil) // its holder crashes
	claimer.Flush(ctx)
	c.advance(4 * time.Hour)
	delayed.Sweep(ctx)
	is.True(len(rows.withheld) > 1)
	claimer.Sweep(ctx)
	_, err := p.Get(ctx, callOf(c, "key").Scope.RowKey())
	is.Equal(err, storage.ErrNotFound)
	held, _ = claimer.Claim(ctx, callOf(c, "key"))
	is.True(held != nil)
	_ = p.Transact(ctx, rows.withheld)
	row, err := p.Get(ctx, callOf(c, "key").Scope.RowKey())
	is.NoErr(err) // the second claim is still held
	is.Equal(row.Version, uint64(1))
}

func TestOverdueIndexEntriesGoToFutureBucket(t *testing.T) {
	is := is.New(t)
	c, p := newClock(), memory.New()
	store := newStore(p, c, "a")
	_, answered := store.Claim(context.Background(), callOf(c, "key"))
	is.True(answered == nil)
	c.advance(10 * time.Hour) // the store was unavailable
	bucket, entries, _ := store.index.takeBatch(c.Now())
	is.Equal(len(entries), 1)
	is.True(bucket > bucketOf(c.Now()))
}
