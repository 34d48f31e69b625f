// Package memory implements the platform in memory, for stand-ins and tests.
package memory

import (
	"context"
	"slices"
	"sync"

	"github.com/wigeontiller/wigeontiller/storage"
)

// Platform is an in-memory storage.Platform. Its mutex guards all fields.
type Platform struct {
	mutex   sync.Mutex
	rows    map[string]storage.Row
	objects map[string][]byte
	vms     []storage.VM
	// transactions counts the attempted transactions except those that are too
	// large, reads the calls of Get and BatchGet.
	transactions int
	reads        int
}

var _ storage.Platform = (*Platform)(nil)

// New returns an empty platform.
func New() *Platform {
	return &Platform{rows: map[string]storage.Row{}, objects: map[string][]byte{}}
}

// Get returns one row or storage.ErrNotFound.
func (p *Platform) Get(_ context.Context, key string) (storage.Row, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	row, ok := p.rows[key]
	if !ok {
		return storage.Row{}, storage.ErrNotFound
	}
	return row, nil
}

// BatchGet returns the rows that exist.
func (p *Platform) BatchGet(_ context.Context, keys []string) ([]storage.Row, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	var rows []storage.Row
	for _, key := range keys {
		if row, ok := p.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Transact applies all writes or none.
func (p *Platform) Transact(_ context.Context, writes []storage.Write) error {
	if tooLarge(writes) {
		return storage.ErrTooLarge
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.transactions++
	for _, write := range writes {
		if p.rows[write.Key].Version != write.IfVersion {
			return storage.ErrConflict
		}
	}
	for _, write := range writes {
		if write.Delete {
			delete(p.rows, write.Key)
			continue
		}
		p.rows[write.Key] = storage.Row{Key: write.Key, Version: write.IfVersion + 1, Value: slices.Clone(write.Value)}
	}
	return nil
}

func tooLarge(writes []storage.Write) bool {
	size := 0
	for _, write := range writes {
		size += len(write.Key) + len(write.Value)
	}
	return len(writes) > storage.MaxTransactRows || size > storage.MaxTransactBytes
}

// Calls returns how many transactions were attempted and how many times rows were
// read.
func (p *Platform) Calls() (transactions, reads int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.transactions, p.reads
}

// PutObject stores data under the key.
func (p *Platform) PutObject(_ context.Context, key string, data []byte) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.objects[key] = slices.Clone(data)
	return nil
}

// GetObject returns the data or storage.ErrNotFound.
func (p *Platform) GetObject(_ context.Context, key string) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	data, ok := p.objects[key]
	if !ok {
		return nil, storage.ErrNotFound
	}
	return data, nil
}

// DeleteObject removes the object.
func (p *Platform) DeleteObject(_ context.Context, key string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.objects, key)
	return nil
}

// ListVMs returns the list that SetVMs set last.
func (p *Platform) ListVMs(context.Context) ([]storage.VM, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.vms), nil
}

// SetVMs replaces the list.
func (p *Platform) SetVMs(vms []storage.VM) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.vms = slices.Clone(vms)
}
