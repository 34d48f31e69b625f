package upstream

import (
	"errors"
	"net"

	"github.com/rotisserie/eris"
)

var errClosed = eris.New("the client is closed")

// keptConn is a connection that leaves the client's set when it is closed.
type keptConn struct {
	net.Conn
	client *Client
}

// Close closes the connection.
func (c *keptConn) Close() error {
	c.client.open.Remove(c)
	return c.Conn.Close()
}

// dial opens a connection that Close can close.
func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	kept := &keptConn{Conn: conn, client: c}
	if !c.open.Add(kept) {
		return nil, errors.Join(ErrNotSent, errClosed)
	}
	return kept, nil
}

// Close closes all connections at once. Attempts under way are broken off, and
// later ones are not sent.
func (c *Client) Close() {
	c.open.Close()
}
