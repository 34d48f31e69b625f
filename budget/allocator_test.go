package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// at returns the time that many milliseconds after a test's start.
func at(ms int) time.Time {
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

// writeLease lets an allocator write the row of its only lease now, whatever
// the table holds.
func writeLease(a *Allocator, now time.Time) {
	l := a.leases["lease"]
	for {
		call, ok := l.call(now, true)
		if !ok {
			return
		}
		if call.Write {
			a.WriteDone(now, call, Written)
			return
		}
		a.ReadDone(now, call, l.version, l.row)
	}
}

func newTestAllocator() *Allocator {
	a := NewAllocator("k", DefaultTiming(), epoch)
	a.Configure([]Resource{{
		Name: "engine", Lease: "lease", Capacity: Amount{100, 100_000}, NodeSlotsPercent: 100, NodeKVPercent: 100,
	}})
	return a
}

// takeOverLease gives the allocator a lease that another process held and
// released, with these processes registered.
func takeOverLease(a *Allocator, now time.Time, processes ...string) {
	call, _ := a.leases["lease"].call(now, true)
	a.ReadDone(now, call, 7, LeaseRow{Epoch: 3, Registered: processes})
	writeLease(a, now)
}

// sendReport sends one report of a node that echoes the allocator's clock at
// echo, in milliseconds.
func sendReport(a *Allocator, now int, node string, echo int) Grant {
	answer, _ := a.Handle(at(now), Report{
		Node: node, Sequence: uint64(now + 1), Allocator: a.id, Echo: time.Duration(echo) * time.Millisecond,
		Usages: []Usage{{Resource: "engine", Waiting: Amount{100, 100_000}}},
	})
	return answer.Grants[0]
}

func TestAllocatorGrantsNothingWithoutLease(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	for now := 0; now < 3000; now += 100 {
		is.Equal(sendReport(a, now, "a", now).Lifetime, time.Duration(0))
	}
	writeLease(a, at(3000))
	sendReport(a, 3050, "a", 3020)
	writeLease(a, at(4000)) // registers a
	is.True(sendReport(a, 4100, "a", 4050).Lifetime > 0)
}

func TestGrantLifetimeEndsWithLease(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0), "a")
	grant := sendReport(a, 9600, "a", 9550)
	is.True(grant.Lifetime <= 400*time.Millisecond)                     // the write began at 0 ms and the lease lasts 10 s
	is.Equal(sendReport(a, 9900, "a", 9850).Lifetime, time.Duration(0)) // by a clock that may be 2 % slow
	is.True(!a.Statuses(at(9900))["engine"].HoldsLease)
}

// Only a process in the latest written row gets a share.
func TestAllocatorGrantsOnlyToRegisteredProcesses(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0))
	is.Equal(sendReport(a, 100, "a", 50).Lifetime, time.Duration(0))
	is.Equal(sendReport(a, 200, "b", 150).Lifetime, time.Duration(0))
	call, ok := a.leases["lease"].call(at(1100), true)
	is.True(ok)
	is.Equal(call.Row.Registered, []string{"a", "b", "k"})              // both in one write
	is.Equal(sendReport(a, 1200, "a", 1150).Lifetime, time.Duration(0)) // the write is in flight
	a.WriteDone(at(1300), call, Unknown)
	is.Equal(sendReport(a, 1400, "a", 1350).Lifetime, time.Duration(0)) // it may not have taken effect
	read, _ := a.leases["lease"].call(at(1500), true)
	is.True(!read.Write)
	a.ReadDone(at(1500), read, call.IfVersion+1, call.Row)
	is.True(sendReport(a, 1600, "a", 1550).Lifetime > 0)
}

