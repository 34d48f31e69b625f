// Package orders decides which orders an engine gets until it has loaded what the
// environment documents name. Each engine has one issuer, by a lease with a fencing
// token in the table. The package does no I/O: the time and the rows read are
// arguments, the calls to make are return values. Package ordering makes the calls.
package orders

import (
	"strings"
	"time"
)

const (
	// LeaseDuration is how long an issuer may send orders after it began to write its
	// row.
	LeaseDuration = 10 * time.Second
	// RenewAfter is the time after which an issuer writes its row again.
	RenewAfter = 3 * time.Second
	// takeOverAfter is how long the row must be unchanged before another node takes
	// the lease: its duration and a margin for clocks that run at different speeds.
	takeOverAfter = LeaseDuration + time.Second
	// MaxSendDuration bounds the time from the check of the lease until the order can
	// no longer take effect.
	MaxSendDuration = 5 * time.Second
	// readInterval is the time between reads of a row that another node holds.
	readInterval = 2 * time.Second
	// repeatAfter is the time after which an order is sent again if no report shows
	// its effect.
	repeatAfter = 5 * time.Second
)

// Kind says what an order does.
type Kind string

// The kinds of orders.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	LoadVersion Kind = "load_version"
	Unload      Kind = "unload"
	SetRole     Kind = "set_role"
)

// Order is one order to an engine.
type Order struct {
	// Fencing is the fencing token from the table; it grows with each change of
	// issuer.
	Fencing uint64 `json:"fencing"`
	// Sequence grows with each order under one fencing token, so that an engine can
	// tell a replayed order from a new one.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	// Model is what to load or unload, or the role.
	Model string `json:"model"`
}

// target identifies what an order changes: orders of the same kind and model have
// the same target.
type target struct {
	kind  Kind
	model string
}

func (o Order) target() target {
	return target{kind: o.Kind, model: o.Model}
}

// loadKindOf returns the kind of order that loads a model: "NAME@VERSION" is a
// version, "NAME+ADAPTER" an adapter.
func loadKindOf(model string) Kind {
	switch {
	case strings.Contains(model, "@"):
		return LoadVersion
	case strings.Contains(model, "+"):
		return LoadAdapter
	}
	return LoadModel
}

// Row is the issuer's lease in the table.
type Row struct {
	// LeaseID identifies one acquisition of the lease.
	LeaseID string `json:"token"`
	Fencing uint64 `json:"fencing"`
	// Write numbers the holder's writes, so that each changes the row.
	Write uint64 `json:"write"`
}

// VersionedRow is a row as read; version 0 means that there is none.
type VersionedRow struct {
	Row     Row
	Version uint64
}

// ActionKind says what the caller of Issuer.Next is to do.
type ActionKind int

// The actions.
const (
	// Wait does nothing for now.
	Wait ActionKind = iota
	// Read reads the row.
	Read
	// Write writes Row if it still has IfVersion.
	Write
	// Send sends Order, after MaySend has allowed it.
	Send
)

// Action is what the caller of Issuer.Next is to do next.
type Action struct {
	Kind      ActionKind
	Row       Row
	IfVersion uint64
	Order     Order
}

// Report is what an engine reports to have loaded.
type Report struct {
	Models []string
	// Role is empty for an engine without roles.
	Role string
	// At is when the report was requested.
	At time.Time
}
