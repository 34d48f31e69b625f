package connguard

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/memorybudget"
)

// writePieceBytes is the size in which answers are written, so that a reading caller is told from one that is not.
const writePieceBytes = 32 << 10

// errRefused is the error of a read whose bytes can't be held.
var errRefused = errors.New("no memory for the request's head")

// Conn is a guarded connection. Lock order: Guard.mutex, then Conn.mutex.
type Conn struct {
	net.Conn
	port    *port
	address netip.Addr
	// place holds the connection itself, and extra what it makes the process hold beyond the usual.
	place, extra *memorybudget.Reservation

	mutex sync.Mutex
	// active is true from the end of a request's head until its answer has been written.
	active bool
	// ahead is true if further requests came before the answer to this one.
	ahead bool
	// answered is true if a request has been answered.
	answered bool
	head     headMeter
	// reading and writing are true while the caller is waited for.
	reading, writing bool
	// paid is the time, on the guard's clock, up to which the caller has sent, or read, what it owes.
	paid time.Duration
	// ended is true for a connection that is being ended: its deadlines stay.
	ended bool
	// guardEnded is true if the guard ended it, to make room.
	guardEnded bool
	// closed is true from Close on: nothing is reserved any more.
	closed bool
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Read reads from the caller. Errors: those of the connection.
func (c *Conn) Read(p []byte) (int, error) {
	// While a request is served, net/http waits for the next byte alone.
	ahead := len(p) == 1
	c.beginRead(ahead)
	n, err := c.Conn.Read(p)
	if n > 0 && !c.endRead(p[:n], ahead) {
		c.refuseHead()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRefused}
	}
	if n <= 0 {
		c.endRead(nil, ahead)
	}
	return n, err
}

func (c *Conn) beginRead(ahead bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !ahead || !c.active {
		c.reading = true
	}
}

// endRead records what came. It returns false if the head can't be held.
func (c *Conn) endRead(data []byte, ahead bool) bool {
	now := c.port.guard.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = false
	if !c.active && c.head.bytes == 0 {
		c.paid = now
	}
	c.paid = paidUntil(c.paid, now, len(data))
	if c.active {
		c.ahead = c.ahead || (ahead && len(data) > 0)
		if ahead && len(data) > 0 && !c.growLocked(receiveBufferBytes) {
			// The answer is still written, and the connection is closed then.
			c.endLocked(false)
		}
		return true
	}
	before := c.head.cost()
	c.head.add(data)
	more := c.head.cost() - before
	return more == 0 || c.growLocked(more)
}

// growLocked reserves bytes beyond the usual; the mutex is held.
func (c *Conn) growLocked(bytes int64) bool { return !c.closed && c.extra.Grow(bytes) }

// refuseHead answers a request whose head can't be held. It was not executed.
func (c *Conn) refuseHead() {
	c.port.guard.count("head", c.port)
	_ = c.SetWriteDeadline(time.Now().Add(fullLateness))
	// The connection is closed in any case.
	_, _ = c.Conn.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
}

// Write writes an answer in pieces. Errors: those of the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.setWriting(true)
	defer c.setWriting(false)
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		now := c.port.guard.now()
		c.mutex.Lock()
		c.paid = paidUntil(c.paid, now, n)
		c.mutex.Unlock()
	}
}

func (c *Conn) setWriting(writing bool) {
	now := c.port.guard.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing, c.paid = writing, now
}

// SetDeadline sets both deadlines, unless the connection is being ended.
func (c *Conn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// SetReadDeadline sets the deadline of reads, unless the connection is being ended.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetReadDeadline, t) }

func (c *Conn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		return nil
	}
	return set(t)
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite ends the sending. net/http then waits for half a second, in which the caller may go on sending; if that
// can't be held, the connection is closed at once. Errors: those of the connection.
func (c *Conn) CloseWrite() error {
	c.mutex.Lock()
	held := c.growLocked(receiveBufferBytes)
	c.mutex.Unlock()
	if !held {
		return c.Conn.Close()
	}
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives its place back. Errors: those of the connection.
func (c *Conn) Close() error {
	c.port.guard.remove(c)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	c.place.Release()
	c.extra.Release()
	return c.Conn.Close()
}

// setActive records that a request's head has been read, or that its answer has been written.
func (c *Conn) setActive(active bool) {
	now := c.port.guard.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answered = c.answered || (c.active && !active)
	c.active, c.ahead, c.paid = active, false, now
	if !active {
		c.head = headMeter{}
		c.extra.Release()
	}
}

// candidate returns the connection as the choice sees it.
func (c *Conn) candidate(now, resumed time.Duration) candidate {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := candidate{phase: served, address: c.address, late: now - max(c.paid, resumed)}
	switch {
	case c.writing:
		found.phase = receiving
	case c.ended:
	case c.active && c.reading, !c.active && c.head.bytes > 0:
		found.phase = sending
	case c.active:
	case c.answered:
		found.phase = idle
	default:
		found.phase = fresh
	}
	return found
}

// isAhead reports whether further requests came before the answer to this one.
func (c *Conn) isAhead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ahead
}

// end ends the connection: its next read fails, and also its writes if it waits for its caller to read. It returns
// false if it was being ended already.
func (c *Conn) end(from phase) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	first := !c.guardEnded
	c.guardEnded = true
	c.endLocked(from == receiving)
	return first
}

// isEnded reports whether the guard is ending the connection.
func (c *Conn) isEnded() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.guardEnded
}

func (c *Conn) endLocked(writes bool) {
	c.ended = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(past)
	if writes {
		_ = c.SetWriteDeadline(past)
	}
}
