package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func TestFreshnessIsLostInAPause(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000, 0)
	var f freshness
	is.True(!f.notice(start)) // the first time is no pause
	is.True(!f.notice(start.Add(pauseLimit)))
	is.True(f.confirmed == nil)
	woken := start.Add(3 * pauseLimit)
	is.True(f.notice(woken))
	is.True(!f.notice(woken)) // told once
	waiting := f.confirmed
	f.confirm(woken.Add(-time.Second))
	is.True(!isClosed(waiting)) // asked before the pause ended
	f.confirm(woken.Add(time.Millisecond))
	is.True(isClosed(waiting))
	is.True(f.confirmed == nil)
}

func TestSecondPauseVoidsAnAnswerToTheFirst(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000, 0)
	var f freshness
	f.notice(start)
	first := start.Add(2 * pauseLimit)
	is.True(f.notice(first))
	waiting := f.confirmed
	asked := first.Add(time.Millisecond)
	is.True(f.notice(first.Add(2 * pauseLimit)))
	f.confirm(asked)
	is.True(!isClosed(waiting)) // the answer is as old as the question
}
