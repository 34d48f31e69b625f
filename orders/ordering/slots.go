package ordering

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/wigeontiller/wigeontiller/orders"
	"github.com/wigeontiller/wigeontiller/storage"
)

const (
	slotsKey = "orders/slots"
	// slotRetryInterval is how long a node waits after it got no slot before it tries
	// again.
	slotRetryInterval = 5 * time.Second
)

// slots acquires and releases load slots in the table.
type slots struct {
	table       storage.Table
	nextAttempt time.Time
}

// acquire tries to get a slot for the engine and reports whether it holds one.
func (s *slots) acquire(ctx context.Context, now time.Time, engine string, configured func(string) bool) bool {
	if now.Before(s.nextAttempt) {
		return false
	}
	granted := false
	err := s.update(ctx, func(held orders.Slots) orders.Slots {
		var next orders.Slots
		next, granted = held.Acquire(engine, configured)
		return next
	})
	if err != nil || !granted {
		s.nextAttempt = now.Add(slotRetryInterval)
		return false
	}
	return true
}

// release frees the engine's slot, if it has one.
func (s *slots) release(ctx context.Context, engine string) error {
	return s.update(ctx, func(held orders.Slots) orders.Slots { return held.Release(engine) })
}

// update applies a change to the row and writes the row only when it differs.
func (s *slots) update(ctx context.Context, change func(orders.Slots) orders.Slots) error {
	row, err := s.table.Get(ctx, slotsKey)
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return err
	}
	var held orders.Slots
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &held); err != nil {
			return err
		}
	}
	next := change(held)
	if len(next.Engines) == len(held.Engines) && sameEngines(next, held) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	return s.table.Transact(ctx, []storage.Write{{Key: slotsKey, Value: value, IfVersion: row.Version}})
}

func sameEngines(next, held orders.Slots) bool {
	for i := range held.Engines {
		if next.Engines[i] != held.Engines[i] {
			return false
		}
	}
	return true
}
