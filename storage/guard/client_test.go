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

// failingPlatform fails each call with the next of its errors; then calls succeed.
type failingPlatform struct {
	*memory.Platform
	errors []error
	calls  int
}

func (f *failingPlatform) next() error {
	f.calls++
	if len(f.errors) == 0 {
		return nil
	}
	err := f.errors[0]
	f.errors = f.errors[1:]
	return err
}

func (f *failingPlatform) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := f.next(); err != nil {
		return storage.Row{}, err
	}
	return f.Platform.Get(ctx, key)
}

func (f *failingPlatform) Transact(ctx context.Context, writes []storage.Write) error {
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

func newFailingPlatform(err error, times int) *failingPlatform {
	return &failingPlatform{Platform: memory.New(), errors: repeat(err, times)}
}

func TestClientRetriesReadsButNotWrites(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := newFailingPlatform(storage.ErrUnknown, 2)
	_, err := New(inner, telemetry.NewMetrics()).Ordinary().Get(ctx, "row")
	is.True(errors.Is(err, storage.ErrNotFound)) // the third attempt's result
	is.Equal(inner.calls, 3)
	inner = newFailingPlatform(storage.ErrUnknown, 1)
	err = New(inner, telemetry.NewMetrics()).Urgent().Transact(ctx, []storage.Write{{Key: "row"}})
	is.True(errors.Is(err, storage.ErrUnknown)) // returned, so that callers can read back
	is.Equal(inner.calls, 1)
}

func TestOpenBreakerRejectsWithoutSending(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	inner := newFailingPlatform(storage.ErrUnknown, 100)
	metrics := telemetry.NewMetrics()
	client := New(inner, metrics)
	for range breakerFailures {
		_ = client.Ordinary().Transact(ctx, nil)
	}
	is.True(!client.Available())
	calls := inner.calls
	err := client.Urgent().Transact(ctx, nil)
	is.True(errors.Is(err, storage.ErrUnavailable)) // certainly no effect
	is.Equal(inner.calls, calls)
	is.Equal(metrics.CounterValue(`wigeontiller_platform_calls_total{kind="write",outcome="unavailable"}`), int64(1))
	is.Equal(metrics.CounterValue(`wigeontiller_platform_calls_total{kind="write",outcome="unknown"}`), int64(breakerFailures))
}

func TestConflictsDoNotOpenBreaker(t *testing.T) {
	is := is.New(t)
	client := New(newFailingPlatform(storage.ErrConflict, 100), telemetry.NewMetrics())
	for range 3 * breakerFailures {
		is.True(errors.Is(client.Ordinary().Transact(context.Background(), nil), storage.ErrConflict))
	}
	is.True(client.Available())
}

func TestClientRejectsUnsentWhenOutOfTokens(t *testing.T) {
	is := is.New(t)
	inner := newFailingPlatform(nil, 0)
	client := New(inner, telemetry.NewMetrics())
	client.SetNodes(320)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(client.Urgent().Transact(ctx, nil)) // the burst of one
	err := client.Urgent().Transact(ctx, nil)
	is.True(errors.Is(err, storage.ErrUnavailable))
	is.Equal(inner.calls, 1)
}
