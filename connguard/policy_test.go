package connguard

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	quiet = netip.MustParseAddr("10.0.0.1")
	loud  = netip.MustParseAddr("10.0.0.2")
)

func TestServedRequestsAreNeverEnded(t *testing.T) {
	is := is.New(t)
	n := need{lateness: fullLateness, idleTime: time.Minute, address: quiet, crowd: loud}
	is.Equal(len(n.choose([]candidate{{phase: served, late: time.Hour, address: loud}, {phase: idle, late: 50 * time.Second, address: quiet}}, 9)), 0)
}

// TestThoseHalfWayAreEndedFirst names the load: half-sent requests, callers that don't read, and idle connections.
func TestThoseHalfWayAreEndedFirst(t *testing.T) {
	is := is.New(t)
	n := need{lateness: fullLateness, idleTime: time.Minute, address: quiet}
	list := []candidate{
		{phase: idle, late: 2 * time.Minute}, {phase: receiving, late: 3 * time.Second}, {phase: sending, late: 50 * time.Millisecond},
		{phase: fresh, late: 5 * time.Second}, {phase: sending, late: 300 * time.Millisecond}, {phase: sending, late: 2 * time.Second},
	}
	is.Equal(n.choose(list, 9), []int{5, 4, 1, 3, 0}) // and not the one that has sent a moment ago
	is.Equal(n.choose(list, 2), []int{5, 4})
}

func TestCrowdMakesRoomAtItsOwnCost(t *testing.T) {
	is := is.New(t)
	list := []candidate{{phase: sending, late: time.Minute, address: quiet}, {phase: idle, late: 2 * time.Second, address: loud}}
	is.Equal(need{lateness: fullLateness, idleTime: time.Minute, address: quiet, crowd: loud}.choose(list, 1), []int{1})
	is.Equal(len(need{lateness: fullLateness, idleTime: time.Minute, address: loud, crowd: loud}.choose(list, 9)), 0)
	// Behind a balancer that forwards, all have one address: idle connections are kept.
	is.Equal(len(need{lateness: fullLateness, idleTime: time.Minute, address: loud, crowd: loud}.choose(list[1:], 9)), 0)
}

// TestDribblingIsLate guards against callers that send a byte now and then, so as to look alive.
func TestDribblingIsLate(t *testing.T) {
	is := is.New(t)
	var paid time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		paid = paidUntil(paid, now, 10)
	}
	is.True(10*time.Second-paid > pressedLateness)
	paid = 0
	now := time.Duration(0)
	for ; now < 10*time.Second; now += 100 * time.Millisecond {
		paid = paidUntil(paid, now, 2*minBytesPerSecond/10)
	}
	is.True(now-paid <= 100*time.Millisecond) // sent in time, up to the last piece
}

func TestHeadOfManyShortFieldsCostsMore(t *testing.T) {
	is := is.New(t)
	usual, short := headMeter{}, headMeter{}
	usual.add([]byte("POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Some-Header: value\r\n", 12) + "\r\n"))
	is.Equal(usual.cost(), int64(0))
	is.True(usual.ended)
	const fields = 2700
	short.add([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", fields)))
	is.True(short.cost() > fields*fieldBytes)
	is.True(!short.ended)
	before := usual
	usual.add([]byte("body\n\n\n\n"))
	is.Equal(usual, before)
}
