package dispatch

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/scheduling"
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

func TestLostContactLeavesTheSiteUnconfirmed(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000, 0)
	f := freshness{contact: start}
	now := start
	for ; !now.After(start.Add(contactLimit)); now = now.Add(time.Second) {
		is.True(!f.notice(now))
	}
	is.True(f.notice(now))
	is.True(!f.notice(now.Add(time.Second))) // told once
	is.True(!f.paused)                       // others may still take its word
	waiting := f.confirmed
	asked := now.Add(time.Second)
	f.confirm(asked)
	is.True(isClosed(waiting))
	is.True(!f.notice(asked.Add(time.Second))) // an answer is contact
}

func TestNobodyToHearNeedsNoContact(t *testing.T) {
	is := is.New(t)
	var f freshness
	now := time.Unix(1_000, 0)
	for range 10 {
		is.True(!f.notice(now))
		now = now.Add(time.Second)
	}
}

func TestUnconfirmedNodeRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	d := New(nil)
	now := time.Now()
	d.freshness.notice(now.Add(-time.Second))
	d.freshness.contact = now.Add(-2 * contactLimit)
	d.freshness.notice(now.Add(-2 * confirmPatience))
	_, err := d.Place(t.Context(), new(scheduling.Request))
	is.True(errors.Is(err, ErrUnconfirmed))
}
