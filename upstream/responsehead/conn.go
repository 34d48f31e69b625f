package responsehead

import "net"

// Conn is a client's connection whose responses' heads are checked. The client must read a response only after it has written its
// request, and write the next request only after it has read the response.
type Conn struct {
	net.Conn
	checker  Checker
	answered bool
}

// NewConn returns a connection that checks what is read from another one.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Read reads from the connection. Errors besides those of the connection: ErrInvalid.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.answered = true
		if invalid := c.checker.Check(p[:n]); invalid != nil {
			return 0, invalid
		}
	}
	return n, err
}

// Write writes to the connection. After a response it begins the next request.
func (c *Conn) Write(p []byte) (int, error) {
	if c.answered {
		c.answered = false
		c.checker.Begin()
	}
	return c.Conn.Write(p)
}

// Dialer returns a function that dials like another one and checks what is read.
func Dialer(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}
