package edge

import (
	"net"
	"sync/atomic"
	"time"
)

// noting notes when a caller last sent something, so that a node that ends does
// not close a connection on which a request is arriving.
type noting struct {
	net.Listener
	started time.Time
	// readAt is the time since started.
	readAt atomic.Int64
}

// quietFor is how long no caller has sent anything.
func (l *noting) quietFor() time.Duration {
	return time.Since(l.started) - time.Duration(l.readAt.Load())
}

// Accept returns a connection whose reads are noted.
func (l *noting) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &notingConn{Conn: conn, listener: l}, nil
}

type notingConn struct {
	net.Conn
	listener *noting
}

// Read reads and notes the time.
func (c *notingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.readAt.Store(int64(time.Since(c.listener.started)))
	}
	return n, err
}
