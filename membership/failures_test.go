package membership_test

import (
	"os"
	"runtime/debug"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/membership"
)

const (
	// joinLimit limits the time until views agree when all nodes start together.
	joinLimit = 60 * time.Second
	// failureLimit limits the time until all views reflect a failure: 5 s to detect
	// it, and the required "few seconds" (taken as 5 s) to disseminate it.
	failureLimit = 15 * time.Second
	// healLimit limits the time until views agree after a partition ends.
	healLimit = 60 * time.Second
)

func joinedNetwork(t *testing.T, seed uint64, count int) *network {
	t.Helper()
	n := newNetwork(t, seed)
	n.addNodes(count, 3, 1)
	n.awaitAgreement(joinLimit)
	return n
}

func TestMain(m *testing.M) {
	// The states of all simulated nodes are long-lived, so collect garbage less
	// often.
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

func TestViewsAgreeInTimeAfterKill(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		n := joinedNetwork(t, seed, 27)
		n.kill(n.nodes[int(seed)+4])
		t.Logf("seed %d: all views hold the killed node as dead after %v", seed, n.awaitAgreement(failureLimit))
	}
}

func TestLeaveIsFasterThanSuspicionAndAllowsReturn(t *testing.T) {
	is := is.New(t)
	n := joinedNetwork(t, 1, 27)
	leaver := n.nodes[7]
	n.stepAndSend(leaver, func() []membership.Packet { return leaver.state.Leave(n.now) })
	n.run(100 * time.Millisecond)
	n.kill(leaver)
	// A leave disseminates faster than a suspicion times out.
	is.True(n.awaitAgreement(4*time.Second) < 4*time.Second)
	n.start(leaver)
	n.awaitAgreement(failureLimit) // the same name returns under a later incarnation
}

func TestPausedNodeRefutesItsDeath(t *testing.T) {
	is := is.New(t)
	n := joinedNetwork(t, 2, 27)
	paused := n.nodes[5]
	before := paused.state.Self().Incarnation
	paused.paused = true
	n.run(20 * time.Second)
	is.Equal(n.liveCount(n.nodes[0]), 26) // declared dead by then
	n.resume(paused)
	n.awaitAgreement(failureLimit)
	is.True(paused.state.Self().Incarnation > before) // refuted by a later incarnation
}

func TestPartitionBetweenDataCentresForOneHourHeals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := joinedNetwork(t, 3, 12)
	separated := func(b *node) bool { return b.member.DataCentre == "dc-1" }
	n.cut = func(a, b *node) bool { return separated(a) != separated(b) }
	n.run(time.Hour)
	for _, b := range n.nodes {
		want := 8
		if separated(b) {
			want = 4
		}
		is.Equal(n.liveCount(b), want) // only the members on the same side
	}
	n.cut = func(_, _ *node) bool { return false }
	t.Logf("views agree %v after the partition ended", n.awaitAgreement(healLimit))
}

func TestPartitionWithinDataCentresHeals(t *testing.T) {
	t.Parallel()
	n := joinedNetwork(t, 4, 24)
	half := map[*node]bool{}
	for i, b := range n.nodes {
		half[b] = i%2 == 0
	}
	n.cut = func(a, b *node) bool { return half[a] != half[b] }
	n.run(10 * time.Minute)
	n.cut = func(_, _ *node) bool { return false }
	t.Logf("views agree %v after the partition ended", n.awaitAgreement(healLimit))
}

func TestViewsAgreeInTimeAfterRackFailure(t *testing.T) {
	n := joinedNetwork(t, 5, 45)
	for i, b := range n.nodes {
		if b.member.DataCentre == "dc-0" && i < 24 {
			n.kill(b)
		}
	}
	t.Logf("all views reflect the rack failure after %v", n.awaitAgreement(failureLimit))
}

func TestMembersOfLostDataCentreAreNotLive(t *testing.T) {
	is := is.New(t)
	n := joinedNetwork(t, 6, 27)
	for _, b := range n.nodes {
		if b.member.DataCentre == "dc-2" {
			n.kill(b)
		}
	}
	n.run(30 * time.Second)
	is.Equal(n.liveCount(n.nodes[0]), 18)
}

func TestViewsAgreeAfter60ReplacementsIn30Seconds(t *testing.T) {
	t.Parallel()
	replaceMany(t, 60, 500*time.Millisecond)
}

func TestViewsAgreeAfter130ReplacementsIn26Seconds(t *testing.T) {
	t.Parallel()
	replaceMany(t, 130, 200*time.Millisecond)
}

// replaceMany replaces count of 140 nodes, one per interval; a third of them stop
// without announcing that they leave.
func replaceMany(t *testing.T, count int, interval time.Duration) {
	t.Helper()
	n := newNetwork(t, 7)
	n.addNodes(140, 7, 3)
	n.introduceAll()
	for i := range count {
		old := n.nodes[3+i]
		if i%3 == 0 {
			n.kill(old) // no leave announced
		} else {
			n.stepAndSend(old, func() []membership.Packet { return old.state.Leave(n.now) })
			n.kill(old)
		}
		n.add(old.member.DataCentre, old.member.Region)
		n.run(interval)
	}
	t.Logf("views agree %v after the last of %d replacements", n.awaitAgreement(30*time.Second), count)
}

func TestLossAndDuplicationCauseNoFalseDeaths(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(2) {
		n := newNetwork(t, seed)
		n.loss, n.duplication = 0.05, 0.05
		n.addNodes(30, 3, 1)
		n.run(joinLimit)
		for range 150 {
			n.run(time.Second)
			for _, b := range n.nodes {
				is.Equal(n.liveCount(b), 30) // no running node is held as dead
			}
		}
		n.kill(n.nodes[9])
		n.awaitAgreement(failureLimit)
	}
}

func TestOpenRejectsWrongKeyAndChangedDatagram(t *testing.T) {
	is := is.New(t)
	other, err := membership.NewCodec("another key")
	is.NoErr(err)
	own, err := membership.NewCodec("test-key")
	is.NoErr(err)
	datagram, err := other.Seal(membership.Message{Kind: membership.Ping, From: "a", DataCentre: "dc"})
	is.NoErr(err)
	_, err = own.Open(datagram)
	is.True(err != nil)
	datagram, err = own.Seal(membership.Message{Kind: membership.Ping, From: "a", DataCentre: "dc"})
	is.NoErr(err)
	opened, err := own.Open(datagram)
	is.NoErr(err)
	is.Equal(opened.From, "a")
	for i := range datagram {
		changed := append([]byte(nil), datagram...)
		changed[i] ^= 1
		_, err = own.Open(changed)
		is.True(err != nil) // every byte is authenticated
	}
}
