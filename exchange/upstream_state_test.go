package exchange

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/memorybudget"
)

// TestUpstreamThatLeavesGetsNoFurtherRequest plays each way in which an answer may say that
// its upstream leaves.
func TestUpstreamThatLeavesGetsNoFurtherRequest(t *testing.T) {
	for name, step := range map[string]attemptStep{
		"success":      {status: 200, body: "done", leaving: true},
		"failure":      {status: 500, body: "bad", leaving: true},
		"not executed": {status: 503, verdict: NotExecuted, leaving: true},
		"broken off":   {status: 200, body: "do", bodyErr: errReset, leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, step)
			f.serve(t, f.request("unsafe"))
			left := f.sender.attempts[0].Upstream.ID
			for range 40 {
				f.serve(t, f.request("safe"))
			}
			for _, attempt := range f.sender.attempts[1:] {
				is.True(attempt.Upstream.ID != left)
			}
		})
	}
}

func TestUpstreamThatWantsNothingGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, attemptStep{status: 503, verdict: NotExecuted, pause: time.Minute})
	is.Equal(f.serve(t, f.request("safe")).body, "default") // another one serves it
	paused := f.sender.attempts[0].Upstream.ID
	for range 40 {
		f.serve(t, f.request("safe"))
	}
	for _, attempt := range f.sender.attempts[1:] {
		is.True(attempt.Upstream.ID != paused)
	}
	full := attemptStep{status: 503, verdict: NotExecuted, pause: time.Minute}
	f = newFixture(t, full, full, full, full)
	got := f.serve(t, f.request("safe"))
	is.Equal(len(f.sender.attempts), 4)
	is.Equal(got.failure.Code, Overloaded)
	is.True(got.failure.RetryAfter > 50*time.Second) // when the first of them may take it
}

// TestPausedProcessDoesNotSendByAnOldView guards against a process that is paused between its
// check and its write: the key may have been revoked meanwhile.
func TestPausedProcessDoesNotSendByAnOldView(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.sender.steps = []attemptStep{{before: func() { f.skew.Store(int64(6 * time.Second)) }}}
	got := f.serve(t, f.request("safe"))
	is.Equal(got.failure.Reason, ReasonViewTooOld)
	is.Equal(len(f.sender.attempts), 1)
}

func TestBodyOverTheLimitIsNoWholeAnswer(t *testing.T) {
	is := is.New(t)
	long := attemptStep{status: 200, body: strings.Repeat("a", 1<<20+1)}
	f := newFixture(t, long, long)
	got := f.serve(t, f.request("safe"))
	is.True(got.failure != nil)
	whole := attemptStep{status: 200, body: strings.Repeat("a", 1<<20)}
	f = newFixture(t, whole)
	is.Equal(len(f.serve(t, f.request("safe")).body), 1<<20)
}

func TestMemoryOfAnswersIsSharedAndReturned(t *testing.T) {
	is := is.New(t)
	const step = 64 << 10
	budget := memorybudget.New(5 * step)
	body := func(n int) io.Reader { return bytes.NewReader(make([]byte, n)) }
	first, second := budget.Open(memorybudget.Answers), budget.Open(memorybudget.Answers)
	_, err := readAnswer(body(step-1), 1<<20, first)
	is.NoErr(err)
	_, err = readAnswer(body(3*step), 1<<20, second)
	is.True(errors.Is(err, errNoBuffer))
	first.Release()
	second.Release()
	data, err := readAnswer(body(2*step-1), 1<<20, first)
	is.NoErr(err)
	is.Equal(len(data), 2*step-1)
	is.Equal(budget.State().Held, int64(2*step)) // what is held is counted, once it has been copied
	first.Release()
	is.Equal(budget.State().Held, int64(0))
	_, err = readAnswer(io.MultiReader(body(10), errorReader{io.ErrUnexpectedEOF}), 1<<20, first)
	is.True(errors.Is(err, io.ErrUnexpectedEOF)) // broken off is not the end
	_, err = readAnswer(body(101), 100, first)
	is.True(errors.Is(err, errBodyTooLong))
	first.Release()
	is.Equal(budget.State().Held, int64(0))
}

func TestDiscardReportsWhetherTheBodyEnded(t *testing.T) {
	is := is.New(t)
	is.True(discard(strings.NewReader("1234"), 4))
	is.True(!discard(strings.NewReader("12345"), 4))
	is.True(!discard(errorReader{errReset}, 4))
}

// TestStalledStreamThatSendsCommentsGoesOnElsewhere guards against an upstream whose
// keep-alive comments make a stalled stream look alive.
func TestStalledStreamThatSendsCommentsGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	go func() {
		_, err := io.WriteString(writer, eventText(1, 1))
		for err == nil {
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(writer, ": alive\n\n")
		}
	}()
	f := newFixture(t, attemptStep{status: 200, stream: reader}, attemptStep{status: 200, body: eventText(2, 3)})
	started := time.Now()
	got := f.serve(t, f.request("stream"))
	is.True(got.ended)
	is.True(strings.HasSuffix(got.events, eventText(2, 3)))
	is.True(time.Since(started) < 4*time.Second)
}
