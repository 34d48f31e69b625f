package connguard

import (
	"net/netip"
	"slices"
	"time"
)

// phase is what a connection is doing, by what ending it costs: later ones are ended last, or never.
type phase int

const (
	// sending: a head or a body has come in part. It has not run, and is refused.
	sending phase = iota
	// receiving: an answer is being written, and waits for its caller to read.
	receiving
	// fresh: no byte has come yet.
	fresh
	// idle: a request was answered and none has come since. One may be on its way.
	idle
	// served: a whole request has been read. Such a connection is never ended.
	served
)

const (
	// minBytesPerSecond is the rate at which a caller owes bytes, or their reading, while room is short.
	minBytesPerSecond = 32 << 10
	// pressedLateness is how late a caller may be while room is short: longer than one lost packet takes.
	pressedLateness = time.Second
	// fullLateness is the same when a new connection needs the place: several round trips. The latest are ended first.
	fullLateness = 100 * time.Millisecond
	// crowdIdleTime is from when on idle connections of an address with most of the places are ended for another.
	crowdIdleTime = time.Second
)

// candidate is a connection as the choice sees it.
type candidate struct {
	phase   phase
	late    time.Duration
	address netip.Addr
}

// need is what a connection is to be ended for.
type need struct {
	// lateness is the least by which a caller must be late, idleTime the time after which no caller uses an idle
	// connection again.
	lateness, idleTime time.Duration
	// address is that of the new connection, and crowd the address that has over half of the places, if there is one.
	address, crowd netip.Addr
}

// ends reports whether a connection may be ended.
func (n need) ends(c candidate) bool {
	switch c.phase {
	case sending, fresh:
		return c.late >= n.lateness
	case receiving:
		return c.late >= pressedLateness
	case idle:
		crowds := n.crowd.IsValid() && c.address == n.crowd && n.address != n.crowd
		return c.late >= n.idleTime || (crowds && c.late >= crowdIdleTime)
	case served:
	}
	return false
}

// before reports whether a is to be ended before b: those of the crowd first, then by phase, then the latest.
func (n need) before(a, b candidate) bool {
	if crowdA, crowdB := a.address == n.crowd, b.address == n.crowd; crowdA != crowdB {
		return crowdA
	}
	if a.phase != b.phase {
		return a.phase < b.phase
	}
	return a.late > b.late
}

// choose returns the indexes of up to max connections to end. An address with over half of the places makes room at
// its own cost only.
func (n need) choose(list []candidate, max int) []int {
	var chosen []int
	for i, c := range list {
		if n.address.IsValid() && n.address == n.crowd && c.address != n.crowd {
			continue
		}
		if n.ends(c) {
			chosen = append(chosen, i)
		}
	}
	slices.SortFunc(chosen, func(a, b int) int {
		switch {
		case n.before(list[a], list[b]):
			return -1
		case n.before(list[b], list[a]):
			return 1
		}
		return 0
	})
	return chosen[:min(len(chosen), max)]
}

// wait returns how long it takes until the first of those that are sending or silent may be ended, or 0 if there is
// none.
func (n need) wait(list []candidate) time.Duration {
	wait := time.Duration(0)
	for _, c := range list {
		ownCost := !n.address.IsValid() || n.address != n.crowd || c.address == n.crowd
		if left := n.lateness - c.late; ownCost && left > 0 && (c.phase == sending || c.phase == fresh) && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return wait
}

// paidUntil returns the time up to which a caller has paid, after it sent or read n more bytes.
func paidUntil(paid, now time.Duration, n int) time.Duration {
	return min(now, paid+time.Duration(n)*time.Second/minBytesPerSecond)
}
