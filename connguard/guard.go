// Package connguard bounds the connections of a process's servers and what callers make them hold. While room is
// short it ends first the connections of callers that send or read slowly, or stop half-way. It never ends one
// whose request has been read.
package connguard

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeontiller/wigeontiller/memorybudget"
)

const (
	// receiveBufferBytes bounds what the kernel holds of bytes that were not read, for each connection. With a way
	// of 2 ms it lets 16 MB pass in a second.
	receiveBufferBytes = 64 << 10
	// sendBufferBytes bounds what it holds of answers that were not read.
	sendBufferBytes = 64 << 10
	// SweepInterval is how often Sweep is to be called.
	SweepInterval = 200 * time.Millisecond
	// suspension is the time between sweeps from which on the process was suspended: what callers sent meanwhile
	// could not be read.
	suspension = 5 * SweepInterval
	// endingShare is the part of a port's places that connections may have which are being ended, and roomShare the
	// part that is made free at a time, so that a crowd does not cost a search for each connection; both as divisors.
	endingShare = 8
	roomShare   = 32
	// endingTime is how long the end of a connection takes.
	endingTime = 20 * time.Millisecond
)

// Guard guards the connections of all servers of a process. It is safe for concurrent use.
type Guard struct {
	budget  *memorybudget.Budget
	started time.Time
	// onEnd is called for each connection that is refused or ended.
	onEnd func(reason, port string)
	// idleTime is the time after which callers don't use an idle connection again, in ns.
	idleTime atomic.Int64

	mutex              sync.Mutex
	ports              []*port
	lastSweep, resumed time.Duration
}

// port is one server's port.
type port struct {
	guard *Guard
	name  string
	max   int
	conns map[*Conn]struct{}
	// byAddress counts the connections of each address that has any.
	byAddress map[netip.Addr]int
	// ending is the number of connections that are being ended: they have their places for a moment longer.
	ending int
	// endsIdle is true for a port whose idle connections are ended for new ones.
	endsIdle bool
}

// New returns a guard. onEnd is called with the reason and the port's name for each connection that is refused or
// ended.
func New(budget *memorybudget.Budget, idleTime time.Duration, onEnd func(reason, port string)) *Guard {
	g := &Guard{budget: budget, started: time.Now(), onEnd: onEnd}
	g.idleTime.Store(int64(idleTime))
	return g
}

// SetIdleTime sets the time after which callers don't use an idle connection again.
func (g *Guard) SetIdleTime(idleTime time.Duration) { g.idleTime.Store(int64(idleTime)) }

func (g *Guard) now() time.Duration { return time.Since(g.started) }

func (g *Guard) count(reason string, p *port) { g.onEnd(reason, p.name) }

// Listen returns a listener on an address that accepts at most max connections. With endsIdle, idle connections
// are ended for new ones: such a port's callers don't mind. Errors: of net.Listen.
func (g *Guard) Listen(name, address string, max int, endsIdle bool) (net.Listener, error) {
	config := net.ListenConfig{Control: boundBuffers}
	inner, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &port{guard: g, name: name, max: max, conns: map[*Conn]struct{}{}, byAddress: map[netip.Addr]int{}, endsIdle: endsIdle}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ports = append(g.ports, p)
	return &listener{Listener: inner, port: p}, nil
}

// boundBuffers bounds the kernel's buffers of the listener's connections. A system that refuses keeps its own.
func boundBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	})
}

type listener struct {
	net.Listener
	port *port
}

// Accept returns the next connection for which there is room. Errors: of the listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		guarded, wait := l.port.guard.admit(conn, l.port)
		if guarded == nil && wait > 0 {
			// A crowd has come at once: the first of them are late soon.
			time.Sleep(wait)
			guarded, _ = l.port.guard.admit(conn, l.port)
		}
		if guarded != nil {
			return guarded, nil
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Nothing has been read: the caller learns so at once.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		l.port.guard.count("full", l.port)
	}
}

