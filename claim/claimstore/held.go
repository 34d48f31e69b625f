package claimstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/wigeontiller/wigeontiller/claim"
)

// objectPrefix is the prefix of the keys of results in the object store.
const objectPrefix = "claim-results/"

// Held is a claim that this node holds. Exactly one of Release, MarkUnknown and Complete
// is called, once, after the last send.
type Held struct {
	store   *Store
	row     string
	session claim.Session
}

// MayDispatch reports whether the call may still be sent. It must be called directly
// before each send.
func (h *Held) MayDispatch() bool {
	return h.session.MayDispatch(h.store.config.Now())
}

// Release records that the call was not sent and never will be, so that a
// repeat may run.
func (h *Held) Release() {
	h.store.finalize(h.row, h.session.Finalize(h.store.config.Now(), claim.Released, nil))
}

// MarkUnknown records that the call may have run and that no complete answer is stored.
func (h *Held) MarkUnknown() {
	h.store.finalize(h.row, h.session.Finalize(h.store.config.Now(), claim.Unknown, nil))
}

// Complete stores the complete answer for repeats.
func (h *Held) Complete(result claim.Result) {
	if len(result.Body) <= maxRowResultBytes {
		h.store.finalize(h.row, h.session.Finalize(h.store.config.Now(), claim.Done, &result))
		return
	}
	h.store.background(func(ctx context.Context) {
		h.completeLarge(ctx, result)
	})
}

// completeLarge stores the body first, so that a row never refers to an object that
// does not exist. The object's key is new, so that the put may be retried.
func (h *Held) completeLarge(ctx context.Context, result claim.Result) {
	object := objectPrefix + uuid.NewString()
	finalizer := h.session.Finalize(h.store.config.Now(), claim.Done, &claim.Result{Status: result.Status, Header: result.Header, Object: object})
	for h.store.putObject(ctx, object, result.Body) != nil {
		action := finalizer.Next(h.store.config.Now(), claim.Event{Kind: claim.WriteRefused}, rand.Float64())
		if action.Kind == claim.Stop {
			h.store.reportUnfinalized()
			return
		}
		h.store.config.Sleep(ctx, action.Delay)
	}
	h.store.index.add(entry{Row: h.row, Object: object}, h.session.ExpiresAt())
	h.store.runFinalizer(ctx, h.row, finalizer)
}

func (s *Store) putObject(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Platform.PutObject(ctx, key, data)
}

// finalize stores an outcome in the background; see background.
func (s *Store) finalize(row string, finalizer claim.Finalizer) {
	s.background(func(ctx context.Context) { s.runFinalizer(ctx, row, finalizer) })
}

// background runs a function that may outlive its request. It waits up to
// finalizeWait for it, so that a repeat after the answer usually finds the outcome.
func (s *Store) background(run func(ctx context.Context)) {
	done := s.start(run)
	timer := time.NewTimer(finalizeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// start runs a function in a goroutine that Wait waits for.
func (s *Store) start(run func(ctx context.Context)) <-chan struct{} {
	done := make(chan struct{})
	s.finalizations.Add(1)
	go func() {
		defer s.finalizations.Done()
		defer close(done)
		run(context.Background())
	}()
	return done
}

func (s *Store) runFinalizer(ctx context.Context, row string, finalizer claim.Finalizer) {
	action := finalizer.Begin()
	for action.Kind != claim.Stop {
		event := s.perform(ctx, row, action)
		action = finalizer.Next(s.config.Now(), event, rand.Float64())
	}
	if !action.Finalized {
		s.reportUnfinalized()
	}
}

func (s *Store) reportUnfinalized() {
	s.config.Metrics.Count("wigeontiller_claims_unsettled_total", 1)
	s.config.Logger.Warn().Msg("outcome of a call with an idempotency key not stored")
}
