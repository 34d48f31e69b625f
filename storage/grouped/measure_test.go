package grouped

import (
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

type size struct{ nodes, centres int }

var sizes = []size{{9, 3}, {320, 7}}

const (
	warmUp   = 5 * time.Second
	measured = 20 * time.Second
	// lostShare is the part of calls that may be refused or unsettled at the limit.
	lostShare = 0.01
	// edge allows for calls that are on their way at an end of the measurement.
	edge = 3
	// neededCalls is 3 % of the peak of the size to design for, a second.
	neededCalls = 102
)

func loaded(s size, alone bool, perSecond float64) *fleet {
	f := newFleet(s.nodes, s.centres, alone)
	f.run(warmUp, perSecond)
	f.sent, f.rows, f.ran, f.refused, f.unsettled, f.kept, f.claimWaits, f.lends = nil, 0, 0, 0, 0, 0, nil, 0
	f.run(measured, perSecond)
	return f
}

// bears reports whether the fleet bears a rate of keyed calls.
func bears(s size, alone bool, perSecond float64) bool {
	f := loaded(s, alone, perSecond)
	lost := float64(f.refused + f.unsettled + f.kept)
	calls := perSecond * measured.Seconds()
	return lost <= lostShare*calls && float64(f.ran) >= (1-lostShare)*calls-edge
}

// most finds the highest rate that the fleet bears, to a twentieth.
func most(s size, alone bool) float64 {
	low, high := 0.25, 0.5
	for bears(s, alone, high) {
		low, high = high, 2*high
	}
	for high-low > low/20 {
		middle := (low + high) / 2
		if bears(s, alone, middle) {
			low = middle
			continue
		}
		high = middle
	}
	return low
}

func report(t *testing.T, s size, alone bool, perSecond float64) *fleet {
	t.Helper()
	f := loaded(s, alone, perSecond)
	t.Logf("%3d nodes, alone %-5t: %7.2f calls/s: %.2f transactions and %.2f rows a call, %d refused, %d unsettled, claim p50 %v p99 %v, busiest second %d",
		s.nodes, alone, perSecond, float64(len(f.sent))/float64(max(f.ran, 1)), float64(f.rows)/float64(max(f.ran, 1)),
		f.refused, f.unsettled, quantile(f.claimWaits, 0.5), quantile(f.claimWaits, 0.99), f.busiest(time.Second))
	return f
}

// TestFleetBearsTheCallsNeeded asks for the keyed calls of the size to design
// for, within the rate, and logs the figures of docs/design/store-writes.md.
func TestFleetBearsTheCallsNeeded(t *testing.T) {
	is := is.New(t)
	for _, s := range sizes {
		f := report(t, s, false, neededCalls)
		is.True(float64(f.refused+f.unsettled) <= lostShare*neededCalls*measured.Seconds())
		is.True(f.busiest(time.Second) <= WritesPerSecond)
	}
}

// TestDataCentreDeparts gives all calls to the other data centres when one is
// gone. Its part of the rate is not used by others.
func TestDataCentreDeparts(t *testing.T) {
	is := is.New(t)
	for _, s := range sizes {
		f := newFleet(s.nodes, s.centres, false)
		f.run(warmUp, neededCalls)
		f.live = slices.DeleteFunc(slices.Clone(f.nodes), func(n *simNode) bool { return n.centre == 0 })
		f.sent, f.ran, f.refused, f.unsettled = nil, 0, 0, 0
		f.run(measured, neededCalls)
		t.Logf("%d nodes, one data centre gone: %d calls ran, %d refused, %d unsettled, busiest second %d",
			s.nodes, f.ran, f.refused, f.unsettled, f.busiest(time.Second))
		is.True(float64(f.refused+f.unsettled) <= lostShare*neededCalls*measured.Seconds())
	}
}

// TestMostCalls logs the most keyed calls that a fleet bears, before and after
// grouping, for docs/CAPACITY.md. It takes half a minute.
func TestMostCalls(t *testing.T) {
	if os.Getenv("WIGEONTILLER_FULL") == "" {
		t.Skip("only with WIGEONTILLER_FULL")
	}
	for _, s := range sizes {
		for _, alone := range []bool{true, false} {
			report(t, s, alone, 5)
			report(t, s, alone, neededCalls)
			report(t, s, alone, most(s, alone))
		}
	}
}

// TestViewsApartKeepTheRate lets nodes disagree on the writer, lose lent tokens
// and ask for more than the fleet bears. All together keep to the rate, whoever
// is believed to be the writer.
func TestViewsApartKeepTheRate(t *testing.T) {
	for _, s := range sizes {
		for seed := range uint64(2) {
			is := is.New(t)
			f := newFleet(s.nodes, s.centres, false)
			f.random = rand.New(rand.NewPCG(seed, 2))
			f.lendLoss = 0.1
			f.writer = func(n *simNode) *simNode {
				// Each half of a data centre has a writer of its own, and now and then
				// a node believes in a third one.
				turn := int(f.now.Sub(start)/time.Second) + n.name
				if turn%7 == 0 {
					return f.nodes[(n.name+s.centres)%s.nodes]
				}
				return f.nodes[n.centre+s.centres*(n.name/s.centres%2)]
			}
			f.run(10*time.Second, 600)
			burst := float64(s.nodes)*f.nodes[0].bucket.ownMost + 2*float64(s.centres)*f.nodes[0].bucket.most
			for _, period := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
				is.True(float64(f.busiest(period)) <= WritesPerSecond*rateShare*period.Seconds()+burst)
			}
			t.Logf("%d nodes: busiest second %d, 10 s %d", s.nodes, f.busiest(time.Second), f.busiest(10*time.Second))
		}
	}
}