// admit returns the connection guarded, or nil if there is no room for it, and then how long it takes until there is
// some, or 0.
func (g *Guard) admit(conn net.Conn, p *port) (*Conn, time.Duration) {
	c := &Conn{
		Conn: conn, port: p, paid: g.now(),
		place: g.budget.Open(memorybudget.Connections), extra: g.budget.Open(memorybudget.Heads),
	}
	if from, err := netip.ParseAddrPort(conn.RemoteAddr().String()); err == nil {
		c.address = from.Addr().Unmap()
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(p.conns) > p.max+p.max/endingShare {
		return nil, endingTime
	}
	if len(p.conns)-p.ending >= p.max {
		n := need{lateness: fullLateness, idleTime: p.idleTime(), address: c.address, crowd: p.crowd()}
		if made, wait := g.makeRoom(p, n); !made {
			return nil, wait
		}
	}
	if !c.place.Grow(memorybudget.ConnectionBytes) {
		return nil, 0
	}
	p.conns[c] = struct{}{}
	p.byAddress[c.address]++
	return c, 0
}

// idleTime is the time after which an idle connection may be ended.
func (p *port) idleTime() time.Duration {
	if p.endsIdle {
		return 0
	}
	return time.Duration(p.guard.idleTime.Load())
}

// crowd returns the address that has over half of the places, if there is one.
func (p *port) crowd() netip.Addr {
	for address, count := range p.byAddress {
		if count > p.max/2 {
			return address
		}
	}
	return netip.Addr{}
}

// makeRoom ends some connections of the port. It returns false if there is none that may be ended, and then how long it
// takes until one may be, or 0; the mutex is held.
func (g *Guard) makeRoom(p *port, n need) (bool, time.Duration) {
	now := g.now()
	conns, list := make([]*Conn, 0, len(p.conns)), make([]candidate, 0, len(p.conns))
	for c := range p.conns {
		conns, list = append(conns, c), append(list, c.candidate(now, g.resumed))
	}
	chosen := n.choose(list, 1+p.max/roomShare)
	for _, i := range chosen {
		g.end(conns[i], list[i].phase, "place_taken")
	}
	return len(chosen) > 0, n.wait(list)
}

// end ends a connection; the mutex is held.
func (g *Guard) end(c *Conn, from phase, reason string) {
	if c.end(from) {
		c.port.ending++
		g.count(reason, c.port)
	}
}

func (g *Guard) remove(c *Conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := c.port
	if _, open := p.conns[c]; !open {
		return
	}
	delete(p.conns, c)
	if c.isEnded() {
		p.ending--
	}
	if p.byAddress[c.address]--; p.byAddress[c.address] <= 0 {
		delete(p.byAddress, c.address)
	}
}

// Sweep ends the connections of late callers while room is short.
func (g *Guard) Sweep() {
	pressed := g.budget.UnderPressure()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	if now-g.lastSweep > suspension {
		g.resumed = now
	}
	g.lastSweep = now
	for _, p := range g.ports {
		if !pressed && !p.pressed() {
			continue
		}
		n := need{lateness: pressedLateness, idleTime: p.idleTime()}
		if p.endsIdle {
			n.idleTime = crowdIdleTime
		}
		for c := range p.conns {
			if found := c.candidate(now, g.resumed); n.ends(found) {
				g.end(c, found.phase, reasons[found.phase])
			}
		}
	}
}

// reasons name the ends of connections, by phase.
var reasons = [...]string{sending: "slow_sending", receiving: "slow_reading", fresh: "silent", idle: "idle", served: ""}

// pressed reports whether over half of the places are taken; the guard's mutex is held.
func (p *port) pressed() bool { return len(p.conns) > p.max/2 }

// Open returns the number of open connections of each port.
func (g *Guard) Open() map[string]int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	open := map[string]int{}
	for _, p := range g.ports {
		open[p.name] = len(p.conns)
	}
	return open
}

// TrackState follows a server's connections. It is for http.Server.ConnState.
func (g *Guard) TrackState(conn net.Conn, state http.ConnState) {
	c, ok := guardedConn(conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setActive(true)
	case http.StateIdle:
		c.setActive(false)
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}
