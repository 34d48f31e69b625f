// Package claim implements the life cycle of an idempotency key: which call may
// run, how a repeat is answered and what is stored. It consists of state machines
// without clock, I/O, lock or goroutine; package claimstore drives them.
//
// A key is claimed by one conditional write before dispatch, and the outcome is
// stored by one write after it. A held claim is never taken over for execution;
// only a record that its holder stored as not run, or that has expired, is.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

// removalMargin is longer than a write can be in flight.
const removalMargin = time.Hour

// State is the state of the call according to its record.
type State string

// The states of a record.
const (
	// Held means that the holder may be running the call.
	Held State = "held"
	// Done means that the call ran and its result is stored.
	Done State = "done"
	// Released means that the holder did not run the call and never will.
	Released State = "released"
	// Unknown means that the call may have run and no complete answer is stored.
	Unknown State = "unknown"
)

// Scope is a key with the scope within which it is unique.
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

// Fingerprint returns a hash of a call, so that its key can't be used for a
// different one.
func Fingerprint(service, method, path string, body []byte) string {
	sum := sha256.Sum256(body)
	return digest(service, method, path, hex.EncodeToString(sum[:]))
}

// digest returns the SHA-256 of fields, each prefixed with its length, so that
// different lists of fields give different input.
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

// HeaderField is one header field of an answer.
type HeaderField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Result is the complete first answer.
type Result struct {
	Status int           `json:"status"`
	Header []HeaderField `json:"header,omitempty"`
	// Body is the answer's body, unless Object is its key in the object store.
	Body   []byte `json:"body,omitempty"`
	Object string `json:"object,omitempty"`
}

// Record is the value of a claim's row, stored as JSON.
type Record struct {
	State State `json:"state"`
	// Token is unique to the call that wrote the claim.
	Token       string `json:"token"`
	Fingerprint string `json:"fingerprint"`
	// HoldUntil is when the outcome of a held claim becomes unknown.
	HoldUntil time.Time `json:"hold_until"`
	// ExpiresAt is when the key may be used again.
	ExpiresAt time.Time `json:"expires_at"`
	Result    *Result   `json:"result,omitempty"`
}

// Expired reports whether the key may be used again. ClockMargin covers the
// difference between the nodes' clocks.
func (r Record) Expired(now time.Time) bool {
	return !now.Before(r.ExpiresAt.Add(ClockMargin))
}

// Removable reports whether the row may be removed. A recreated row starts at
// version 1 again, so a write that was sent before the expiry must have taken
// effect before the removal or never do so; removalMargin ensures this.
func (r Record) Removable(now time.Time) bool {
	return !now.Before(r.ExpiresAt.Add(removalMargin))
}

// Row is a record with its version in the table.
type Row struct {
	Record
	Version uint64
}
