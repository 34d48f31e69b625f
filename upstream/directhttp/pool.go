// Package directhttp sends one HTTP/1.1 exchange on one connection and reports
// reliably how far it got. It never retries an exchange, and reuses a connection only
// if the response on it was complete and no bytes followed it. The standard library's
// client is not used because it retries requests on its own and hides whether a byte
// was written.
//
// Lock order: Pool.mutex is a leaf.
package directhttp

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Errors of exchanges.
var (
	// ErrNotSent is returned when no byte reached the peer.
	ErrNotSent = eris.New("request not sent")
	// ErrNotPermitted is returned when Request.MayWrite forbade the write; no byte was sent.
	ErrNotPermitted = eris.New("request no longer permitted")
	// ErrIncomplete is returned when bytes were sent and no complete response arrived.
	ErrIncomplete = eris.New("exchange interrupted before a complete response")
	// ErrTimedOut is returned when bytes were sent and the peer's machine confirmed no more that it has the connection.
	ErrTimedOut = eris.New("connection timed out after the request was sent")
)

const (
	// probeIdle, probeInterval and probeCount end the connection to an unresponsive
	// peer within 3 s.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unackedTimeout ends a connection whose bytes are not acknowledged. It also ends the
	// probing, so that a shorter one would end connections to peers that are silent for a second.
	unackedTimeout = probeIdle + probeCount*probeInterval
	// maxIdlePerAddress is the maximum number of idle connections to one peer.
	maxIdlePerAddress = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	// DialContext replaces the dialing of connections if it is set before the first use.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdlePerAddress replaces maxIdlePerAddress if it is set before the first use.
	MaxIdlePerAddress int
	dialTimeout       time.Duration
	mutex             sync.Mutex
	idle              map[string][]*Conn
	onDial            func()
}

// NewPool returns an empty pool. onDial, if not nil, is called before each new
// connection is dialed.
func NewPool(dialTimeout time.Duration, onDial func()) *Pool {
	return &Pool{dialTimeout: dialTimeout, idle: map[string][]*Conn{}, onDial: onDial}
}

// Conn is a connection that carries one exchange at a time.
type Conn struct {
	net.Conn
	address string
	limit   *headLimit
	reader  *bufio.Reader
	// lastUsedAt is when the last exchange ended.
	lastUsedAt time.Time
	// Reused is true when the connection was idle before, Carried when it has carried an earlier exchange.
	Reused, Carried bool
	// peerIdleTimeout is how long the peer announced to keep an idle connection; 0 if
	// it announced nothing.
	peerIdleTimeout time.Duration
	// requests are hashes of the IDs that the connection has carried last, a ring of which next is replaced next.
	requests [rememberedRequests]uint64
	next     int
}

// rememberedRequests is the number of requests that a connection remembers: late responses follow soon.
const rememberedRequests = 16

// record remembers the ID of a request.
func (c *Conn) record(id string) {
	c.requests[c.next] = xxhash.Sum64String(id)
	c.next = (c.next + 1) % len(c.requests)
}

// hasCarried reports whether the connection has carried a request with this ID lately.
func (c *Conn) hasCarried(id string) bool {
	return slices.Contains(c.requests[:], xxhash.Sum64String(id))
}

// Get returns an idle connection that was used within maxIdle and, if the peer
// announced an idle timeout, within half of it, or else a new connection.
// Errors: ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	return p.get(ctx, address, maxIdle, func(*Conn) bool { return true })
}

// GetFor is Get for a request that bears an ID, for which a connection that has carried the same ID is not used: a late
// response to the earlier one would bear it too, and a peer that has refused a request may be closing its connection.
func (p *Pool) GetFor(ctx context.Context, address, id string, maxIdle time.Duration) (*Conn, error) {
	return p.get(ctx, address, maxIdle, func(conn *Conn) bool { return !conn.hasCarried(id) })
}

func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration, fits func(*Conn) bool) (*Conn, error) {
	for {
		conn := p.pop(address)
		if conn == nil {
			break
		}
		idle := time.Since(conn.lastUsedAt)
		if idle < maxIdle && (conn.peerIdleTimeout == 0 || idle < conn.peerIdleTimeout/2) && fits(conn) && conn.isReusable() {
			conn.Reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	return p.Dial(ctx, address)
}

// Dial returns a new connection, on which no response to an earlier exchange can arrive. Errors: ErrNotSent.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return conn, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
	dial := dialer.DialContext
	if p.DialContext != nil {
		dial = p.DialContext
	}
	if p.onDial != nil {
		p.onDial()
	}
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	raw, err := dial(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address), nil
}

// Connects reports whether the peer accepts a new connection, which is kept for reuse.
func (p *Pool) Connects(ctx context.Context, address string) bool {
	conn, err := p.dial(ctx, address)
	if err == nil {
		p.Put(conn)
	}
	return err == nil
}

// Refuses reports whether the peer refuses new connections, like the address of a process that has
// ended. It dials one, which is kept for reuse if the peer accepts it.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	conn, err := p.dial(ctx, address)
	if err == nil {
		p.Put(conn)
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func newConn(raw net.Conn, address string) *Conn {
	limit := &headLimit{reader: raw}
	return &Conn{Conn: raw, address: address, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
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

// Put returns a connection to the pool after an exchange that ended cleanly.
func (p *Pool) Put(conn *Conn) {
	conn.lastUsedAt = time.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[conn.address]) >= cmp.Or(p.MaxIdlePerAddress, maxIdlePerAddress) {
		_ = conn.Close()
		return
	}
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// Drop closes all idle connections to a peer, after one of them proved to be dead.
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
	var expired []*Conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if time.Since(conn.lastUsedAt) > maxIdle {
				expired = append(expired, conn)
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
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// isReusable reports whether the peer has neither closed the idle connection nor sent
// bytes that belong to no request.
func (c *Conn) isReusable() bool {
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
