package claim

import "time"

// ActionKind says what the driver does next.
type ActionKind int

// The kinds of action.
const (
	// Write makes a conditional write and reports its outcome.
	Write ActionKind = iota + 1
	// Read reads the row and reports it.
	Read
	// Wait pauses for Delay and reports WaitOver.
	Wait
	// Dispatch hands the held claim to the caller of the driver.
	Dispatch
	// Answer ends the claiming with Verdict.
	Answer
	// Stop ends the settling.
	Stop
)

// Action is the machine's wish.
type Action struct {
	Kind ActionKind
	// Record and IfVersion belong to Write.
	Record    Record
	IfVersion uint64
	// Before is when a Write must have been sent. A driver that was paused past
	// it doesn't send the write and reports WriteRefused: the row may have been
	// removed and made anew with the same version.
	Before time.Time
	// Delay belongs to Wait.
	Delay time.Duration
	// Verdict and Result belong to Answer.
	Verdict Verdict
	Result  *Result
	// Abandon tells the driver to settle the claim as Released in the
	// background, as a write of it may yet take effect.
	Abandon bool
	// Finalized belongs to Stop: the target is in the table.
	Finalized bool
}

// Verdict is the answer to a call that does not run.
type Verdict int

// The verdicts.
const (
	// Replay gives the first answer again.
	Replay Verdict = iota + 1
	// KeyReused refuses a key that another call has used.
	KeyReused
	// InProgress says that another call under the key has not ended.
	InProgress
	// OutcomeUnknown says that an earlier call under the key may have run.
	OutcomeUnknown
	// StoreUnavailable says that the claim could not be made; nothing ran.
	StoreUnavailable
)

// EventKind says what happened to the last action.
type EventKind int

// The kinds of event.
const (
	// WriteApplied, WriteConflict, WriteRefused and WriteUnknown answer Write.
	// Refused means without effect, Unknown with or without.
	WriteApplied EventKind = iota + 1
	WriteConflict
	WriteRefused
	WriteUnknown
	// ReadRow, ReadMissing and ReadFailed answer Read.
	ReadRow
	ReadMissing
	ReadFailed
	// WaitOver answers Wait.
	WaitOver
)

// Event is what happened to the last action.
type Event struct {
	Kind EventKind
	Row  Row
}
