package exchange

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/placement"
)

var limitOfTest = placement.StatedLimit{Stated: true, PerSecond: 1}

func (f *fixture) limitedEngines() int {
	limited := 0
	for _, id := range []string{"llm0", "llm1", "llm2", "llm3"} {
		if f.exchange.config.Scheduler.Limited(id) {
			limited++
		}
	}
	return limited
}

func TestLimitIsReadFromEachAnswerOfTheUpstreamItself(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 421, verdict: WrongUpstream, limit: limitOfTest}, answeredAttempt)
	is.True(f.serve(t, f.request("stream")).ended)
	is.Equal(f.limitedEngines(), 0) // another process has the address
	f.sender.steps = []attemptStep{{status: 503, verdict: NotExecuted, limit: limitOfTest}, answeredAttempt}
	is.True(f.serve(t, f.request("stream")).ended)
	is.Equal(f.limitedEngines(), 1)
}

func TestReservationsAtLimitedEnginesAreRenewedSeldom(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	f := newFixture(t, attemptStep{status: 200, stream: reader})
	request := f.request("stream")
	request.PromptTokens = 300_000
	go func() {
		_, _ = io.WriteString(writer, eventText(1, 1))
		for _, entry := range f.exchange.config.Follower.Current().Upstreams {
			f.exchange.config.Scheduler.RecordLimit(entry, limitOfTest)
		}
		time.Sleep(3*renewInterval + renewInterval/2)
		_, _ = io.WriteString(writer, eventText(2, 3))
		_ = writer.Close()
	}()
	is.True(f.serve(t, request).ended)
	engines := len(f.sender.attempts[0].Reservations)
	is.True(engines > 1)
	is.Equal(len(f.sender.leases), 2*engines) // made, and renewed once for longer
	is.Equal(f.sender.leases[engines], limitedReservationLease)
}
