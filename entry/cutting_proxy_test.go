package entry

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/wigeontiller/wigeontiller/upstream"
)

// cuttingProxy forwards connections and cuts the first ones after a number of response
// bytes. The mutex guards recordedBytes and accepted.
type cuttingProxy struct {
	target        string
	cutAfterBytes []int
	// resetWhen, if set, makes the cut a TCP reset once it is closed. A reset may discard
	// what the node has not read yet, so it waits until the caller's response has begun: a
	// stream that breaks before its first event is not resumed but retried.
	resetWhen     chan struct{}
	mutex         sync.Mutex
	accepted      int
	recordedBytes []byte
}

func (p *cuttingProxy) start(t *testing.T, to string) string {
	t.Helper()
	p.target = to
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func (p *cuttingProxy) forward(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	engine, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = engine.Close() }()
	go func() { _, _ = io.Copy(engine, client) }()
	p.mutex.Lock()
	number := p.accepted
	p.accepted++
	p.mutex.Unlock()
	if number >= len(p.cutAfterBytes) {
		_, _ = io.Copy(io.MultiWriter(p, client), engine)
		return
	}
	if number == 0 {
		forwardFirstCut(client, engine, p.cutAfterBytes[number])
	} else {
		_, _ = io.CopyN(client, engine, int64(p.cutAfterBytes[number]))
	}
	if p.resetWhen != nil {
		<-p.resetWhen
		_ = client.SetLinger(0)
	}
}

// forwardFirstCut forwards count bytes, but at least the first event and not the end
// marker. The number of bytes of a response depends on how its writes are split into
// chunks, so that an offset of one response may be past the end of another, or before
// its first event.
func forwardFirstCut(client io.Writer, engine io.Reader, count int) {
	pastFirstEvent := false
	var all []byte
	buffer := make([]byte, 4<<10)
	for passed := 0; passed < count; {
		n, err := engine.Read(buffer)
		all = append(all, buffer[:n]...)
		if end := firstEventEnd(string(all)); !pastFirstEvent && end > 0 {
			count, pastFirstEvent = max(count, end), true
		} else if !pastFirstEvent {
			count = max(count, len(all)+1)
		}
		end := min(count, len(all)-partialMarkerBytes(all))
		if marker := bytes.Index(all, upstream.EndMarker); marker >= 0 && marker < count {
			end, count = marker, marker
		}
		if end > passed {
			if _, err := client.Write(all[passed:end]); err != nil {
				return
			}
			passed = end
		}
		if err != nil {
			return
		}
	}
}

// firstEventEnd returns the offset of the end of the first event that has data, or 0 if it isn't there yet. Comments
// may come before it, and its lines may end in CRLF.
func firstEventEnd(raw string) int {
	begin := strings.Index(raw, "\ndata: ")
	if begin < 0 {
		return 0
	}
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		if at := strings.Index(raw[begin:], end); at >= 0 {
			return begin + at + len(end)
		}
	}
	return 0
}

// partialMarkerBytes is the number of bytes at the end of data that may begin the end marker.
func partialMarkerBytes(data []byte) int {
	for n := min(len(data), len(upstream.EndMarker)-1); n > 0; n-- {
		if bytes.HasPrefix(upstream.EndMarker, data[len(data)-n:]) {
			return n
		}
	}
	return 0
}

// Write records uncut response bytes before they are forwarded.
func (p *cuttingProxy) Write(data []byte) (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.recordedBytes = append(p.recordedBytes, data...)
	return len(data), nil
}

func (p *cuttingProxy) recorded() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return string(p.recordedBytes)
}

func (p *cuttingProxy) connections() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.accepted
}
