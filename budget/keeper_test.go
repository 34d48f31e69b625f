package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

// at is a time of a test in milliseconds from its start.
func at(ms int) time.Time {
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

// hold lets a keeper write its one lease's row now, whatever is in the table.
func hold(k *Keeper, now time.Time) {
	l := k.leases["lease"]
	for {
		call, ok := l.call(now, true)
		if !ok {
			return
		}
		if call.Write {
			k.WriteDone(now, call, Written)
			return
		}
		k.ReadDone(now, call, l.version, l.row)
	}
}

func newTestKeeper() *Keeper {
	k := NewKeeper("k", DefaultTiming(), epoch)
	k.Configure([]Resource{{
		Name: "engine", Lease: "lease", Capacity: Amount{100, 100_000}, NodeSlotsPercent: 100, NodeKVPercent: 100,
	}})
	return k
}

// inherit gives the keeper a lease that another process held and released, with
// these processes registered.
func inherit(k *Keeper, now time.Time, processes ...string) {
	call, _ := k.leases["lease"].call(now, true)
	k.ReadDone(now, call, 7, LeaseRow{Epoch: 3, Registered: processes})
	hold(k, now)
}

// tell sends one report of a node, echoing the keeper's clock at echo.
func tell(k *Keeper, now int, node string, echo int) Grant {
	answer, _ := k.Handle(at(now), Report{
		Node: node, Sequence: uint64(now + 1), Keeper: k.id, Echo: time.Duration(echo) * time.Millisecond,
		Usages: []Usage{{Resource: "engine", Waiting: Amount{100, 100_000}}},
	})
	return answer.Grants[0]
}

func TestNothingIsGrantedWithoutLease(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	for now := 0; now < 3000; now += 100 {
		is.Equal(tell(k, now, "a", now).Lifetime, time.Duration(0))
	}
	hold(k, at(3000))
	tell(k, 3050, "a", 3020)
	hold(k, at(4000)) // registers a
	is.True(tell(k, 4100, "a", 4050).Lifetime > 0)
}

func TestGrantEndsWithItsLease(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0), "a")
	grant := tell(k, 9600, "a", 9550)
	is.True(grant.Lifetime <= 400*time.Millisecond)               // the write began at 0 ms and lasts 10 s
	is.Equal(tell(k, 9900, "a", 9850).Lifetime, time.Duration(0)) // by a clock that may be 2 % slow
	is.True(!k.Accounts(at(9900))["engine"].Leading)
}

// Only a process in the row that was written last gets a share.
func TestOnlyRegisteredProcessesGetShares(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0))
	is.Equal(tell(k, 100, "a", 50).Lifetime, time.Duration(0))
	is.Equal(tell(k, 200, "b", 150).Lifetime, time.Duration(0))
	call, ok := k.leases["lease"].call(at(1100), true)
	is.True(ok)
	is.Equal(call.Row.Registered, []string{"a", "b", "k"})        // both in one write
	is.Equal(tell(k, 1200, "a", 1150).Lifetime, time.Duration(0)) // the write is on its way
	k.WriteDone(at(1300), call, Unknown)
	is.Equal(tell(k, 1400, "a", 1350).Lifetime, time.Duration(0)) // it may not have taken effect
	read, _ := k.leases["lease"].call(at(1500), true)
	is.True(!read.Write)
	k.ReadDone(at(1500), read, call.IfVersion+1, call.Row)
	is.True(tell(k, 1600, "a", 1550).Lifetime > 0)
}

// A process that a keeper finds in the row counts in full until it is heard.
func TestInheritedProcessCountsInFull(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0), "a", "silent")
	grant := tell(k, 100, "a", 50)
	is.True(grant.Lifetime > 0)
	is.Equal(grant.Share, Amount{}) // the silent process may hold the whole capacity
	k.Released(at(150), "silent")
	is.Equal(tell(k, 300, "a", 250).Share, Amount{100, 100_000})
	call, _ := k.leases["lease"].call(at(4000), true)
	is.Equal(call.Row.Registered, []string{"a", "k"})
}

// A process that was released and lives is a new one once it knows of that.
func TestReleasedProcessMayReturn(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0), "a")
	is.True(tell(k, 100, "a", 50).Lifetime > 0)
	k.Released(at(200), "a")
	answer, ok := k.Handle(at(300), Report{
		Node: "a", Sequence: 301, Keeper: "k", Echo: 100 * time.Millisecond, Usages: []Usage{{Resource: "engine"}},
	})
	is.True(ok)
	is.Equal(len(answer.Grants), 0) // it was sent before the release
	is.Equal(tell(k, 400, "a", 300).Lifetime, time.Duration(0))
	hold(k, at(1100)) // registers it again
	is.True(tell(k, 1200, "a", 1150).Lifetime > 0)
}

// What was told before a term began is not relied on.
func TestNewTermForgetsUsages(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	tell(k, 0, "silent", 0)
	inherit(k, at(40_000), "a", "silent")
	is.Equal(tell(k, 40_100, "a", 40_050).Share, Amount{})
	tell(k, 40_150, "silent", 39_900) // sent before the term
	is.Equal(tell(k, 40_200, "a", 40_150).Share, Amount{})
	tell(k, 40_250, "silent", 40_160)
	is.Equal(tell(k, 40_400, "a", 40_350).Share, Amount{50, 50_000})
}

