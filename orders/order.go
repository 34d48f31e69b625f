// Package orders decides which orders an engine gets: one giver an engine, by
// a lease with a fencing number in the table, until the engine has loaded what
// the environment documents name. It does no I/O: time and what was read are
// arguments, calls are return values. The shell is in the folder below.
package orders

import (
	"strings"
	"time"
)

const (
	// Lease is how long a giver may give orders after it began to write its row.
	Lease = 10 * time.Second
	// RenewAfter is when a giver writes its row again.
	RenewAfter = 3 * time.Second
	// takeOverAfter is how long the row must not change before another takes it:
	// the lease and some more for clocks of different speed.
	takeOverAfter = Lease + time.Second
	// LongestSend bounds an order from the check of the lease until it can have
	// no more effect.
	LongestSend = 5 * time.Second
	// readInterval paces the reads of a row that another holds.
	readInterval = 2 * time.Second
	// repeatAfter is when an order is given again that a report doesn't show.
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
	// Fencing is from the table and grows with each change of giver.
	Fencing uint64 `json:"fencing"`
	// Sequence grows with each order under one fencing number, so that an engine
	// can tell a replayed order from a new one.
	Sequence uint64 `json:"sequence"`
	Kind     Kind   `json:"kind"`
	// Model is what to load or unload, or the role.
	Model string `json:"model"`
}

// target is what an order changes: the same for the same kind and model.
type target struct {
	kind  Kind
	model string
}

func (o Order) target() target {
	return target{kind: o.Kind, model: o.Model}
}

// kindOf tells what loads a model: "NAME@VERSION" is a version, "NAME+ADAPTER"
// an adapter.
func kindOf(model string) Kind {
	switch {
	case strings.Contains(model, "@"):
		return LoadVersion
	case strings.Contains(model, "+"):
		return LoadAdapter
	}
	return LoadModel
}

// Row is the giver's lease in the table.
type Row struct {
	// Token names one taking of the lease.
	Token   string `json:"token"`
	Fencing uint64 `json:"fencing"`
	// Write numbers the holder's writes, so that each changes the row.
	Write uint64 `json:"write"`
}

// Versioned is a row as it was read; version 0 means that there is none.
type Versioned struct {
	Row     Row
	Version uint64
}

// ActionKind says what the shell is to do.
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

// Action is what the shell is to do next.
type Action struct {
	Kind      ActionKind
	Row       Row
	IfVersion uint64
	Order     Order
}

// Report is what an engine has loaded, by its own word.
type Report struct {
	Models []string
	// Role is empty for an engine without roles.
	Role string
	// At is when the report was asked for.
	At time.Time
}
