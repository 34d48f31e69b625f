package guard

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// failing answers each call with the next of its errors, then with nil.
type failing struct {
	*memory.Platform
	errors []error
	calls  int
}

func (f *failing) next() error {
	f.calls++
	if len(f.errors) == 0 {
		return nil
	}
	err := f.errors[0]
	f.errors = f.errors[1:]
	return err
}

func (f *failing) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := f.next(); err != nil {
		return storage.Row{}, err
	}
	return f.Platform.Get(ctx, key)
}

func (f *failing) Transact(ctx context.Context, writes []storage.Write) error {
	if err := f.next(); err != nil {
		return err
	}
	return f.Platform.Transact(ctx, writes)
}

func repeat(err error, times int) []error {
	var all []error
	for range times {
		all = append(all, err)
	}
	return all
}

func newFailing(err error, times int) *failing {
	return &failing{Platform: memory.New(), errors: repeat(err, times)}
}

func TestReadsAreRepeatedAndWritesAreNot(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := newFailing(storage.ErrUnknown, 2)
	_, err := New(inner, telemetry.NewMetrics()).Ordinary().Get(ctx, "row")
	is.True(errors.Is(err, storage.ErrNotFound)) // the third attempt's answer
	is.Equal(inner.calls, 3)
	inner = newFailing(storage.ErrUnknown, 1)
	err = New(inner, telemetry.NewMetrics()).Urgent().Transact(ctx, []storage.Write{{Key: "row"}})
	is.True(errors.Is(err, storage.ErrUnknown)) // goes up, so that callers read back
	is.Equal(inner.calls, 1)
}

func TestBreakerRefusesAtOnceWithoutACall(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := newFailing(storage.ErrUnknown, 100)
	metrics := telemetry.NewMetrics()
	client := New(inner, metrics)
	for range breakerFailures {
		_ = client.Ordinary().Transact(ctx, nil)
	}
	is.True(!client.Available())
	calls := inner.calls
	err := client.Urgent().Transact(ctx, nil)
	is.True(errors.Is(err, storage.ErrUnavailable)) // known to have had no effect
	is.Equal(inner.calls, calls)
	is.Equal(metrics.CounterValue(`wigeontiller_platform_calls_total{kind="write",outcome="unavailable"}`), int64(1))
	is.Equal(metrics.CounterValue(`wigeontiller_platform_calls_total{kind="write",outcome="unknown"}`), int64(breakerFailures))
}

func TestConflictsDoNotOpenTheBreaker(t *testing.T) {
	is := is.New(t)
	client := New(newFailing(storage.ErrConflict, 100), telemetry.NewMetrics())
	for range 3 * breakerFailures {
		is.True(errors.Is(client.Ordinary().Transact(context.Background(), nil), storage.ErrConflict))
	}
	is.True(client.Available())
}

func TestOverTheBudgetIsRefusedUnsent(t *testing.T) {
	is := is.New(t)
	inner := newFailing(nil, 0)
	client := New(inner, telemetry.NewMetrics())
	client.SetNodes(320)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(client.Urgent().Transact(ctx, nil)) // the burst of one
	err := client.Urgent().Transact(ctx, nil)
	is.True(errors.Is(err, storage.ErrUnavailable))
	is.Equal(inner.calls, 1)
}
