package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestLease() *lease {
	return newLease("lease", "k", DefaultTiming(), func(string) bool { return false })
}

// next returns the call that is due and fails the test when there is none.
func next(t *testing.T, l *lease, now time.Time, assigned bool) LeaseCall {
	t.Helper()
	call, ok := l.call(now, assigned)
	if !ok {
		t.Fatal("no table call is due")
	}
	return call
}

// otherRow returns a row that another process holds.
func otherRow() LeaseRow {
	return LeaseRow{Holder: "other", Epoch: 4, Duration: 10 * time.Second, Registered: []string{"a", "other"}}
}

func TestLeaseIsTakenOverAfterItsDuration(t *testing.T) {
	is := is.New(t)
	l := newTestLease()
	next(t, l, at(0), true)
	l.readDone(at(50), 9, otherRow())
	for now := 1000; now <= 10_300; now += 1000 {
		is.True(!next(t, l, at(now), true).Write)
		l.readDone(at(now), 9, otherRow())
	}
	call := next(t, l, at(10_400), true) // 10.3 s after the version was first seen
	is.True(call.Write)
	is.Equal(call.IfVersion, uint64(9))
	is.Equal(call.Row.Holder, "k")
	is.Equal(call.Row.Epoch, uint64(5))
	is.Equal(call.Row.Registered, []string{"a", "k", "other"})
	l.writeDone(at(10_450), call, Written)
	is.True(l.holds(at(10_500)))
	is.Equal(l.inherited, map[string]bool{"a": true, "other": true})
}

// A renewed row restarts the wait.
func TestRenewedLeaseIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	l := newTestLease()
	for now := range 60 {
		call := next(t, l, at(now*1000), true)
		is.True(!call.Write)
		l.readDone(at(now*1000), uint64(9+now/4), otherRow())
	}
}

func TestReleasedLeaseIsTakenOverWhenItsGrantsEnd(t *testing.T) {
	is := is.New(t)
	l := newTestLease()
	next(t, l, at(0), true)
	l.readDone(at(0), 9, LeaseRow{Epoch: 4, Duration: 2 * time.Second, Registered: []string{"a"}})
	is.True(!next(t, l, at(2000), true).Write)
	l.readFailed()
	is.True(next(t, l, at(2060), true).Write)
}

func TestMissingRowIsWrittenAtOnce(t *testing.T) {
	is := is.New(t)
	l := newTestLease()
	next(t, l, at(0), true)
	l.readDone(at(10), 0, LeaseRow{})
	call := next(t, l, at(20), true)
	is.True(call.Write)
	is.Equal(call.IfVersion, uint64(0))
	is.Equal(call.Row.Registered, []string{"k"})
}

// newHeldLease returns a lease that is held since a write that began at 20 ms.
func newHeldLease(t *testing.T) *lease {
	l := newTestLease()
	next(t, l, at(0), true)
	l.readDone(at(10), 0, LeaseRow{})
	l.writeDone(at(50), next(t, l, at(20), true), Written)
	return l
}

func TestLeaseIsRenewedBeforeHalfItsDuration(t *testing.T) {
	is := is.New(t)
	l := newHeldLease(t)
	_, ok := l.call(at(3900), true)
	is.True(!ok)
	call := next(t, l, at(4020), true)
	is.Equal(call.IfVersion, uint64(1))
	is.Equal(call.Row.Epoch, uint64(1))
	l.writeDone(at(4100), call, Written)
	is.True(l.holds(at(4020 + 9790)))
	is.True(!l.holds(at(4020 + 9810)))
}

// The answer to a write is lost. The lease is extended, counted from the start
// of that write, only once the row has been read.
func TestLeaseRowIsReadAfterLostWriteAnswer(t *testing.T) {
	is := is.New(t)
	l := newHeldLease(t)
	lost := next(t, l, at(4020), true)
	l.writeDone(at(6000), lost, Unknown)
	is.True(!l.holds(at(9900))) // by the first write alone
	read := next(t, l, at(6100), true)
	is.True(!read.Write)
	l.readDone(at(6200), 2, lost.Row)
	is.True(l.holds(at(9900)))
	is.True(!l.holds(at(4020 + 9810)))
}

// A write that timed out takes effect after the next write was tried.
func TestLateOwnWriteIsRecognizedAfterConflict(t *testing.T) {
	is := is.New(t)
	l := newHeldLease(t)
	late := next(t, l, at(4020), true)
	l.writeDone(at(5020), late, Unknown)
	next(t, l, at(5100), true)
	l.readDone(at(5200), 1, LeaseRow{Holder: "k", Epoch: 1, WriteNumber: 1, Duration: 10 * time.Second, Registered: []string{"k"}})
	again := next(t, l, at(6100), true)
	is.Equal(again.IfVersion, uint64(1))
	l.writeDone(at(6200), again, Conflict)
	next(t, l, at(7200), true)
	l.readDone(at(7300), 2, late.Row)
	is.True(l.holds(at(4020 + 9790)))
	is.True(!l.holds(at(4020 + 9810))) // counted from the start of the write that took effect
}

// A lease that is assigned to another process is released with the time that
// its grants still last, and nothing is granted from then on.
func TestUnassignedHolderReleasesLease(t *testing.T) {
	is := is.New(t)
	l := newHeldLease(t)
	l.grantsEnd = at(7500)
	_, ok := l.call(at(1000), false)
	is.True(!ok)
	call := next(t, l, at(3100), false)
	is.Equal(call.Row.Holder, "")
	is.Equal(call.Row.Duration, 4400*time.Millisecond)
	is.True(!l.holds(at(3100)))
	l.writeDone(at(3200), call, Unknown)
	next(t, l, at(3300), false) // reads the row back
	l.readDone(at(3400), 2, call.Row)
	is.True(!l.holds(at(3500)))
	_, ok = l.call(at(60_000), false)
	is.True(!ok) // neither holder nor assigned: no calls
}

func TestPausedHolderLosesLease(t *testing.T) {
	is := is.New(t)
	l := newHeldLease(t)
	is.True(!l.holds(at(30_000)))
	renewal := next(t, l, at(30_000), true)
	l.writeDone(at(30_100), renewal, Conflict)
	is.True(!l.holds(at(30_100)))
	next(t, l, at(31_100), true)
	l.readDone(at(31_200), 2, otherRow())
	is.True(!l.holds(at(31_200)))
	is.Equal(len(l.members), 0)
}
