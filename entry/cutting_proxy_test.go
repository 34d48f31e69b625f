package entry

import (
	"bytes"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/wigeontiller/wigeontiller/upstream"
)

// cuttingProxy passes connections on and cuts the first ones after a number of
// answered bytes. The mutex guards seen and accepted.
type cuttingProxy struct {
	target   string
	cutAfterBytes []int
	// resetWhen cuts by a TCP resetWhen when it is set. A resetWhen may discard what the
	// node has not read yet, so it waits until the caller's answer has begun: a
	// stream that breaks before its first event is not resumed but retried.
	resetWhen    chan struct{}
	mutex    sync.Mutex
	accepted int
	recordedBytes     []byte
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

func (p *cuttingProxy) forward(near *net.TCPConn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go func() { _, _ = io.Copy(far, near) }()
	p.mutex.Lock()
	number := p.accepted
	p.accepted++
	p.mutex.Unlock()
	if number >= len(p.cutAfterBytes) {
		_, _ = io.Copy(io.MultiWriter(p, near), far)
		return
	}
	if number == 0 {
		forwardFirstCut(near, far, p.cutAfterBytes[number])
	} else {
		_, _ = io.CopyN(near, far, int64(p.cutAfterBytes[number]))
	}
	if p.resetWhen != nil {
		<-p.resetWhen
		_ = near.SetLinger(0)
	}
}

// forwardFirstCut passes a number of bytes on, at least the first event and not the end
// marker: how many bytes an answer has depends on how its writes fell into chunks,
// so that an offset of one answer may be behind the end of another, or before its
// first event.
func forwardFirstCut(near io.Writer, far io.Reader, count int) {
	begun := false
	var all []byte
	buffer := make([]byte, 4<<10)
	for passed := 0; passed < count; {
		n, err := far.Read(buffer)
		all = append(all, buffer[:n]...)
		if ends := eventEnds(string(all)); !begun && len(ends) > 0 {
			count, begun = max(count, ends[0]), true
		} else if !begun {
			count = max(count, len(all)+1)
		}
		until := min(count, len(all)-partialMarkerBytes(all))
		if marker := bytes.Index(all, upstream.EndMarker); marker >= 0 && marker < count {
			until, count = marker, marker
		}
		if until > passed {
			if _, err := near.Write(all[passed:until]); err != nil {
				return
			}
			passed = until
		}
		if err != nil {
			return
		}
	}
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

// Write records what passes uncut, before it is passed on.
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
