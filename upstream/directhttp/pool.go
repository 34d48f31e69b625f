// Package directhttp sends one HTTP/1.1 exchange on one connection and says truly
// how far it got. It never repeats an exchange, and uses a connection again only
// when the answer on it was whole and nothing followed it. The standard library's
// client is not used for this because it repeats requests on its own and hides
// whether a byte was written.
//
// Lock order: Pool.mutex is a leaf.
package directhttp

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// The errors of exchanges.
var (
	// ErrNotSent is returned when no byte reached the peer.
	ErrNotSent = eris.New("not sent")
	// ErrIncomplete is returned when bytes went out and no whole answer came.
	ErrIncomplete = eris.New("broken off")
)

const (
	// unackedTimeout ends a connection whose bytes are not acknowledged; it spans
	// some retransmissions of a lossy link.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle and probeCount make a silent peer's connection end within 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// keptPerAddress bounds the idle connections to one peer.
	keptPerAddress = 16
	// headerBuffer is the read buffer of a connection.
	headerBuffer = 4 << 10
)

// Pool holds the idle connections. It is safe for concurrent use.
type Pool struct {
	dialTimeout time.Duration
	mutex       sync.Mutex
	idle        map[string][]*Conn
	dialed      func()
}

// NewPool returns an empty pool. dialed, if not nil, is called for each new
// connection.
func NewPool(dialTimeout time.Duration, dialed func()) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: map[string][]*Conn{}, dialed: dialed}
}

// Conn is one connection; one exchange runs on it at a time.
type Conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// usedAt is when the last exchange ended.
	usedAt time.Time
	// Reused is true when an earlier exchange ran on the connection.
	Reused bool
	// keepFor is how long the peer said it keeps the idle connection; 0 is unsaid.
	keepFor time.Duration
}

// Get returns an idle connection that was used within maxIdle, or a new one.
// Errors: ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	for {
		conn := p.pop(address)
		if conn == nil {
			break
		}
		idle := time.Since(conn.usedAt)
		if idle < maxIdle && (conn.keepFor == 0 || idle < conn.keepFor/2) && conn.quiet() {
			conn.Reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	dialer := net.Dialer{
		Timeout:         p.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
	if p.dialed != nil {
		p.dialed()
	}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return &Conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, headerBuffer)}, nil
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

func (p *Pool) pop(address string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

// Keep puts a connection back after an exchange that ended cleanly.
func (p *Pool) Keep(conn *Conn) {
	conn.usedAt = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[conn.address]) >= keptPerAddress {
		_ = conn.Close()
		return
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// Drop closes the idle connections to a peer: one of them proved to be dead.
func (p *Pool) Drop(address string) {
	p.mutex.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mutex.Unlock()
	for _, conn := range list {
		_ = conn.Close()
	}
}

// Sweep closes connections that were idle for longer than maxIdle.
func (p *Pool) Sweep(maxIdle time.Duration) {
	p.mutex.Lock()
	var old []*Conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if time.Since(conn.usedAt) > maxIdle {
				old = append(old, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mutex.Unlock()
	for _, conn := range old {
		_ = conn.Close()
	}
}

// quiet reports whether the peer neither closed the idle connection nor sent
// bytes that belong to no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var probe [1]byte
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		_, failed := unix.Read(int(fd), probe[:])
		empty = failed == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
