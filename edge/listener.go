package edge

import (
	"errors"
	"net"
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
	return &activityConn{Conn: conn, listener: l}, nil
}

type activityConn struct {
	net.Conn
	listener *activityListener
}

// Read reads from the connection and records the time.
func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
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
