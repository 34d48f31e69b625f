package processes

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// memorySeconds is the variable that holds the seconds of each form. With it, each form is tried at each size, and the
// time to the first event is checked for each form; a second of a form on a busy machine tells too little, so that
// else it is checked over all forms.
const memorySeconds = "WIGEONTILLER_MEMORY_SECONDS"

const (
	// minServedShare and maxFirstEventFactor are the stated targets for ordinary callers beside those that don't
	// behave.
	minServedShare      = 0.95
	maxFirstEventFactor = 1.2
)

// places are where callers that don't behave come to.
func (n *memoryNode) places() map[string][2]string {
	return map[string][2]string{
		"door": {n.callers, "/folder/x"}, "no route": {n.callers, "/nowhere/x"}, "readiness": {n.ready, "/v1/readyz"},
		"nodes": {n.peers, "/folder/x"}, "metrics": {n.metrics, "/metrics"},
	}
}

// TestCallersThatDoNotBehave plays each form of the operators' list as real connections to nodes with 184, 284 and
// 536 MB. No process ends or exceeds its memory, unread bytes included, and ordinary callers beside are served.
func TestCallersThatDoNotBehave(t *testing.T) {
	seconds, each := time.Second, false
	if text := os.Getenv(memorySeconds); text != "" {
		parsed, err := time.ParseDuration(text + "s")
		if err != nil {
			t.Fatal(err)
		}
		seconds, each = parsed, true
	}
	f := newMemoryFleet(t, 184, 184, 284, 536)
	f.long = each
	control := f.nodes[0]
	for _, n := range f.nodes {
		single := (&ordinaryCaller{fleet: f, address: n.callers}).call("/folder/x", "", string(make([]byte, memoryBodyBytes)))
		if !single.served {
			t.Errorf("%d MB: a single body inside the limits: %+v", n.memoryMB, single)
		}
	}
	for i, n := range f.nodes[1:] {
		if i == 0 || each {
			for _, form := range attackForms {
				f.try(t, n, control, seconds, form.name, []string{"door"}, form.name)
			}
			for _, place := range []string{"no route", "readiness", "nodes", "metrics"} {
				f.try(t, n, control, seconds, "all at "+place, []string{place}, "")
			}
		}
		f.try(t, n, control, 2*seconds, "all, everywhere", []string{"door", "no route", "readiness", "nodes", "metrics"}, "")
	}
	beside, calm := median(f.firstsBeside), median(f.firstsInCalm)
	t.Logf("first events over all forms: after %v, at a node in calm %v", beside, calm)
	if beside > time.Duration(maxFirstEventFactor*float64(calm)) {
		t.Errorf("first events come after %v, at a node in calm after %v", beside, calm)
	}
}

// try plays a form, or all, at some places of a node, with ordinary callers beside. Others send the same to a node
// in calm, so that the load of the machine does not count.
func (f *memoryFleet) try(t *testing.T, n, control *memoryNode, length time.Duration, name string, places []string, only string) {
	t.Helper()
	n.peak.Store(0)
	n.unreadPeak.Store(0)
	n.samples.Store(0)
	var crowds []crowd
	for _, place := range places {
		for _, form := range attackForms {
			if only == "" || only == form.name {
				at := n.places()[place]
				divisor := len(places)
				if only == "" {
					divisor *= 4
				}
				crowds = append(crowds, crowd{Form: form.name, Address: at[0], Path: at[1], Divisor: divisor})
			}
		}
	}
	before, beforeCalm := n.processorTime(), control.processorTime()
	stop := startAttacks(t, crowds)
	// The crowd is there before the ordinary callers are counted.
	time.Sleep(300 * time.Millisecond)
	var load, calm *ordinaryLoad
	var group sync.WaitGroup
	group.Go(func() { load = f.runOrdinary(n, length) })
	group.Go(func() { calm = f.runOrdinary(control, length) })
	group.Wait()
	stop()
	t.Logf("%d MB, %s: peak %d MB with %d MB unread; %s, processor %v; at a node in calm: %s, processor %v",
		n.memoryMB, name, n.peak.Load()>>20, n.unreadPeak.Load()>>20, load, n.processorTime()-before, calm, control.processorTime()-beforeCalm)
	switch {
	case n.ended.Load():
		t.Fatalf("%d MB, %s: the process ended", n.memoryMB, name)
	case n.samples.Load() < minMemorySamples:
		t.Errorf("%d MB, %s: the memory was read %d times only", n.memoryMB, name, n.samples.Load())
	case n.peak.Load() > int64(n.memoryMB)<<20:
		t.Errorf("%d MB, %s: the process held %d MB", n.memoryMB, name, n.peak.Load()>>20)
	case load.share() < minServedShare*calm.share():
		t.Errorf("%d MB, %s: served %.3f, in calm %.3f", n.memoryMB, name, load.share(), calm.share())
	case f.long && load.median() > time.Duration(maxFirstEventFactor*float64(calm.median())):
		t.Errorf("%d MB, %s: first event after %v, in calm %v", n.memoryMB, name, load.median(), calm.median())
	case load.cut > 0:
		t.Errorf("%d MB, %s: %d kept connections of ordinary callers were closed without an answer", n.memoryMB, name, load.cut)
	}
	f.firstsBeside = append(f.firstsBeside, load.firsts...)
	f.firstsInCalm = append(f.firstsInCalm, calm.firsts...)
	eventually(t, "the bytes are given back", func() bool {
		return f.runOrdinary(n, time.Millisecond).share() == 1
	})
}

// String sums the load up.
func (l *ordinaryLoad) String() string {
	return fmt.Sprintf("served %d of %d (%v), first event %v, cut %d", l.served, l.sent, l.statuses, l.median().Round(time.Millisecond), l.cut)
}

// median is that of the time to the first event of streams.
func (l *ordinaryLoad) median() time.Duration { return median(l.firsts) }

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(list))[len(list)/2]
}