// A report that echoes no answer may be old, and does not count as heard.
func TestOldReportIsNotHeard(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0), "a", "x")
	_, ok := k.Handle(at(200), Report{Node: "x", Sequence: 1, Usages: []Usage{{Resource: "engine"}}})
	is.True(ok)
	is.Equal(tell(k, 300, "a", 250).Share, Amount{})
}

func TestDriftShortensGrants(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0), "a")
	grant := tell(k, 1000, "a", 1000)
	is.True(grant.Lifetime <= 5500*99/100*time.Millisecond) // by a node's clock that runs 1 % slow
	is.True(grant.Lifetime > 5200*time.Millisecond)
}

func TestDivideIsMaxMinFair(t *testing.T) {
	is := is.New(t)
	is.Equal(divide(10, []int{1, 20, 4}), []int{1, 5, 4})
	is.Equal(divide(10, []int{0, 3}), []int{0, 3})
	is.Equal(divide(-5, []int{1, 3}), []int{0, 0})
	is.Equal(spread(10, 8, []int{0, 2}), []int{4, 6})
	is.Equal(spread(20, 8, []int{20, 2}), []int{8, 8})
}

// The fallback follows the share at once, the standby share the lease.
func TestShareExpiresFromSending(t *testing.T) {
	is := is.New(t)
	c := NewClient("node", DefaultTiming())
	c.Configure([]Interest{{Resource: "engine", Local: true}})
	r := c.Report(at(0), "keeper", []string{"engine"})
	c.Apply(at(800), "keeper", Answer{Sequence: r.Sequence, Keeper: "k", Grants: []Grant{{
		Resource: "engine", Share: Amount{5, 500}, Lifetime: time.Second, Fallback: Amount{1, 100},
		Standby: Amount{3, 300}, StandbyIn: time.Second,
	}}})
	is.Equal(c.Shares(at(999))["engine"].Amount, Amount{5, 500})
	is.Equal(c.Shares(at(1000))["engine"].Amount, Amount{1, 100})
	is.Equal(c.Shares(at(1800))["engine"].Amount, Amount{1, 100}) // the keeper's clock may run slow
	is.Equal(c.Shares(at(1900))["engine"].Amount, Amount{4, 400})
}

func TestNoStandbyDuringStart(t *testing.T) {
	is := is.New(t)
	c := NewClient("node", DefaultTiming())
	c.Configure([]Interest{{Resource: "engine", Local: true, Ramp: Ramp{10, 30 * time.Second}}})
	r := c.Report(at(0), "keeper", []string{"engine"})
	c.Apply(at(0), "keeper", Answer{Sequence: r.Sequence, Keeper: "k", Grants: []Grant{{
		Resource: "engine", Share: Amount{5, 500}, Lifetime: time.Second, Fallback: Amount{1, 100},
		Standby: Amount{3, 300}, StandbyIn: time.Second, Start: Start{Number: 1, Age: time.Hour},
	}}})
	is.Equal(c.Shares(at(2000))["engine"].Slots, 4)
	c.ColdStart(at(3000), "engine")
	is.Equal(c.Shares(at(3100))["engine"].Slots, 1)
	is.Equal(c.Shares(at(32_900))["engine"].Slots, 1)
	is.Equal(c.Shares(at(33_000))["engine"].Slots, 4)
}

func TestFallbackIsSetAside(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0), "a", "far")
	_, _ = k.Handle(at(100), Report{
		Node: "far", Sequence: 1, Keeper: "k", Echo: 90 * time.Millisecond,
		Usages: []Usage{{Resource: "engine", Fallback: Amount{10, 10_000}, Idle: true}},
	})
	k.ledgers["engine"].entries["far"].fallback = Amount{10, 10_000} // its answer is on the way
	is.True(tell(k, 300, "a", 250).Share.Within(Amount{90, 90_000}))
}

// A node's standby share is charged to the others from when it could use it.
func TestStandbyIsChargedOnceItCanBeUsed(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0), "a", "b")
	for now := 100; now <= 1000; now += 100 {
		tell(k, now, "a", now-50)
		tell(k, now, "b", now-50)
	}
	hold(k, at(1000))
	standby := k.ledgers["engine"].entries["b"].standbyCharge()
	is.True(standby.Slots >= 40)
	both := tell(k, 1300, "a", 1250)
	is.True(both.Lifetime <= 5100*time.Millisecond) // b may use its standby share from 6.5 s or earlier
	for now := 1400; now <= 5000; now += 100 {
		tell(k, now, "a", now-50)
	}
	hold(k, at(5000))
	alone := tell(k, 5200, "a", 5150)
	is.True(alone.Lifetime > 5*time.Second) // b is silent, and may be on standby before then
	is.True(alone.Share.Within(Amount{100, 100_000}.Sub(standby)))
	is.NoErr(k.Check())
}

// Two nodes wait for a prompt that is over half of the memory: one gets it all.
func TestMemoryIsPooledForOnePrompt(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper()
	inherit(k, at(0), "a", "b")
	want := Usage{
		Resource: "engine", Waiting: Amount{1, 80_000}, Next: Amount{1, 80_000},
	}
	held := map[string]int{}
	for i := range 40 {
		for _, node := range []string{"a", "b"} {
			now := at(i * 200)
			answer, _ := k.Handle(now, Report{
				Node: node, Sequence: uint64(i + 1), Keeper: "k", Echo: now.Sub(epoch), Usages: []Usage{want},
			})
			held[node] = max(held[node], answer.Grants[0].Share.KVTokens)
		}
	}
	is.True(held["a"] >= 80_000)
	is.True(held["b"] >= 80_000) // in turn
	is.NoErr(k.Check())
}
