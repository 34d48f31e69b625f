// Package claim decides the life of an idempotency key: who may run a keyed
// call, what a repeat is told, and what is kept. It is a state machine without
// clock, socket, lock or goroutine; package claimstore drives it.
//
// A key is claimed by one conditional write before dispatch and settled by one
// write after it. A claim that is held is never taken over for execution; only
// a record that its holder settled as not run, or that has expired, is.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

// removalMargin is longer than a write can be on its way.
const removalMargin = time.Hour

// State is what a record says of the call.
type State string

// The states of a record.
const (
	// Held means that the holder may be running the call.
	Held State = "held"
	// Done means that the call ran and its result is kept.
	Done State = "done"
	// Released means that the holder did not run the call and never will.
	Released State = "released"
	// Unknown means that the call may have run and has no whole answer.
	Unknown State = "unknown"
)

// Scope is what a key is bound to.
type Scope struct {
	Environment  string
	Lane         string
	Organisation string
	// Key is the caller's idempotency key.
	Key string
}

const rowPrefix = "claims/"

// RowKey returns the key of the table row that holds the claim.
func (s Scope) RowKey() string {
	return rowPrefix + digest(s.Environment, s.Lane, s.Organisation, s.Key)
}

// Fingerprint identifies a call, so that a key can't be used for another one.
func Fingerprint(service, method, path string, body []byte) string {
	sum := sha256.Sum256(body)
	return digest(service, method, path, hex.EncodeToString(sum[:]))
}

// digest hashes fields with their lengths, so that no two lists collide.
func digest(fields ...string) string {
	var text strings.Builder
	for _, field := range fields {
		text.WriteString(strconv.Itoa(len(field)))
		text.WriteByte(':')
		text.WriteString(field)
	}
	sum := sha256.Sum256([]byte(text.String()))
	return hex.EncodeToString(sum[:])
}

// HeaderField is one field of an answer's header.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Result is the whole first answer.
type Result struct {
	Status int           `json:"status"`
	Header []HeaderField `json:"header,omitempty"`
	// Body is the answer's body, unless Object names it in the object store.
	Body   []byte `json:"body,omitempty"`
	Object string `json:"object,omitempty"`
}

// Record is the value of a claim's row.
type Record struct {
	State State `json:"state"`
	// Token is unique to the call that wrote the claim.
	Token       string `json:"token"`
	Fingerprint string `json:"fingerprint"`
	// HoldUntil is when a held claim's outcome counts as unknown.
	HoldUntil time.Time `json:"hold_until"`
	// ExpiresAt is when the key may be used anew.
	ExpiresAt time.Time `json:"expires_at"`
	Result    *Result   `json:"result,omitempty"`
}

// Expired reports whether the key may be used anew. The margin covers the
// difference between the nodes' clocks.
func (r Record) Expired(now time.Time) bool {
	return !now.Before(r.ExpiresAt.Add(ClockMargin))
}

// Removable reports whether the row may be removed. A row that is made anew
// starts at version 1 again, so that a write that was sent before the expiry
// must have taken effect by then, or never will.
func (r Record) Removable(now time.Time) bool {
	return !now.Before(r.ExpiresAt.Add(removalMargin))
}

// Row is a record with its version in the table.
type Row struct {
	Record
	Version uint64
}
