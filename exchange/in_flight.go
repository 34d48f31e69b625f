package exchange

import "sync"

const (
	// maxUpstreamBytes bounds the large bodies that all nodes together have in flight to one upstream, which ends if
	// the requests that it holds exceed its memory.
	maxUpstreamBytes = 64 << 20
	// minNodeBytes is the least part of a node: a large body, so that it can be sent in any fleet.
	minNodeBytes = 4 << 20
	// minCountedBytes is the size from which a body counts.
	minCountedBytes = 64 << 10
	// maxCrowdedUpstreams is how many upstreams without room for a body are tried before its request is refused.
	maxCrowdedUpstreams = 3
)

// ReasonUpstreamMemory means that upstreams hold as many bytes of requests as they may.
const ReasonUpstreamMemory = "upstream_memory"

// inFlightBytes counts the bytes of large bodies in flight to each upstream. The zero value is ready to use; it is safe
// for concurrent use.
type inFlightBytes struct {
	mutex sync.Mutex
	nodes int64
	// byUpstream holds the upstreams that have any.
	byUpstream map[string]int64
}

func (f *inFlightBytes) setNodes(nodes int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes = int64(nodes)
}

// begin counts a body that is to be sent to an upstream. It returns false if the upstream has no room for it. A body
// alone always has. The caller calls end, if it is not nil, after the attempt.
func (f *inFlightBytes) begin(upstream string, bytes int64) (end func(), ok bool) {
	if bytes < minCountedBytes {
		return func() {}, true
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	sent := f.byUpstream[upstream]
	if sent > 0 && sent+bytes > max(minNodeBytes, maxUpstreamBytes/max(1, f.nodes)) {
		return nil, false
	}
	if f.byUpstream == nil {
		f.byUpstream = map[string]int64{}
	}
	f.byUpstream[upstream] += bytes
	return func() { f.end(upstream, bytes) }, true
}

func (f *inFlightBytes) end(upstream string, bytes int64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.byUpstream[upstream] -= bytes; f.byUpstream[upstream] <= 0 {
		delete(f.byUpstream, upstream)
	}
}

// SetNodeCount sets the number of nodes that send to the same upstreams.
func (e *Exchange) SetNodeCount(nodes int) { e.inFlight.setNodes(nodes) }