// A process that an allocator finds in the row counts as holding the node limit
// until it reports.
func TestInheritedProcessCountsAsNodeLimitUntilReport(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0), "a", "silent")
	grant := sendReport(a, 100, "a", 50)
	is.True(grant.Lifetime > 0)
	is.Equal(grant.Share, Amount{}) // the process that has not reported may hold the whole capacity
	a.ProcessEnded(at(150), "silent")
	is.Equal(sendReport(a, 300, "a", 250).Share, Amount{100, 100_000})
	call, _ := a.leases["lease"].call(at(4000), true)
	is.Equal(call.Row.Registered, []string{"a", "k"})
}

// A running process that was recorded as ended gets grants again once its
// report echoes a later answer.
func TestEndedProcessIsRegisteredAgainByLaterReport(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0), "a")
	is.True(sendReport(a, 100, "a", 50).Lifetime > 0)
	a.ProcessEnded(at(200), "a")
	answer, ok := a.Handle(at(300), Report{
		Node: "a", Sequence: 301, Allocator: "k", Echo: 100 * time.Millisecond, Usages: []Usage{{Resource: "engine"}},
	})
	is.True(ok)
	is.Equal(len(answer.Grants), 0) // it was sent before the process was recorded as ended
	is.Equal(sendReport(a, 400, "a", 300).Lifetime, time.Duration(0))
	writeLease(a, at(1100)) // registers it again
	is.True(sendReport(a, 1200, "a", 1150).Lifetime > 0)
}

// Reports that were sent before a term began do not count in it.
func TestNewTermIgnoresEarlierReports(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	sendReport(a, 0, "silent", 0)
	takeOverLease(a, at(40_000), "a", "silent")
	is.Equal(sendReport(a, 40_100, "a", 40_050).Share, Amount{})
	sendReport(a, 40_150, "silent", 39_900) // sent before the term
	is.Equal(sendReport(a, 40_200, "a", 40_150).Share, Amount{})
	sendReport(a, 40_250, "silent", 40_160)
	is.Equal(sendReport(a, 40_400, "a", 40_350).Share, Amount{50, 50_000})
}

// A report that echoes no answer may be old, so its sender does not count as
// reporting.
func TestReportWithoutEchoDoesNotCountAsReporting(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0), "a", "x")
	_, ok := a.Handle(at(200), Report{Node: "x", Sequence: 1, Usages: []Usage{{Resource: "engine"}}})
	is.True(ok)
	is.Equal(sendReport(a, 300, "a", 250).Share, Amount{})
}

func TestGrantLifetimeAllowsForClockDrift(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0), "a")
	grant := sendReport(a, 1000, "a", 1000)
	is.True(grant.Lifetime <= 5500*99/100*time.Millisecond) // by a node's clock that runs 1 % slow
	is.True(grant.Lifetime > 5200*time.Millisecond)
}

func TestDivideIsMaxMinFair(t *testing.T) {
	is := is.New(t)
	is.Equal(divide(10, []int{1, 20, 4}), []int{1, 5, 4})
	is.Equal(divide(10, []int{0, 3}), []int{0, 3})
	is.Equal(divide(-5, []int{1, 3}), []int{0, 0})
	is.Equal(divideAll(10, 8, []int{0, 2}), []int{4, 6})
	is.Equal(divideAll(20, 8, []int{20, 2}), []int{8, 8})
}

// The fallback share applies as soon as the share ends, the standby share only
// after the lease.
func TestShareLifetimeStartsWhenReportIsSent(t *testing.T) {
	is := is.New(t)
	c := NewClient("node", DefaultTiming())
	c.Configure([]Interest{{Resource: "engine", Local: true}})
	r := c.Report(at(0), "keeper", []string{"engine"})
	c.Apply(at(800), "keeper", Answer{Sequence: r.Sequence, Allocator: "k", Grants: []Grant{{
		Resource: "engine", Share: Amount{5, 500}, Lifetime: time.Second, Fallback: Amount{1, 100},
		Standby: Amount{3, 300}, StandbyIn: time.Second,
	}}})
	is.Equal(c.Shares(at(999))["engine"].Amount, Amount{5, 500})
	is.Equal(c.Shares(at(1000))["engine"].Amount, Amount{1, 100})
	is.Equal(c.Shares(at(1800))["engine"].Amount, Amount{1, 100}) // the allocator's clock may run slow
	is.Equal(c.Shares(at(1900))["engine"].Amount, Amount{4, 400})
}

