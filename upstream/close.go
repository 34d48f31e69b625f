package upstream

import (
	"errors"
	"net"

	"github.com/rotisserie/eris"
)

var errClosed = eris.New("upstream client is closed")

// trackedConn is a connection that removes itself from the client's set on Close.
type trackedConn struct {
	net.Conn
	client *Client
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
