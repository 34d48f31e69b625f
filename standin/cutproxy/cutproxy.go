// Package cutproxy is a TCP proxy that stands for the way of one client to one server, and can be cut.
package cutproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is the state of the way.
type Mode int

// The modes: connections are forwarded, new ones are refused while open ones live on, and new ones are
// refused and open ones reset.
const (
	Up Mode = iota
	Refused
	Reset
)

// Proxy forwards connections from its address to a target. It is safe for concurrent use.
type Proxy struct {
	target, address string

	mutex    sync.Mutex
	listener net.Listener
	conns    map[*net.TCPConn]struct{}
	isClosed bool
}

// Start returns a proxy that listens on a loopback address. Call Close at the end. Errors: of net.Listen.
func Start(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, address: listener.Addr().String(), conns: map[*net.TCPConn]struct{}{}}
	p.serve(listener)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.address }

func (p *Proxy) serve(listener net.Listener) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
}

func (p *Proxy) forward(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	p.mutex.Lock()
	p.conns[client] = struct{}{}
	p.mutex.Unlock()
	go func() {
		// The end of either side ends both.
		_, _ = io.Copy(server, client)
		_ = server.Close()
	}()
	if _, err := io.Copy(client, server); err != nil {
		// The server reset the connection; with no time to linger, the close is a reset too.
		_ = client.SetLinger(0)
	}
	p.mutex.Lock()
	delete(p.conns, client)
	p.mutex.Unlock()
}

// Set changes the mode.
func (p *Proxy) Set(mode Mode) {
	p.mutex.Lock()
	listener := p.listener
	if mode != Up {
		p.listener = nil
	}
	if mode == Reset {
		for conn := range p.conns {
			// With no time to linger, the close is a reset.
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
	p.mutex.Unlock()
	if mode != Up && listener != nil {
		_ = listener.Close()
	}
	if mode == Up && listener == nil {
		p.listenAgain()
	}
}

// listenAgain listens on the same address. Another socket may have the port for a moment.
func (p *Proxy) listenAgain() {
	const interval, attempts = 20 * time.Millisecond, 250
	for range attempts {
		p.mutex.Lock()
		closed := p.isClosed
		p.mutex.Unlock()
		if closed {
			return
		}
		if listener, err := net.Listen("tcp4", p.address); err == nil {
			p.serve(listener)
			return
		}
		time.Sleep(interval)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.isClosed = true
	p.mutex.Unlock()
	p.Set(Reset)
}
