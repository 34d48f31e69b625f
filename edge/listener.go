package edge

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// activityListener records when callers last sent data, so that a node that shuts down
// does not close a connection on which a request is arriving.
type activityListener struct {
	net.Listener
	started time.Time
	// lastReadAt is the time of the last read, in ns since started.
	lastReadAt atomic.Int64
	// mutex guards conns, the open connections. It is a leaf.
	mutex sync.Mutex
	conns map[*activityConn]struct{}
}

// idleTime returns the time since a caller last sent data.
func (l *activityListener) idleTime() time.Duration {
	return time.Since(l.started) - time.Duration(l.lastReadAt.Load())
}

// Accept returns a connection whose reads are recorded.
func (l *activityListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &activityConn{Conn: conn, listener: l}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// trackState has the signature of http.Server.ConnState.
func (l *activityListener) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*activityConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		// Also if it was read together with the request before it.
		c.phase.Store(phaseServed)
	case http.StateIdle:
		c.phase.Store(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		l.mutex.Lock()
		delete(l.conns, c)
		l.mutex.Unlock()
	case http.StateNew:
	}
}

// expireIdle ends the wait for a request on each connection of which nothing of the next one was read: the server then
// closes it. It returns the number of connections on which a request is arriving.
func (l *activityListener) expireIdle() (arriving int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		switch c.phase.Load() {
		case phaseIdle:
			// An error means that the connection is closed already.
			_ = c.SetReadDeadline(time.Unix(1, 0))
			if c.phase.Load() != phaseIdle {
				// A request came first.
				_ = c.SetReadDeadline(time.Now().Add(headerTimeout))
				arriving++
			}
		case phaseArriving:
			arriving++
		}
	}
	return arriving
}

// The phases of a caller's connection.
const (
	// phaseIdle means that nothing of the next request was read.
	phaseIdle int32 = iota
	// phaseArriving means that some of its header was read. http.Server counts the connection as idle until it has
	// read all.
	phaseArriving
	// phaseServed means that the handler has the request.
	phaseServed
)

type activityConn struct {
	net.Conn
	listener *activityListener
	phase    atomic.Int32
}

// Read reads from the connection and records the time.
func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.phase.CompareAndSwap(phaseIdle, phaseArriving)
		c.listener.lastReadAt.Store(int64(time.Since(c.listener.started)))
	}
	return n, err
}

// NetConn returns the connection below.
func (c *activityConn) NetConn() net.Conn { return c.Conn }

// CloseWrite is that of net.TCPConn.
func (c *activityConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger is that of net.TCPConn.
func (c *activityConn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
