package httpstorage

import (
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// errNotReusable is returned for a kept connection on which the platform has sent bytes that belong to
// no call, or which it has closed. Nothing was sent.
var errNotReusable = eris.New("kept connection is not reusable")

// exchangeConn is a connection that is not written to while it has bytes to be read from an earlier
// call: fasthttp would take them for the response to the next one.
type exchangeConn struct {
	net.Conn
	// writing is true from the first write of a call to the first read of its response.
	writing bool
}

// Read reads from the connection.
func (c *exchangeConn) Read(p []byte) (int, error) {
	c.writing = false
	return c.Conn.Read(p)
}

// Write writes to the connection. Errors: errNotReusable.
func (c *exchangeConn) Write(p []byte) (int, error) {
	if !c.writing && !c.isSilent() {
		return 0, errNotReusable
	}
	c.writing = true
	return c.Conn.Write(p)
}

// isSilent reports whether the connection is open and has nothing to be read.
func (c *exchangeConn) isSilent() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	// The deadline of the earlier call has often passed, which would fail the probe.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	var probe [1]byte
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		_, failed := unix.Read(int(fd), probe[:])
		silent = failed == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
