package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEngineThatMadeNoReservationIsNotAskedAgainAtOnce(t *testing.T) {
	for name, reserveError := range map[string]error{"memory not free": nil, "process gone": errReset} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, answeredAttempt)
			f.sender.reserveErrors = map[string]error{"llm0": reserveError}
			request := f.request("stream")
			request.PromptTokens = 300_000
			route := *request.Route
			route.LatencyTarget = 3 * time.Second
			request.Route, request.Deadline = &route, time.Now().Add(15*time.Second)
			is.True(f.serve(t, request).ended)
			is.True(f.sender.reserved["llm0"] <= 1)
		})
	}
}
