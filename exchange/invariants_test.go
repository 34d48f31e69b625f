package exchange

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// countViolations calls f with the handler of a request that may have run, and returns how
// often the invariant was violated.
func countViolations(t *testing.T, invariant string, kind fleet.RouteKind, f func(r *requestHandler)) int64 {
	t.Helper()
	fixture := newFixture(t)
	r := fixture.exchange.newHandler(&Request{Route: &fleet.Route{Kind: kind}, After: 4}, &recordingWriter{})
	r.history.RecordMayHaveRun()
	f(r)
	return fixture.exchange.config.Metrics.CounterValue(`wigeontiller_invariant_broken_total{invariant="` + invariant + `"}`)
}

func TestInvariantViolationsAreCountedAndPrevented(t *testing.T) {
	is := is.New(t)
	is.Equal(countViolations(t, invariantAtMostOnce, fleet.Unsafe, func(r *requestHandler) { is.True(!r.allowSend()) }), int64(1))
	is.Equal(countViolations(t, invariantAtMostOnce, fleet.Safe, func(r *requestHandler) { is.True(r.allowSend()) }), int64(0))
	is.Equal(countViolations(t, invariantNotExecuted, fleet.Unsafe, func(r *requestHandler) {
		is.Equal(r.withVerifiedCode(Failure{Code: Overloaded}).Code, UpstreamFailed)
	}), int64(1))
	is.Equal(countViolations(t, invariantNotExecuted, fleet.Unsafe, func(r *requestHandler) {
		is.Equal(r.withVerifiedCode(Failure{Code: Expired}).Code, Expired)
	}), int64(0))
	is.Equal(countViolations(t, invariantEventOrder, fleet.Stream, func(r *requestHandler) {
		is.True(r.inOrder(5))
		is.True(!r.inOrder(6))
		is.True(!r.inOrder(4))
	}), int64(2))
	is.Equal(countViolations(t, invariantWholeEvent, fleet.Stream, func(r *requestHandler) {
		for _, whole := range []string{"data: x\n\n", "data: x\r\n\r\n", ": x\n\n", "\n\n"} {
			is.True(r.isWhole([]byte(whole)))
		}
		for _, part := range []string{"", "\n", "data: x\n", "data: x\r\n", "data: x\n\r", "data: x"} {
			is.True(!r.isWhole([]byte(part)))
		}
	}), int64(6))
}

func TestSingleResponseRejectsSecondResponse(t *testing.T) {
	for name, calls := range map[string]func(c ResponseWriter){
		"complete response after failure": func(c ResponseWriter) { c.WriteFailure(Failure{}); c.WriteResponse(&fakeReply{}, nil) },
		"failure after stream":            func(c ResponseWriter) { c.BeginStream(&fakeReply{}, false); c.EndStream(); c.WriteFailure(Failure{}) },
		"break after end":                 func(c ResponseWriter) { c.BeginStream(&fakeReply{}, false); c.EndStream(); c.Abort() },
		"end after end":                   func(c ResponseWriter) { c.BeginStream(&fakeReply{}, false); c.EndStream(); c.EndStream() },
		"failure during stream":           func(c ResponseWriter) { c.BeginStream(&fakeReply{}, false); c.WriteFailure(Failure{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(countViolations(t, invariantOneResponse, fleet.Safe, func(r *requestHandler) { calls(r.writer) }), int64(1))
		})
	}
}

func TestResponseThatNobodyEndsIsBrokenOff(t *testing.T) {
	for name, calls := range map[string]func(c ResponseWriter){
		"no response":                  func(ResponseWriter) {},
		"stream without end":           func(c ResponseWriter) { c.BeginStream(&fakeReply{}, false) },
		"second response after events": func(c ResponseWriter) { c.BeginStream(&fakeReply{}, false); c.WriteResponse(&fakeReply{}, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var aborted bool
			violations := countViolations(t, invariantOneResponse, fleet.Stream, func(r *requestHandler) {
				calls(r.writer)
				r.writer.close()
				aborted = r.writer.brokenOff
			})
			is.Equal(violations, int64(1))
			is.True(aborted)
		})
	}
}

func TestSingleResponsePassesOneResponse(t *testing.T) {
	for name, calls := range map[string]func(c ResponseWriter){
		"complete response":   func(c ResponseWriter) { c.WriteResponse(&fakeReply{}, nil) },
		"stream":              func(c ResponseWriter) { c.BeginStream(&fakeReply{}, false); c.EndStream() },
		"aborted stream":      func(c ResponseWriter) { c.BeginStream(&fakeReply{}, false); c.Abort() },
		"caller disconnected": func(c ResponseWriter) { c.Abort() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(countViolations(t, invariantOneResponse, fleet.Safe, func(r *requestHandler) { calls(r.writer) }), int64(0))
		})
	}
}
