package exchange

import (
	"testing"

	"github.com/matryer/is"
)

// TestBytesInFlightToOneUpstreamAreBounded names the load: bodies of 4 MiB from 1, 8 and 84 nodes to one upstream.
func TestBytesInFlightToOneUpstreamAreBounded(t *testing.T) {
	is := is.New(t)
	for nodes, want := range map[int]int{1: 16, 8: 2, 84: 1} {
		var f inFlightBytes
		f.setNodes(nodes)
		var ends []func()
		for {
			end, ok := f.begin("u", 4<<20)
			if !ok {
				break
			}
			ends = append(ends, end)
		}
		is.Equal(len(ends), want) // nodes
		_, ok := f.begin("other", 4<<20)
		is.True(ok)
		_, ok = f.begin("u", 1000)
		is.True(ok) // a usual body does not count
		ends[0]()
		end, ok := f.begin("u", 4<<20)
		is.True(ok)
		ends[0] = end
		for _, end := range ends {
			end()
		}
		is.Equal(len(f.byUpstream), 1)
	}
	var f inFlightBytes
	end, ok := f.begin("u", 100<<20)
	is.True(ok) // one alone is always sent
	end()
}

func TestBodyWithoutRoomAtAnyUpstreamIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.exchange.SetNodeCount(84)
	for _, upstream := range f.exchange.config.Follower.Current().Upstreams {
		_, ok := f.exchange.inFlight.begin(upstream.ID, 4<<20)
		is.True(ok)
	}
	request := f.request("unsafe")
	request.BodyBytes = 4 << 20
	got := f.serve(t, request)
	is.Equal(got.failure.Code, Overloaded)
	is.Equal(got.failure.Reason, ReasonUpstreamMemory)
	is.True(got.failure.RetryAfter > 0)
	is.Equal(len(f.sender.attempts), 0)
	request = f.request("unsafe")
	request.BodyBytes = 900
	is.True(f.serve(t, request).failure == nil)
}