// TestStoreBack measures what a fleet sends when the table answers again after
// an hour; 20 s of it fill every queue and bucket.
func TestStoreBack(t *testing.T) {
	is := is.New(t)
	for _, s := range sizes {
		f := newFleet(s.nodes, s.centres, false)
		f.run(warmUp, neededCalls)
		f.down = true
		f.run(20*time.Second, neededCalls)
		f.down, f.sent = false, nil
		f.ran, f.refused = 0, 0
		f.run(10*time.Second, neededCalls)
		first := f.sent[0]
		inFirst := 0
		for _, at := range f.sent {
			if at.Sub(first) < time.Second {
				inFirst++
			}
		}
		t.Logf("%d nodes: %d transactions in the first second, busiest %d; in 10 s %d calls ran, %d were refused",
			s.nodes, inFirst, f.busiest(time.Second), f.ran, f.refused)
		is.True(f.busiest(time.Second) <= WritesPerSecond)
	}
}

// TestBurstAtOneNode sends 200 keyed calls at once to one node of 320.
func TestBurstAtOneNode(t *testing.T) {
	is := is.New(t)
	refused := map[bool]int{}
	for _, alone := range []bool{true, false} {
		f := newFleet(320, 7, alone)
		f.run(warmUp, 0)
		for range 200 {
			f.call(f.nodes[100])
		}
		f.run(10*time.Second, 0)
		t.Logf("alone %t: 200 calls at one node: %d refused, %d unsettled, claim p50 %v, longest %v, %d transactions", alone,
			f.refused, f.unsettled, quantile(f.claimWaits, 0.5), quantile(f.claimWaits, 1), len(f.sent))
		refused[alone] = f.refused + f.unsettled
	}
	is.True(refused[true] > 100) // each node by itself
	is.Equal(refused[false], 0)
}

// TestPollsOfHeldClaims lets repeats at one node of 320 poll a held claim for
// five seconds, as package claim does. Alone, a node's part of 1,000 reads a
// second refused the second read of a single repeat (a trial).
func TestPollsOfHeldClaims(t *testing.T) {
	const longest = 5 * time.Second
	for _, repeats := range []int{1, 20, 200} {
		is := is.New(t)
		f := newFleet(320, 7, false)
		for _, n := range f.nodes {
			n.bucket = NewBucket(start, ReadsPerSecond)
		}
		f.run(warmUp, 0)
		end := f.now.Add(longest)
		reads, refused := 0, 0
		var poll func(delay time.Duration)
		poll = func(delay time.Duration) {
			f.write(f.nodes[100], Claim, func(ok bool) {
				reads++
				if !ok {
					refused++
					return
				}
				if f.now.Before(end) {
					f.after(int(delay/step), func() { poll(min(2*delay, time.Second)) })
				}
			})
		}
		for range repeats {
			poll(50 * time.Millisecond)
		}
		f.run(longest+time.Second, 0)
		t.Logf("%d repeats at one node of 320: %d reads in %d calls, %d refused, busiest second %d",
			repeats, reads, len(f.sent), refused, f.busiest(time.Second))
		is.Equal(refused, 0)
		is.True(f.busiest(time.Second) <= ReadsPerSecond)
	}
}

// TestTokensAreAtOneNode lets nodes spend what they have and hand it on to any
// other at any time: no more is spent than arises.
func TestTokensAreAtOneNode(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 3))
	const nodes, period = 9, 60 * time.Second
	buckets := make([]Bucket, nodes)
	for i := range buckets {
		buckets[i] = NewBucket(start, WritesPerSecond)
		buckets[i].SetFleet(start, nodes, 3)
	}
	spent := 0
	for now := start; now.Before(start.Add(period)); now = now.Add(time.Millisecond) {
		from, to := &buckets[random.IntN(nodes)], &buckets[random.IntN(nodes)]
		if random.IntN(2) == 0 {
			to.Receive(now, from.Lend(now))
		}
		if to.Wait(now, true) == 0 {
			to.Take()
			spent++
		}
	}
	most := WritesPerSecond * rateShare * period.Seconds()
	t.Logf("%d of %.0f spent", spent, most)
	is.True(float64(spent) <= most)
	is.True(float64(spent) >= 0.9*most) // few are lost by the bounds
}
