package exchange

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// breach runs f for a request on a route that has run, and returns the count.
func breach(t *testing.T, promise string, kind fleet.RouteKind, f func(r *run)) int64 {
	t.Helper()
	fixture := newFixture(t)
	r := fixture.exchange.newRun(&Request{Route: &fleet.Route{Kind: kind}, After: 4}, &caller{})
	r.history.RecordMayHaveRun()
	f(r)
	return fixture.exchange.config.Metrics.CounterValue(`wigeontiller_invariant_broken_total{invariant="` + promise + `"}`)
}

func TestBreachesAreCountedAndNotCarriedOut(t *testing.T) {
	is := is.New(t)
	is.Equal(breach(t, promiseOnce, fleet.Unsafe, func(r *run) { is.True(!r.maySend()) }), int64(1))
	is.Equal(breach(t, promiseOnce, fleet.Safe, func(r *run) { is.True(r.maySend()) }), int64(0))
	is.Equal(breach(t, promiseUnrun, fleet.Unsafe, func(r *run) {
		is.Equal(r.truthful(Failure{Code: Overloaded}).Code, UpstreamFailed)
	}), int64(1))
	is.Equal(breach(t, promiseUnrun, fleet.Unsafe, func(r *run) {
		is.Equal(r.truthful(Failure{Code: Expired}).Code, Expired)
	}), int64(0))
	is.Equal(breach(t, promiseOrder, fleet.Stream, func(r *run) {
		is.True(r.inOrder(5))
		is.True(!r.inOrder(6))
		is.True(!r.inOrder(4))
	}), int64(2))
}

func TestASecondAnswerIsNotGiven(t *testing.T) {
	for name, calls := range map[string]func(c Caller){
		"whole after a failure":  func(c Caller) { c.Fail(Failure{}); c.Whole(&reply{}, nil) },
		"failure after a stream": func(c Caller) { c.Begin(&reply{}); c.End(); c.Fail(Failure{}) },
		"break after an end":     func(c Caller) { c.Begin(&reply{}); c.End(); c.Break() },
		"two ends":               func(c Caller) { c.Begin(&reply{}); c.End(); c.End() },
		"failure in a stream":    func(c Caller) { c.Begin(&reply{}); c.Fail(Failure{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(breach(t, promiseOne, fleet.Safe, func(r *run) { calls(r.caller) }), int64(1))
		})
	}
}

func TestOneAnswerIsGiven(t *testing.T) {
	for name, calls := range map[string]func(c Caller){
		"whole":  func(c Caller) { c.Whole(&reply{}, nil) },
		"stream": func(c Caller) { c.Begin(&reply{}); c.End() },
		"broken": func(c Caller) { c.Begin(&reply{}); c.Break() },
		"left":   func(c Caller) { c.Break() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(breach(t, promiseOne, fleet.Safe, func(r *run) { calls(r.caller) }), int64(0))
		})
	}
}
