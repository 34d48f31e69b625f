// Package claimstore drives the claim state machines with the platform's storage:
// it reads the clock, makes the calls and keeps large results in the object store.
//
// Lock order: Store holds no lock while it calls the platform.
package claimstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/claim"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// callTimeout is the timeout of one call to the platform.
	callTimeout = 2 * time.Second
	// maxRowResultBytes is the largest body that is stored in the row; larger ones go to
	// the object store.
	maxRowResultBytes = 16 << 10
	// finalizeWait is how long a caller's answer waits for its outcome to be stored.
	finalizeWait = time.Second
	// indexInterval is how often the keys of new claims are written to the index.
	indexInterval = 5 * time.Second
	// sweepInterval is how often a node sweeps one random shard for expired claims.
	sweepInterval = 10 * time.Minute
)

// Config is the configuration of a Store.
type Config struct {
	// Platform is the storage for rows and objects. It is required.
	Platform storage.Platform
	// Upkeep removes objects, which is not urgent; nil means Platform.
	Upkeep storage.Platform
	// Rows reads and writes rows; nil means one call to Platform for each.
	Rows   Rows
	Logger zerolog.Logger
	// Metrics is required.
	Metrics *telemetry.Metrics
	// Node names this node in the index.
	Node string
	// Now and Sleep replace the clock in tests; nil means the system clock.
	Now   func() time.Time
	Sleep func(ctx context.Context, period time.Duration)
}

// Rows reads and writes rows.
type Rows interface {
	// Get returns a row or storage.ErrNotFound.
	Get(ctx context.Context, class grouped.Class, key string) (storage.Row, error)
	// Write makes a conditional write, atomically with the writes in also. It is sent
	// before the given time or not at all. Errors: storage.ErrConflict;
	// storage.ErrUnavailable if it had no effect; any other if the outcome is
	// unknown.
	Write(ctx context.Context, class grouped.Class, write storage.Write, before time.Time, also ...storage.Write) error
}

// direct implements Rows with one call to the table for each operation.
type direct struct {
	table storage.Table
}

// Get implements Rows.
func (d direct) Get(ctx context.Context, _ grouped.Class, key string) (storage.Row, error) {
	return d.table.Get(ctx, key)
}

// Write implements Rows.
func (d direct) Write(ctx context.Context, _ grouped.Class, write storage.Write, _ time.Time, also ...storage.Write) error {
	return d.table.Transact(ctx, append([]storage.Write{write}, also...))
}

// Store makes claims for one node. It is safe for concurrent use.
type Store struct {
	config        Config
	index         *index
	finalizations sync.WaitGroup
}

// Call is a call with an idempotency key that is to run.
type Call struct {
	Scope       claim.Scope
	Fingerprint string
	// Deadline is the time by which the call must have ended.
	Deadline time.Time
	// Retention is how long the result is kept to answer repeats.
	Retention time.Duration
}

// Answered is the answer to a call that does not run.
type Answered struct {
	Verdict claim.Verdict
	// Result is the complete first answer for a replay, or nil if it can't be read
	// at present.
	Result *claim.Result
}

// New returns a store with the given configuration.
func New(config Config) *Store {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Sleep == nil {
		config.Sleep = sleepContext
	}
	if config.Upkeep == nil {
		config.Upkeep = config.Platform
	}
	if config.Rows == nil {
		config.Rows = direct{table: config.Platform}
	}
	return &Store{config: config, index: newIndex(config.Node)}
}

func sleepContext(ctx context.Context, period time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(period):
	}
}

// Run periodically writes the index and sweeps expired claims until the context
// ends.
func (s *Store) Run(ctx context.Context) {
	flush := time.NewTicker(indexInterval)
	defer flush.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-flush.C:
			s.Flush(ctx)
		case <-sweep.C:
			s.sweepShard(ctx, rand.Uint32N(indexShards))
		}
	}
}

