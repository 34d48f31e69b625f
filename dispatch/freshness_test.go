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

func TestProcessPauseRequiresConfirmation(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000, 0)
	var f freshness
	is.True(!f.detectLoss(start)) // the first call detects no pause
	is.True(!f.detectLoss(start.Add(maxPause)))
	is.True(f.confirmed == nil)
	woken := start.Add(3 * maxPause)
	is.True(f.detectLoss(woken))
	is.True(!f.detectLoss(woken)) // reported once
	waiting := f.confirmed
	f.confirm(woken.Add(-time.Second))
	is.True(!isClosed(waiting)) // queried before the pause ended
	f.confirm(woken.Add(time.Millisecond))
	is.True(isClosed(waiting))
	is.True(f.confirmed == nil)
}

func TestAnswerFromBeforeSecondPauseDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000, 0)
	var f freshness
	f.detectLoss(start)
	first := start.Add(2 * maxPause)
	is.True(f.detectLoss(first))
	waiting := f.confirmed
	queriedAt := first.Add(time.Millisecond)
	is.True(f.detectLoss(first.Add(2 * maxPause)))
	f.confirm(queriedAt)
	is.True(!isClosed(waiting)) // queried before the second pause
}

func TestLostContactRequiresConfirmation(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000, 0)
	f := freshness{lastContact: start}
	now := start
	for ; !now.After(start.Add(contactTimeout)); now = now.Add(time.Second) {
		is.True(!f.detectLoss(now))
	}
	is.True(f.detectLoss(now))
	is.True(!f.detectLoss(now.Add(time.Second))) // reported once
	is.True(!f.paused)                           // it may still confirm other nodes
	waiting := f.confirmed
	queriedAt := now.Add(time.Second)
	f.confirm(queriedAt)
	is.True(isClosed(waiting))
	is.True(!f.detectLoss(queriedAt.Add(time.Second))) // an answer counts as contact
}

func TestSingleNodeNeedsNoContact(t *testing.T) {
	is := is.New(t)
	var f freshness
	now := time.Unix(1_000, 0)
	for range 10 {
		is.True(!f.detectLoss(now))
		now = now.Add(time.Second)
	}
}

func TestPlaceRefusesAtOnceAfterConfirmTimeout(t *testing.T) {
	is := is.New(t)
	d := New(nil)
	now := time.Now()
	d.freshness.detectLoss(now.Add(-time.Second))
	d.freshness.lastContact = now.Add(-2 * contactTimeout)
	d.freshness.detectLoss(now.Add(-2 * confirmTimeout))
	_, err := d.Place(t.Context(), new(scheduling.Request))
	is.True(errors.Is(err, ErrUnconfirmed))
}
