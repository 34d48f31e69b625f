// Package storage defines the interfaces to the platform: a table with
// conditional and transactional writes, an object store and a list of VMs.
// Adapters are in the subpackages; no other package depends on their protocol.
package storage

import (
	"context"

	"github.com/rotisserie/eris"
)

// The errors that every adapter returns. Any other error means that the outcome
// of a write is unknown.
var (
	// ErrNotFound is returned for a row or object that does not exist.
	ErrNotFound = eris.New("not found")
	// ErrConflict is returned when the condition of a write failed.
	ErrConflict = eris.New("condition failed")
	// ErrUnavailable is returned when the platform did not accept the call; a
	// write had no effect.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrTooLarge is returned for a transaction that exceeds the platform's
	// limits; it had no effect.
	ErrTooLarge = eris.New("transaction too large")
	// ErrUnknown is returned when a write may or may not have had an effect.
	ErrUnknown = eris.New("outcome unknown")
)

// The limits of one transaction. Whatever its size, it counts as one write
// against the platform's rate limit.
const (
	// MaxTransactRows is the maximum number of rows.
	MaxTransactRows = 100
	// MaxTransactBytes is the maximum total size of keys and values.
	MaxTransactBytes = 4 << 20
)

// Row is one row of the table. Version starts at 1 and increases with each write.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Write is one conditional change of a row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// IfVersion is the version that the row must have; 0 means that the row must
	// not exist.
	IfVersion uint64 `json:"if_version"`
	// Delete removes the row instead of writing it.
	Delete bool `json:"delete,omitempty"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// BatchGet returns the rows that exist, in any order.
	BatchGet(ctx context.Context, keys []string) ([]Row, error)
	// Transact applies all writes atomically. With ErrConflict or ErrTooLarge it
	// applied none.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is the object store.
type Objects interface {
	// PutObject stores data under the key.
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns the data or ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// DeleteObject removes the object; a missing object is not an error.
	DeleteObject(ctx context.Context, key string) error
}

// VMState says whether a VM is serving or about to be removed.
type VMState string

// The states in the platform's list of VMs.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one entry of the platform's list, which lags behind the actual state.
type VM struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"data_centre"`
	Region     string  `json:"region"`
	State      VMState `json:"state"`
	// PeerAddress is the IP address and port of an entry node; it is empty for
	// other VMs.
	PeerAddress string `json:"peer_address,omitempty"`
}

// VMList returns the platform's list of VMs, which lags behind the actual state.
type VMList interface {
	// ListVMs returns the list, which may be stale.
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform combines all interfaces to the platform.
type Platform interface {
	Table
	Objects
	VMList
}
