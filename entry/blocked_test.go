package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

// TestCallThatCrashesUpstreamsIsNotSentAgain guards against a call that comes again and is sent to one
// upstream after the other, although each ends under it.
func TestCallThatCrashesUpstreamsIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	// Two upstreams end in a calm service.
	const upstreams, calls, maxCrashes = 6, 20, 2
	var addresses []string
	var engines []*fleetengine.Engine
	for i := range upstreams {
		e := fleetengine.New(fmt.Sprint("app-", i))
		e.DownTime = 100 * time.Millisecond
		e.Set(fleetengine.Knobs{CrashTarget: "/crash"})
		server, err := fleetengine.Serve(e)
		is.NoErr(err)
		t.Cleanup(server.Close)
		engines, addresses = append(engines, e), append(addresses, server.Address())
	}
	server := newTestServer(t, memory.New(), addresses...)
	crashes := func() (total int) {
		for _, e := range engines {
			total += len(e.RequestCrashes())
		}
		return total
	}
	for i := range calls {
		got := handleRequest(server, "GET", "/services/bookings/crash", "", nil)
		is.True(got.StatusCode() >= fasthttp.StatusBadGateway)
		is.Equal(handleRequest(server, "GET", fmt.Sprint("/services/bookings/sound", i), "", nil).StatusCode(), fasthttp.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	got := handleRequest(server, "GET", "/services/bookings/crash", "", nil)
	is.Equal(got.StatusCode(), fasthttp.StatusServiceUnavailable)
	is.True(len(got.Header.Peek("Retry-After")) > 0)
	if n := crashes(); n > maxCrashes {
		t.Errorf("%d upstreams crashed, at most %d expected", n, maxCrashes)
	}
}