func TestStandbyShareIsUnusedDuringRamp(t *testing.T) {
	is := is.New(t)
	c := NewClient("node", DefaultTiming())
	c.Configure([]Interest{{Resource: "engine", Local: true, Ramp: Ramp{10, 30 * time.Second}}})
	r := c.Report(at(0), "keeper", []string{"engine"})
	c.Apply(at(0), "keeper", Answer{Sequence: r.Sequence, Allocator: "k", Grants: []Grant{{
		Resource: "engine", Share: Amount{5, 500}, Lifetime: time.Second, Fallback: Amount{1, 100},
		Standby: Amount{3, 300}, StandbyIn: time.Second, Start: Start{Number: 1, Age: time.Hour},
	}}})
	is.Equal(c.Shares(at(2000))["engine"].Slots, 4)
	c.ColdStart(at(3000), "engine")
	is.Equal(c.Shares(at(3100))["engine"].Slots, 1)
	is.Equal(c.Shares(at(32_900))["engine"].Slots, 1)
	is.Equal(c.Shares(at(33_000))["engine"].Slots, 4)
}

func TestGrantLeavesRoomForFallbackShares(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0), "a", "far")
	_, _ = a.Handle(at(100), Report{
		Node: "far", Sequence: 1, Allocator: "k", Echo: 90 * time.Millisecond,
		Usages: []Usage{{Resource: "engine", Fallback: Amount{10, 10_000}, Idle: true}},
	})
	a.allocations["engine"].nodes["far"].fallback = Amount{10, 10_000} // its answer is in flight
	is.True(sendReport(a, 300, "a", 250).Share.Within(Amount{90, 90_000}))
}

// A node's standby share reduces the shares of others from when it could be
// used.
func TestStandbyShareIsChargedOnceUsable(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0), "a", "b")
	for now := 100; now <= 1000; now += 100 {
		sendReport(a, now, "a", now-50)
		sendReport(a, now, "b", now-50)
	}
	writeLease(a, at(1000))
	standby := a.allocations["engine"].nodes["b"].standbyCharge()
	is.True(standby.Slots >= 40)
	both := sendReport(a, 1300, "a", 1250)
	is.True(both.Lifetime <= 5100*time.Millisecond) // b may use its standby share from 6.5 s or earlier
	for now := 1400; now <= 5000; now += 100 {
		sendReport(a, now, "a", now-50)
	}
	writeLease(a, at(5000))
	alone := sendReport(a, 5200, "a", 5150)
	is.True(alone.Lifetime > 5*time.Second) // b no longer reports and may use its standby share before then
	is.True(alone.Share.Within(Amount{100, 100_000}.Sub(standby)))
	is.NoErr(a.Check())
}

// Two nodes wait for a prompt that needs more than half of the memory: each
// gets enough in its turn.
func TestMemoryIsPooledForOneLargePrompt(t *testing.T) {
	is := is.New(t)
	a := newTestAllocator()
	takeOverLease(a, at(0), "a", "b")
	want := Usage{
		Resource: "engine", Waiting: Amount{1, 80_000}, Next: Amount{1, 80_000},
	}
	held := map[string]int{}
	for i := range 40 {
		for _, node := range []string{"a", "b"} {
			now := at(i * 200)
			answer, _ := a.Handle(now, Report{
				Node: node, Sequence: uint64(i + 1), Allocator: "k", Echo: now.Sub(epoch), Usages: []Usage{want},
			})
			held[node] = max(held[node], answer.Grants[0].Share.KVTokens)
		}
	}
	is.True(held["a"] >= 80_000)
	is.True(held["b"] >= 80_000) // in turn
	is.NoErr(a.Check())
}
