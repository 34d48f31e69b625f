// Package storage defines what the system asks of the platform: a table with
// conditional and transactional writes, an object store and a list of VMs.
// Adapters live in the folders below; nothing else knows their protocol.
package storage

import (
	"context"

	"github.com/rotisserie/eris"
)

// The errors of every adapter. Any other error means that the outcome of a
// write is unknown.
var (
	// ErrNotFound is returned for a row or object that does not exist.
	ErrNotFound = eris.New("not found")
	// ErrConflict is returned when a condition of a write did not hold.
	ErrConflict = eris.New("condition failed")
	// ErrUnavailable is returned when the platform did not take the call, so
	// that a write has had no effect.
	ErrUnavailable = eris.New("platform unavailable")
	// ErrTooLarge is returned for a transaction over the platform's limits; it
	// has had no effect.
	ErrTooLarge = eris.New("transaction too large")
	// ErrUnknown is returned when a write may or may not have had an effect.
	ErrUnknown = eris.New("outcome unknown")
)

// The limits of one transaction. It counts as one write of the platform's rate,
// whatever it holds.
const (
	// MaxTransactRows bounds the rows.
	MaxTransactRows = 100
	// MaxTransactBytes bounds the keys and values together.
	MaxTransactBytes = 4 << 20
)

// Row is one row of the table. Version starts at 1 and grows with each write.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Write is one conditional change of a row.
type Write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// IfVersion is the version that the row must have; 0 means that it must
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
	// Transact applies all writes or, with ErrConflict or ErrTooLarge, none.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is the object store.
type Objects interface {
	// PutObject stores data under the key.
	PutObject(ctx context.Context, key string, data []byte) error
	// GetObject returns the data or ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
	// DeleteObject removes the object; a missing one is no error.
	DeleteObject(ctx context.Context, key string) error
}

// VMState says whether a VM serves or is about to leave.
type VMState string

// The states in the platform's list.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one entry of the platform's lagging list.
type VM struct {
	Name       string  `json:"name"`
	DataCentre string  `json:"data_centre"`
	Region     string  `json:"region"`
	State      VMState `json:"state"`
	// PeerAddress is the IP address and port of an entry node; empty for other VMs.
	PeerAddress string `json:"peer_address,omitempty"`
}

// VMList is the platform's list of VMs; it lags behind the truth.
type VMList interface {
	// ListVMs returns the list as it was a while ago.
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform is everything that the system asks of the platform.
type Platform interface {
	Table
	Objects
	VMList
}