// Wait waits until no outcome is being stored.
func (s *Store) Wait() {
	s.finalizations.Wait()
}

// Claim returns the held claim of a call that may run, or the answer to one that may
// not. Exactly one of the two is set.
func (s *Store) Claim(ctx context.Context, call Call) (*Held, *Answered) {
	now := s.config.Now()
	session := claim.NewSession(now, uuid.NewString(), call.Fingerprint, call.Deadline, call.Retention)
	row := call.Scope.RowKey()
	action := session.Begin()
	for {
		switch action.Kind {
		case claim.Dispatch:
			s.index.add(entry{Row: row}, session.ExpiresAt())
			return &Held{store: s, row: row, session: session}, nil
		case claim.Answer:
			return nil, s.answer(ctx, row, &session, action)
		}
		event := s.perform(ctx, row, action)
		action = session.Next(s.config.Now(), event, rand.Float64())
	}
}

func (s *Store) answer(ctx context.Context, row string, session *claim.Session, action claim.Action) *Answered {
	if action.Abandon {
		finalizer := session.Finalize(s.config.Now(), claim.Released, nil)
		s.start(func(ctx context.Context) { s.runFinalizer(ctx, row, finalizer) })
	}
	answered := &Answered{Verdict: action.Verdict, Result: action.Result}
	if action.Verdict != claim.Replay || action.Result.Object == "" {
		return answered
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := s.config.Platform.GetObject(ctx, action.Result.Object)
	if err != nil {
		s.config.Logger.Warn().Err(err).Msg("stored result of a claim not read from the object store")
		return &Answered{Verdict: claim.Replay}
	}
	result := *action.Result
	result.Body = body
	answered.Result = &result
	return answered
}

// perform executes an action and returns its result.
func (s *Store) perform(ctx context.Context, row string, action claim.Action) claim.Event {
	if action.Kind == claim.Wait {
		s.config.Sleep(ctx, action.Delay)
		return claim.Event{Kind: claim.WaitOver}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if action.Kind == claim.Read {
		return s.read(ctx, row)
	}
	return s.write(ctx, row, action)
}

func (s *Store) read(ctx context.Context, key string) claim.Event {
	row, err := s.config.Rows.Get(ctx, grouped.Claim, key)
	if errors.Is(err, storage.ErrNotFound) {
		return claim.Event{Kind: claim.ReadMissing}
	}
	if err != nil {
		return claim.Event{Kind: claim.ReadFailed}
	}
	return s.decode(row)
}

func (s *Store) decode(row storage.Row) claim.Event {
	var record claim.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		s.config.Logger.Error().Err(err).Str("row", row.Key).Msg("claim row not decoded")
		return claim.Event{Kind: claim.ReadFailed}
	}
	return claim.Event{Kind: claim.ReadRow, Row: claim.Row{Record: record, Version: row.Version}}
}

func (s *Store) write(ctx context.Context, key string, action claim.Action) claim.Event {
	value, err := json.Marshal(action.Record)
	if err != nil || !s.config.Now().Before(action.Before) {
		return claim.Event{Kind: claim.WriteRefused}
	}
	write := storage.Write{Key: key, Value: value, IfVersion: action.IfVersion}
	err = s.config.Rows.Write(ctx, classOf(action.Record), write, action.Before)
	switch {
	case err == nil:
		return claim.Event{Kind: claim.WriteApplied}
	case errors.Is(err, storage.ErrConflict):
		return claim.Event{Kind: claim.WriteConflict}
	case errors.Is(err, storage.ErrUnavailable), errors.Is(err, storage.ErrTooLarge):
		return claim.Event{Kind: claim.WriteRefused}
	}
	return claim.Event{Kind: claim.WriteUnknown}
}

func classOf(record claim.Record) grouped.Class {
	if record.State == claim.Held {
		return grouped.Claim
	}
	return grouped.Outcome
}
