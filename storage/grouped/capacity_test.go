package grouped

import (
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

type fleetSize struct{ nodes, dataCentres int }

var fleetSizes = []fleetSize{{9, 3}, {320, 7}}

const (
	warmUp   = 5 * time.Second
	measured = 20 * time.Second
	// maxFailedShare is the part of calls that may be rejected or stay unrecorded at
	// the limit.
	maxFailedShare = 0.01
	// inFlightAllowance allows for calls in flight at either end of the measurement.
	inFlightAllowance = 3
	// requiredCallsPerSecond is 3 % of the peak rate of the largest fleet.
	requiredCallsPerSecond = 102
)

func runUnderLoad(s fleetSize, ungrouped bool, perSecond float64) *fleet {
	f := newFleet(s.nodes, s.dataCentres, ungrouped)
	f.run(warmUp, perSecond)
	f.sentAt, f.rows, f.ran, f.refused, f.unrecorded, f.failedRemovals, f.claimWaits, f.lends = nil, 0, 0, 0, 0, 0, nil, 0
	f.run(measured, perSecond)
	return f
}

// sustains reports whether the fleet sustains a rate of keyed calls per second.
func sustains(s fleetSize, ungrouped bool, perSecond float64) bool {
	f := runUnderLoad(s, ungrouped, perSecond)
	lost := float64(f.refused + f.unrecorded + f.failedRemovals)
	calls := perSecond * measured.Seconds()
	return lost <= maxFailedShare*calls && float64(f.ran) >= (1-maxFailedShare)*calls-inFlightAllowance
}

// maxSustainedRate finds the highest rate that the fleet sustains, to 5 %.
func maxSustainedRate(s fleetSize, ungrouped bool) float64 {
	low, high := 0.25, 0.5
	for sustains(s, ungrouped, high) {
		low, high = high, 2*high
	}
	for high-low > low/20 {
		middle := (low + high) / 2
		if sustains(s, ungrouped, middle) {
			low = middle
			continue
		}
		high = middle
	}
	return low
}

func report(t *testing.T, s fleetSize, ungrouped bool, perSecond float64) *fleet {
	t.Helper()
	f := runUnderLoad(s, ungrouped, perSecond)
	t.Logf("%3d nodes, ungrouped %-5t: %7.2f calls/s: %.2f transactions and %.2f rows per call, %d refused, %d unrecorded, claim p50 %v p99 %v, busiest second %d",
		s.nodes, ungrouped, perSecond, float64(len(f.sentAt))/float64(max(f.ran, 1)), float64(f.rows)/float64(max(f.ran, 1)),
		f.refused, f.unrecorded, quantile(f.claimWaits, 0.5), quantile(f.claimWaits, 0.99), f.maxSentWithin(time.Second))
	return f
}

// TestFleetSustainsRequiredCallRate checks that the fleet sustains the keyed calls
// required of the largest fleet, within the rate. It logs the figures of
// docs/design/store-writes.md.
func TestFleetSustainsRequiredCallRate(t *testing.T) {
	is := is.New(t)
	for _, s := range fleetSizes {
		f := report(t, s, false, requiredCallsPerSecond)
		is.True(float64(f.refused+f.unrecorded) <= maxFailedShare*requiredCallsPerSecond*measured.Seconds())
		is.True(f.maxSentWithin(time.Second) <= WritesPerSecond)
	}
}

// TestRequiredCallRateHoldsWhenDataCentreDeparts sends all calls to the other data
// centres after one has departed. They don't use its share of the rate.
func TestRequiredCallRateHoldsWhenDataCentreDeparts(t *testing.T) {
	is := is.New(t)
	for _, s := range fleetSizes {
		f := newFleet(s.nodes, s.dataCentres, false)
		f.run(warmUp, requiredCallsPerSecond)
		f.live = slices.DeleteFunc(slices.Clone(f.nodes), func(n *simNode) bool { return n.dataCentre == 0 })
		f.sentAt, f.ran, f.refused, f.unrecorded = nil, 0, 0, 0
		f.run(measured, requiredCallsPerSecond)
		t.Logf("%d nodes, one data centre gone: %d calls ran, %d refused, %d unrecorded, busiest second %d",
			s.nodes, f.ran, f.refused, f.unrecorded, f.maxSentWithin(time.Second))
		is.True(float64(f.refused+f.unrecorded) <= maxFailedShare*requiredCallsPerSecond*measured.Seconds())
	}
}

// TestMostCallsSustained logs the highest rate of keyed calls that a fleet sustains,
// without and with grouping, for docs/CAPACITY.md. It takes half a minute.
func TestMostCallsSustained(t *testing.T) {
	if os.Getenv("WIGEONTILLER_FULL") == "" {
		t.Skip("only with WIGEONTILLER_FULL")
	}
	for _, s := range fleetSizes {
		for _, ungrouped := range []bool{true, false} {
			report(t, s, ungrouped, 5)
			report(t, s, ungrouped, requiredCallsPerSecond)
			report(t, s, ungrouped, maxSustainedRate(s, ungrouped))
		}
	}
}

// TestRateHoldsWhenNodesDisagreeOnWriter lets nodes disagree on the writer, lose lent
// tokens and receive more calls than the fleet sustains. The fleet must stay within
// the rate whichever node is taken for the writer.
func TestRateHoldsWhenNodesDisagreeOnWriter(t *testing.T) {
	for _, s := range fleetSizes {
		for seed := range uint64(2) {
			is := is.New(t)
			f := newFleet(s.nodes, s.dataCentres, false)
			f.random = rand.New(rand.NewPCG(seed, 2))
			f.lendLoss = 0.1
			f.writer = func(n *simNode) *simNode {
				// Each half of a data centre has its own writer, and at times a node takes
				// a third node for the writer.
				turn := int(f.now.Sub(start)/time.Second) + n.name
				if turn%7 == 0 {
					return f.nodes[(n.name+s.dataCentres)%s.nodes]
				}
				return f.nodes[n.dataCentre+s.dataCentres*(n.name/s.dataCentres%2)]
			}
			f.run(10*time.Second, 600)
			burst := float64(s.nodes)*f.nodes[0].bucket.maxLocalTokens + 2*float64(s.dataCentres)*f.nodes[0].bucket.maxTokens
			for _, period := range []time.Duration{time.Second, 5 * time.Second, 10 * time.Second} {
				is.True(float64(f.maxSentWithin(period)) <= WritesPerSecond*rateShare*period.Seconds()+burst)
			}
			t.Logf("%d nodes: busiest second %d, 10 s %d", s.nodes, f.maxSentWithin(time.Second), f.maxSentWithin(10*time.Second))
		}
	}
}

// TestStoreBackAfterOutageStaysWithinRate checks the rate at which a fleet sends when the
// table is back after a long outage. The simulated outage of 20 s fills every queue
// and bucket, as one of an hour would.
func TestStoreBackAfterOutageStaysWithinRate(t *testing.T) {
	is := is.New(t)
	for _, s := range fleetSizes {
		f := newFleet(s.nodes, s.dataCentres, false)
		f.run(warmUp, requiredCallsPerSecond)
		f.tableDown = true
		f.run(20*time.Second, requiredCallsPerSecond)
		f.tableDown, f.sentAt = false, nil
		f.ran, f.refused = 0, 0
		f.run(10*time.Second, requiredCallsPerSecond)
		first := f.sentAt[0]
		inFirst := 0
		for _, at := range f.sentAt {
			if at.Sub(first) < time.Second {
				inFirst++
			}
		}
		t.Logf("%d nodes: %d transactions in the first second, busiest %d; in 10 s %d calls ran, %d were refused",
			s.nodes, inFirst, f.maxSentWithin(time.Second), f.ran, f.refused)
		is.True(f.maxSentWithin(time.Second) <= WritesPerSecond)
	}
}

// TestBurstAtOneNodeIsNotRefused sends 200 keyed calls at once to one node of 320:
// grouping must accept all, while a node without it refuses most.
func TestBurstAtOneNodeIsNotRefused(t *testing.T) {
	is := is.New(t)
	refused := map[bool]int{}
	for _, ungrouped := range []bool{true, false} {
		f := newFleet(320, 7, ungrouped)
		f.run(warmUp, 0)
		for range 200 {
			f.call(f.nodes[100])
		}
		f.run(10*time.Second, 0)
		t.Logf("ungrouped %t: 200 calls at one node: %d refused, %d unrecorded, claim p50 %v, longest %v, %d transactions", ungrouped,
			f.refused, f.unrecorded, quantile(f.claimWaits, 0.5), quantile(f.claimWaits, 1), len(f.sentAt))
		refused[ungrouped] = f.refused + f.unrecorded
	}
	is.True(refused[true] > 100) // without grouping
	is.Equal(refused[false], 0)
}

// TestPollsOfHeldClaimsAreNotRefused lets repeated calls at one node of 320 poll a
// held claim for five seconds, as package claim does. Without grouping, a node's
// share of 1,000 reads per second rejected the second read of a single repeat.
func TestPollsOfHeldClaimsAreNotRefused(t *testing.T) {
	const pollPeriod = 5 * time.Second
	for _, repeats := range []int{1, 20, 200} {
		is := is.New(t)
		f := newFleet(320, 7, false)
		for _, n := range f.nodes {
			n.bucket = NewBucket(start, ReadsPerSecond)
		}
		f.run(warmUp, 0)
		end := f.now.Add(pollPeriod)
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
		f.run(pollPeriod+time.Second, 0)
		t.Logf("%d repeats at one node of 320: %d reads in %d table calls, %d refused, busiest second %d",
			repeats, reads, len(f.sentAt), refused, f.maxSentWithin(time.Second))
		is.Equal(refused, 0)
		is.True(f.maxSentWithin(time.Second) <= ReadsPerSecond)
	}
}

// TestLentTokensAreSpentOnce lets nodes spend their tokens and lend them to any other
// node at any time: no more are spent than the rate adds.
func TestLentTokensAreSpentOnce(t *testing.T) {
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
	t.Logf("%d of %.0f tokens spent", spent, most)
	is.True(float64(spent) <= most)
	is.True(float64(spent) >= 0.9*most) // the buckets' bounds drop few
}
