package upstream

import (
	"errors"
	"io"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/upstream/responsehead"
)

var (
	errClosed = eris.New("upstream client is closed")
	// errNotReusable makes the HTTP library close a connection. A write that returns it has sent nothing.
	errNotReusable = eris.New("connection can't be used again")
)

// trackedConn is a connection that removes itself from the client's set on Close.
type trackedConn struct {
	net.Conn
	client *Client
	// answered is true once bytes of a response to the last request arrived.
	answered atomic.Bool
	// reusable is true between a response that allows another request and that request.
	reusable atomic.Bool
	// reused is true from the second request on.
	reused atomic.Bool
	// ended is true once the upstream ended the connection.
	ended atomic.Bool
	// head checks the responses' heads. The HTTP library reads after it has written.
	head responsehead.Checker
}

// Read reads from the connection. Errors besides those of the connection: responsehead.ErrInvalid.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.answered.Store(true)
		if invalid := c.head.Check(p[:n]); invalid != nil {
			return 0, invalid
		}
	}
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

// Write writes to the connection. The HTTP library reuses the connection of a response
// without a body before its header can be checked; such a request is not written.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.answered.Load() {
		if !c.reusable.Swap(false) {
			return 0, errNotReusable
		}
		c.reused.Store(true)
		c.answered.Store(false)
		c.head.Begin()
	}
	return c.Conn.Write(p)
}

// connAddr gives access to the connection of a response: the HTTP library tells no more of it
// than its addresses.
type connAddr struct {
	net.Addr
	conn *trackedConn
}

// LocalAddr returns the local address and the connection itself.
func (c *trackedConn) LocalAddr() net.Addr {
	return connAddr{c.Conn.LocalAddr(), c}
}

func connOf(response *fasthttp.Response) *trackedConn {
	return response.LocalAddr().(connAddr).conn
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.client.open.Remove(c)
	return c.Conn.Close()
}

// dial opens a connection that Client.Close can close.
func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, client: c}
	if !c.open.Add(tracked) {
		return nil, errors.Join(ErrNotSent, errClosed)
	}
	return tracked, nil
}

// Close closes all connections immediately. Attempts in flight are interrupted, and
// later ones are not sent.
func (c *Client) Close() {
	c.open.Close()
}
