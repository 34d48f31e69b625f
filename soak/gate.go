package soak

import (
	"context"
	"sync/atomic"

	"github.com/wigeontiller/wigeontiller/storage"
)

// gate is a node's way to the platform. It is shut when the node is closed, as
// the calls of a process that died do not go on.
type gate struct {
	platform storage.Platform
	shut     atomic.Bool
}

var _ storage.Platform = (*gate)(nil)

func (g *gate) check() error {
	if g.shut.Load() {
		return storage.ErrUnavailable
	}
	return nil
}

// Get returns one row, or storage.ErrUnavailable when the gate is shut.
func (g *gate) Get(ctx context.Context, key string) (storage.Row, error) {
	if err := g.check(); err != nil {
		return storage.Row{}, err
	}
	return g.platform.Get(ctx, key)
}

// BatchGet returns the rows that exist.
func (g *gate) BatchGet(ctx context.Context, keys []string) ([]storage.Row, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.platform.BatchGet(ctx, keys)
}

// Transact applies all writes or none.
func (g *gate) Transact(ctx context.Context, writes []storage.Write) error {
	if err := g.check(); err != nil {
		return err
	}
	return g.platform.Transact(ctx, writes)
}

// PutObject stores data.
func (g *gate) PutObject(ctx context.Context, key string, data []byte) error {
	if err := g.check(); err != nil {
		return err
	}
	return g.platform.PutObject(ctx, key, data)
}

// GetObject returns the data.
func (g *gate) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.platform.GetObject(ctx, key)
}

// DeleteObject removes the object.
func (g *gate) DeleteObject(ctx context.Context, key string) error {
	if err := g.check(); err != nil {
		return err
	}
	return g.platform.DeleteObject(ctx, key)
}

// ListVMs returns the platform's list.
func (g *gate) ListVMs(ctx context.Context) ([]storage.VM, error) {
	if err := g.check(); err != nil {
		return nil, err
	}
	return g.platform.ListVMs(ctx)
}
