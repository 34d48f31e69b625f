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
	// slotsPause is how long a node asks for no slot after it got none.
	slotsPause = 5 * time.Second
)

// slots takes and releases load slots in the table.
type slots struct {
	table storage.Table
	next  time.Time
}

// take reports whether the engine holds a slot now.
func (s *slots) take(ctx context.Context, now time.Time, engine string, configured func(string) bool) bool {
	if now.Before(s.next) {
		return false
	}
	granted := false
	err := s.change(ctx, func(held orders.Slots) orders.Slots {
		var next orders.Slots
		next, granted = held.Take(engine, configured)
		return next
	})
	if err != nil || !granted {
		s.next = now.Add(slotsPause)
		return false
	}
	return true
}

// release frees the engine's slot, if it has one.
func (s *slots) release(ctx context.Context, engine string) error {
	return s.change(ctx, func(held orders.Slots) orders.Slots { return held.Release(engine) })
}

// change writes the row only when it differs.
func (s *slots) change(ctx context.Context, change func(orders.Slots) orders.Slots) error {
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
	if len(next.Engines) == len(held.Engines) && contains(next, held) {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	return s.table.Transact(ctx, []storage.Write{{Key: slotsKey, Value: value, IfVersion: row.Version}})
}

func contains(next, held orders.Slots) bool {
	for i := range held.Engines {
		if next.Engines[i] != held.Engines[i] {
			return false
		}
	}
	return true
}
