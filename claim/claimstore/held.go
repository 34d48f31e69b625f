package claimstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/wigeontiller/wigeontiller/claim"
)

// objectPrefix starts the keys of results in the object store.
const objectPrefix = "claim-results/"

// Held is a claim that this node holds. One of Release, Lose and Complete is
// called once, after the last send.
type Held struct {
	store   *Store
	row     string
	machine claim.Session
}

// MayDispatch reports whether the call may still be sent; it is asked directly
// before each send.
func (h *Held) MayDispatch() bool {
	return h.machine.MayDispatch(h.store.config.Now())
}

// Release records that the call was not sent and never will be, so that a
// repeat may run.
func (h *Held) Release() {
	h.store.settle(h.row, h.machine.Finalize(h.store.config.Now(), claim.Released, nil))
}

// MarkUnknown records that the call may have run and has no whole answer.
func (h *Held) MarkUnknown() {
	h.store.settle(h.row, h.machine.Finalize(h.store.config.Now(), claim.Unknown, nil))
}

// Complete keeps the whole answer for repeats.
func (h *Held) Complete(result claim.Result) {
	if len(result.Body) <= rowResultBytes {
		h.store.settle(h.row, h.machine.Finalize(h.store.config.Now(), claim.Done, &result))
		return
	}
	h.store.background(func(ctx context.Context) {
		h.completeLarge(ctx, result)
	})
}

// completeLarge stores the body first, so that a row never names an object
// that is not there. The name is new, so that repeating the put is safe.
func (h *Held) completeLarge(ctx context.Context, result claim.Result) {
	object := objectPrefix + uuid.NewString()
	settler := h.machine.Finalize(h.store.config.Now(), claim.Done, &claim.Result{Status: result.Status, Header: result.Header, Object: object})
	for h.store.putObject(ctx, object, result.Body) != nil {
		action := settler.Next(h.store.config.Now(), claim.Event{Kind: claim.WriteRefused}, rand.Float64())
		if action.Kind == claim.Stop {
			h.store.unsettled()
			return
		}
		h.store.config.Sleep(ctx, action.Delay)
	}
	h.store.index.add(entry{Row: h.row, Object: object}, h.machine.ExpiresAt())
	h.store.runSettler(ctx, h.row, settler)
}

func (s *Store) putObject(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.config.Platform.PutObject(ctx, key, data)
}

// settle stores an outcome; see background.
func (s *Store) settle(row string, settler claim.Finalizer) {
	s.background(func(ctx context.Context) { s.runSettler(ctx, row, settler) })
}

// background runs work that outlives its request, and waits a moment for it so
// that a repeat after the answer usually finds the outcome.
func (s *Store) background(work func(ctx context.Context)) {
	done := s.start(work)
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// start runs work that Wait waits for.
func (s *Store) start(work func(ctx context.Context)) <-chan struct{} {
	done := make(chan struct{})
	s.settles.Add(1)
	go func() {
		defer s.settles.Done()
		defer close(done)
		work(context.Background())
	}()
	return done
}

func (s *Store) runSettler(ctx context.Context, row string, settler claim.Finalizer) {
	action := settler.Begin()
	for action.Kind != claim.Stop {
		event := s.perform(ctx, row, action)
		action = settler.Next(s.config.Now(), event, rand.Float64())
	}
	if !action.Finalized {
		s.unsettled()
	}
}

func (s *Store) unsettled() {
	s.config.Metrics.Count("wigeontiller_claims_unsettled_total", 1)
	s.config.Logger.Warn().Msg("outcome of a keyed call not stored")
}
