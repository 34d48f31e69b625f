package edge

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// linkMode is the state of a node's way to the upstreams.
type linkMode int

const (
	linkUp linkMode = iota
	// linkRefused refuses new connections; those that are open live on.
	linkRefused
	// linkReset does so, and resets open ones when it begins.
	linkReset
	// linkSilent lets dials hang, and delivers nothing on open connections.
	linkSilent
)

// link dials connections that can be cut.
type link struct {
	mutex sync.Mutex
	mode  linkMode
	conns map[*linkConn]struct{}
}

type linkConn struct {
	*net.TCPConn
	link *link
	once sync.Once
	// closed is closed with the connection.
	closed chan struct{}
}

func (l *link) current() linkMode {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.mode
}

// set changes the state. Connections that were silent, or are to be reset, are closed.
func (l *link) set(mode linkMode) {
	l.mutex.Lock()
	var ended []*linkConn
	if mode == linkReset || l.mode == linkSilent {
		for conn := range l.conns {
			ended = append(ended, conn)
		}
	}
	l.mode = mode
	l.mutex.Unlock()
	for _, conn := range ended {
		_ = conn.Close()
	}
}

func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.current() {
	case linkUp:
	case linkRefused, linkReset:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case linkSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &linkConn{TCPConn: raw.(*net.TCPConn), link: l, closed: make(chan struct{})}
	l.mutex.Lock()
	l.conns[conn] = struct{}{}
	l.mutex.Unlock()
	return conn, nil
}

func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.link.current() == linkSilent {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *linkConn) Write(b []byte) (int, error) {
	if c.link.current() == linkSilent {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

func (c *linkConn) Close() error {
	c.once.Do(func() {
		c.link.mutex.Lock()
		delete(c.link.conns, c)
		c.link.mutex.Unlock()
		close(c.closed)
	})
	return c.TCPConn.Close()
}
