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

func newTestKeeper(voters int) *Keeper {
	k := NewKeeper("k", DefaultTiming(), epoch)
	k.Configure([]Resource{{
		Name: "engine", Capacity: Amount{100, 100_000}, Voters: voters, NodeSlotsPercent: 100, NodeKVPercent: 100,
	}})
	return k
}

// tell sends one report of a node, echoing the keeper's clock at echo.
func tell(k *Keeper, now int, node string, echo int, pledged bool) Grant {
	answer, _ := k.Handle(at(now), Report{
		Node: node, Sequence: uint64(now + 1), Keeper: k.id, Echo: time.Duration(echo) * time.Millisecond,
		Usages: []Usage{{Resource: "engine", Waiting: Amount{100, 100_000}, Pledged: pledged}},
	})
	return answer.Grants[0]
}

func TestMinorityGrantsNothing(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(4)
	for now := 0; now < 3000; now += 100 {
		is.Equal(tell(k, now, "a", now, true).Lifetime, time.Duration(0))
		is.Equal(tell(k, now+50, "b", now, true).Lifetime, time.Duration(0)) // half is no majority
	}
	tell(k, 3000, "c", 2950, true)
	is.True(tell(k, 3100, "c", 3050, true).Lifetime > 0)
}

func TestGrantEndsWithItsPledges(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(1)
	tell(k, 0, "voter", 0, true)
	tell(k, 100, "voter", 100, true)
	tell(k, 2900, "other", 2850, false)
	grant := tell(k, 2950, "other", 2900, false)
	is.True(grant.Lifetime <= 150*time.Millisecond) // the pledge was sent at 100 ms and lasts 3 s
}

// A report that was on its way for long holds a pledge that has nearly ended.
func TestPledgeCountsFromEcho(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(1)
	is.Equal(tell(k, 5000, "voter", 1000, true).Lifetime, time.Duration(0))
	is.True(!k.Accounts(at(5000))["engine"].Leading)
}

func TestNewProcessMakesNoPledge(t *testing.T) {
	is := is.New(t)
	c := NewClient("node.2", DefaultTiming(), epoch)
	c.Configure([]Interest{{Resource: "engine", Voter: true, Local: true}})
	report := func(ms int) Usage {
		r := c.Report(at(ms), "keeper", []string{"engine"}, nil)
		c.Apply(at(ms), "keeper", Answer{Sequence: r.Sequence, Keeper: "k", Grants: []Grant{{Resource: "engine"}}})
		return r.Usages[0]
	}
	report(0)
	is.True(!report(2900).Pledged) // its last process's pledge may stand
	is.True(report(3200).Pledged)
}

func TestPledgeIsExclusive(t *testing.T) {
	is := is.New(t)
	c := NewClient("node", DefaultTiming(), epoch)
	c.Configure([]Interest{{Resource: "engine", Voter: true, Local: true}})
	report := func(ms int, keeper string) bool {
		r := c.Report(at(ms), keeper, []string{"engine"}, nil)
		c.Apply(at(ms), keeper, Answer{Sequence: r.Sequence, Keeper: keeper + ".1"})
		return r.Usages[0].Pledged
	}
	report(4000, "k")
	report(4000, "other")
	is.True(report(4100, "k"))
	is.True(!report(7000, "other"))
	is.True(report(7100, "other"))
}

// A term begins when its majority forms: usages from before are not relied on.
func TestNewTermForgetsUsages(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(1)
	tell(k, 0, "silent", 0, false)
	tell(k, 40_000, "voter", 39_900, true)
	grant := tell(k, 40_100, "voter", 40_050, true)
	is.True(grant.Lifetime > 0)
	is.Equal(grant.Share, Amount{}) // the silent node may hold the whole capacity
	k.Released("silent")
	is.Equal(tell(k, 40_300, "voter", 40_250, true).Share, Amount{100, 100_000})
}

// A report that echoes no answer may be old, and does not count as heard.
func TestOldReportIsNotHeard(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(1)
	tell(k, 0, "voter", 0, true)
	tell(k, 100, "voter", 90, true)
	_, ok := k.Handle(at(200), Report{Node: "x", Sequence: 1, Usages: []Usage{{Resource: "engine"}}})
	is.True(ok)
	is.Equal(tell(k, 300, "voter", 250, true).Share, Amount{})
}

func TestDriftShortensGrants(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(1)
	tell(k, 0, "voter", 0, true)
	grant := tell(k, 1000, "voter", 1000, true)
	is.True(grant.Lifetime <= 2*990*time.Millisecond+990*time.Millisecond) // by a node's clock that runs 1 % slow
	is.True(grant.Lifetime > 2500*time.Millisecond)
}

func TestDivideIsMaxMinFair(t *testing.T) {
	is := is.New(t)
	is.Equal(divide(10, []int{1, 20, 4}), []int{1, 5, 4})
	is.Equal(divide(10, []int{0, 3}), []int{0, 3})
	is.Equal(divide(-5, []int{1, 3}), []int{0, 0})
	is.Equal(spread(10, 8, []int{0, 2}), []int{4, 6})
	is.Equal(spread(20, 8, []int{20, 2}), []int{8, 8})
}

func TestShareExpiresFromSending(t *testing.T) {
	is := is.New(t)
	c := NewClient("node", DefaultTiming(), epoch)
	c.Configure([]Interest{{Resource: "engine", Local: true}})
	r := c.Report(at(0), "keeper", []string{"engine"}, nil)
	c.Apply(at(800), "keeper", Answer{Sequence: r.Sequence, Keeper: "k", Grants: []Grant{
		{Resource: "engine", Share: Amount{5, 500}, Lifetime: time.Second, Fallback: Amount{1, 100}},
	}})
	is.Equal(c.Shares(at(999))["engine"].Amount, Amount{5, 500})
	is.Equal(c.Shares(at(1000))["engine"].Amount, Amount{1, 100}) // the fallback follows
}

func TestFallbackIsSetAside(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(1)
	tell(k, 0, "voter", 0, true)
	_, _ = k.Handle(at(100), Report{
		Node: "far", Sequence: 1, Keeper: "k", Echo: 90 * time.Millisecond,
		Usages: []Usage{{Resource: "engine", Fallback: Amount{10, 10_000}, Idle: true}},
	})
	k.ledgers["engine"].entries["far"].fallback = Amount{10, 10_000} // its answer is on the way
	is.True(tell(k, 300, "voter", 250, true).Share.Within(Amount{90, 90_000}))
}

// Two nodes wait for a prompt that is over half of the memory: one gets it all.
func TestMemoryIsPooledForOnePrompt(t *testing.T) {
	is := is.New(t)
	k := newTestKeeper(1)
	want := Usage{
		Resource: "engine", Waiting: Amount{1, 80_000}, Next: Amount{1, 80_000}, Pledged: true,
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
