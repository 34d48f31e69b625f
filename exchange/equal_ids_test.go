package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
)

// callersIDs are IDs that a caller may choose: none, equal ones, those that look like keys of this node or of
// another placement, and those that mean something in an engine's list of helpers.
var callersIDs = []string{"", "r", "r/1", "r/1/0", "r/handover", "a,10.0.0.9:80/t", "a b;c=\"d\"", "\xff\x00", strings.Repeat("i", 60_000)}

// randomStep returns one of the ways in which an attempt may end.
func randomStep(random *rand.Rand) attemptStep {
	switch random.IntN(8) {
	case 0:
		return attemptStep{err: ErrNotSent}
	case 1:
		return attemptStep{err: ErrIncomplete}
	case 2:
		return attemptStep{status: 503, verdict: NotExecuted}
	case 3:
		return attemptStep{status: 421, verdict: WrongUpstream}
	case 4:
		return attemptStep{status: 200, body: eventText(1, 3), bodyErr: errReset}
	case 5:
		return attemptStep{hang: true}
	case 6:
		return attemptStep{status: 200, body: eventText(1, 4), before: func() { time.Sleep(time.Millisecond) }}
	default:
		return attemptStep{status: 200, body: eventText(1, 4)}
	}
}

// books returns what a node has in its books: the requests that it counts at upstreams, and those that wait.
func (f *fixture) books() (running, tokens, waiting int) {
	runner := f.exchange.config.Scheduler
	runner.Do(func(s *placement.Scheduler, now time.Duration) {
		for _, update := range s.LoadUpdates(now, true) {
			running += update.Totals.Running + update.Totals.HelperPrompts
			tokens += update.Totals.MemoryTokens
		}
		waiting = s.Waiting() + len(runner.waiting)
	})
	return running, tokens, waiting
}

// Requests whose callers give them equal IDs take and free a place each. A node that named them by these IDs
// lost a place for each that overtook another, until none was left.
func TestRequestsWithEqualIDsLeaveBooksAtZero(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			f := newFixture(t)
			const requests = 300
			for range 2 * requests {
				f.sender.steps = append(f.sender.steps, randomStep(random))
			}
			f.sender.refuseReservations = random.IntN(5)
			var group sync.WaitGroup
			for range requests {
				request := f.request([]string{"safe", "unsafe", "stream", "once"}[random.IntN(4)])
				request.ID = callersIDs[random.IntN(len(callersIDs))]
				request.Deadline = time.Now().Add(time.Duration(20+random.IntN(600)) * time.Millisecond)
				if request.Route.Kind == fleet.Stream && random.IntN(8) == 0 {
					// Several engines hold it.
					request.PromptTokens = 300_000
				}
				leaves := time.Duration(random.IntN(400)) * time.Millisecond
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), leaves)
					defer cancel()
					got := &recordingWriter{}
					f.exchange.Serve(ctx, request, got)
					if got.finalResponses != 1 {
						t.Errorf("got %d final responses, want 1: %+v", got.finalResponses, got)
					}
				})
			}
			group.Wait()
			running, tokens, waiting := f.books()
			is.Equal(running, 0) // places in use
			is.Equal(tokens, 0)  // memory in use
			is.Equal(waiting, 0) // requests that wait
			for end := time.Now().Add(reserveTimeout); f.sender.reservationCount() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(f.sender.reservationCount(), 0) // reservations at engines
		})
	}
}

// A reservation's name goes into an engine's list of helpers; a caller's ID in it could name other engines.
func TestReservationsAreNamedByTheNode(t *testing.T) {
	is := is.New(t)
	first, second := newFixture(t), newFixture(t)
	names := map[string]bool{}
	for _, f := range []*fixture{first, second} {
		for _, id := range []string{"", "r", "r", "a,10.0.0.9:80/t"} {
			request := f.request("stream")
			request.ID, request.PromptTokens = id, 300_000
			f.serve(t, request)
		}
		for _, attempt := range f.sender.attempts {
			for _, reservation := range attempt.Reservations {
				is.True(!names[reservation.ID]) // unique over requests and over processes
				is.True(!strings.ContainsAny(reservation.ID, ",/ "))
				names[reservation.ID] = true
			}
		}
	}
	is.True(len(names) >= 16) // four prompts at each of two nodes, held by two engines or more
}
