package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStreamThatCallerDoesNotReadIsGivenUp guards against an upstream that is held up by a caller: it cuts off a
// response that stays unread.
func TestStreamThatCallerDoesNotReadIsGivenUp(t *testing.T) {
	is := is.New(t)
	const timeout, limit = 20 * time.Second, 8 * time.Second
	ended := make(chan time.Duration, 4)
	f := newFixtureWithoutUpstreams(t)
	f.addRawUpstream("llm-1", func(c *rawCall) bool {
		started := time.Now()
		_, err := io.WriteString(c.conn, rawHead(200, c.id)+chunkedHead)
		for i := 1; err == nil; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", 64<<10))
			_, err = io.WriteString(c.conn, rawChunk(event))
		}
		ended <- time.Since(started)
		return false
	})
	f.version += 3
	f.store.Put("op", "config", map[string]any{
		"version": f.version,
		"routes": []any{map[string]any{
			"name": "chat", "host": "h.example", "prefix": "/chat/", "routeType": "streaming", "service": "llm", "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 300, "maxAttempts": 1, "gapTargetMs": 250,
		}},
		"services": []any{map[string]any{"name": "llm", "runtime": map[string]any{
			"slots": 16, "kvCapacityTokens": 232000, "stride": 43, "step_ms": 1.02, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048,
		}}},
		"limits": map[string]any{"maxBodyBytes": 1000, "idleTimeoutMs": 15000},
	})
	f.startNode("edge-0")
	conn, err := net.Dial("tcp4", strings.TrimPrefix(f.nodes[0].url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: deaf\r\nX-Deadline-Ms: %d\r\nX-Token-Usage: 1000,300\r\nContent-Length: 0\r\n\r\n", timeout.Milliseconds())
	is.NoErr(err)
	select {
	case took := <-ended:
		t.Logf("the upstream's connection ended after %v", took)
	case <-time.After(limit):
		t.Fatal("the upstream is still held up")
	}
	f.eventually("bytes are still held", func() bool { return f.nodes[0].budget.State().ByKind["answers"] == 0 })
}

// TestBodyAtPathWithoutRouteIsNotRead guards against callers that make a node read what it refuses.
func TestBodyAtPathWithoutRouteIsNotRead(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	node := f.nodes[0]
	for _, address := range []string{node.settings.CallerAddress, node.settings.ReadyAddress} {
		conn, err := net.Dial("tcp4", address)
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST /nowhere/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-a\r\nContent-Length: 200000\r\n\r\nabc")
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
		text, err := io.ReadAll(conn)
		is.NoErr(err) // the connection was closed, though the rest of the body did not come
		is.True(strings.HasPrefix(string(text), fmt.Sprintf("HTTP/1.1 %d", http.StatusNotFound)))
		is.NoErr(conn.Close())
	}
	f.eventually("bytes are still held", func() bool {
		state := node.budget.State()
		return state.ByKind["bodies"] == 0 && state.ByKind["heads"] == 0 && state.Promised == 0
	})
}

func TestMemorySettingsAreChecked(t *testing.T) {
	is := is.New(t)
	for field, bad := range map[string]string{"memory_mb": "63", "max_descriptors": "100"} {
		_, err := ParseSettings([]byte(field + ": " + bad))
		is.True(strings.Contains(err.Error(), field+" must be at least") || strings.Contains(err.Error(), field))
		_, err = ParseSettings([]byte(field + ":"))
		is.True(!strings.Contains(err.Error(), field)) // what the platform does not fill in is as good as absent
	}
	small, large := &Settings{MemoryMB: 184, MaxDescriptors: 4100}, &Settings{MemoryMB: 536, MaxDescriptors: 8192}
	is.Equal((&Settings{}).maxCallerConnections(), small.maxCallerConnections())
	is.True(small.maxCallerConnections() >= 1000 && large.maxCallerConnections() > 3*small.maxCallerConnections())
	is.True((&Settings{MemoryMB: 8192}).maxCallerConnections() <= 1950) // bounded by the descriptors
}
