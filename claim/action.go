package claim

import "time"

// ActionKind is what the driver does next.
type ActionKind int

// The kinds of action.
const (
	// Write makes a conditional write; its event is the write's outcome.
	Write ActionKind = iota + 1
	// Read reads the row.
	Read
	// Wait sleeps for Delay; its event is WaitOver.
	Wait
	// Dispatch returns the held claim, so that the call may be sent.
	Dispatch
	// Answer ends the attempt to claim with Verdict.
	Answer
	// Stop ends the storing of an outcome.
	Stop
)

// Action is what a state machine asks its driver to do.
type Action struct {
	Kind ActionKind
	// Record and IfVersion are set for Write: the new record, and the version that
	// the row must have; 0 means no row.
	Record    Record
	IfVersion uint64
	// Before is the time before which a Write must be sent. A driver that was
	// paused past it must not send the write and reports WriteRefused: the row may
	// have been removed and recreated with the same version.
	Before time.Time
	// Delay is set for Wait.
	Delay time.Duration
	// Verdict and Result are set for Answer.
	Verdict Verdict
	Result  *Result
	// Abandon tells the driver to store the outcome Released in the background,
	// since a write of the claim may still take effect.
	Abandon bool
	// Finalized is set for Stop: the outcome is stored.
	Finalized bool
}

// Verdict says why a call is answered without being run.
type Verdict int

// The verdicts.
const (
	// Replay means that the first answer is returned again.
	Replay Verdict = iota + 1
	// KeyReused means that the key was used by a different call.
	KeyReused
	// InProgress means that another call with the key has not ended.
	InProgress
	// OutcomeUnknown means that an earlier call with the key may have run.
	OutcomeUnknown
	// StoreUnavailable means that the claim could not be stored; nothing ran.
	StoreUnavailable
)

// EventKind is the result of the last action.
type EventKind int

// The kinds of event.
const (
	// WriteApplied, WriteConflict, WriteRefused and WriteUnknown follow Write.
	// WriteRefused means that it had no effect, WriteUnknown that it may have had.
	WriteApplied EventKind = iota + 1
	WriteConflict
	WriteRefused
	WriteUnknown
	// ReadRow, ReadMissing and ReadFailed follow Read.
	ReadRow
	ReadMissing
	ReadFailed
	// WaitOver follows Wait.
	WaitOver
)

// Event is the result of the last action; Row is set for ReadRow.
type Event struct {
	Kind EventKind
	Row  Row
}
