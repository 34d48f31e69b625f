// Package cutproxy is a TCP proxy that stands for the way of one client to one server, and can be cut.
package cutproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
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

// relistenInterval is how often a proxy that is cut looks whether it listens again.
const relistenInterval = 10 * time.Millisecond

// Proxy forwards connections from its address to a target. It keeps its port while it is cut, so that nobody else answers there.
// It is safe for concurrent use.
type Proxy struct {
	target   string
	listener *net.TCPListener

	mutex sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]struct{}
}

// Start returns a proxy that listens on a loopback address. Call Close at the end. Errors: of net.ListenTCP.
func Start(target string) (*Proxy, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[*net.TCPConn]struct{}{}}
	go p.accept()
	return p, nil
}

// listen listens on a port that it names: the system takes one that it has chosen itself back from a socket that no longer listens.
func listen() (*net.TCPListener, error) {
	const attempts = 20
	var failed error
	for range attempts {
		chosen, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, err
		}
		address := chosen.Addr().(*net.TCPAddr)
		if err := chosen.Close(); err != nil {
			return nil, err
		}
		listener, err := net.ListenTCP("tcp4", address)
		if err == nil {
			return listener, nil
		}
		// Another socket may have the port meanwhile.
		failed = err
	}
	return nil, failed
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// accept forwards connections until the proxy is closed.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.AcceptTCP()
		switch {
		case err == nil:
			go p.forward(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(relistenInterval)
		}
	}
}

func (p *Proxy) forward(client *net.TCPConn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if !p.register(client) {
		return
	}
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

// register records an open connection, unless it is to be reset.
func (p *Proxy) register(client *net.TCPConn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == Reset {
		_ = client.SetLinger(0)
		return false
	}
	p.conns[client] = struct{}{}
	return true
}

// Set changes the mode. Errors: of the system calls that begin and end listening.
func (p *Proxy) Set(mode Mode) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	changes := (mode == Up) != (p.mode == Up)
	p.mode = mode
	if mode == Reset {
		p.resetAll()
	}
	if !changes {
		return nil
	}
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = setListening(int(fd), mode == Up) })
	return errors.Join(err, failed)
}

// setListening makes a bound socket accept or refuse connections. While it refuses them, no other socket may have its address, though
// its open connections have it.
func setListening(fd int, listens bool) error {
	reuse := 0
	if listens {
		reuse = 1
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, reuse); err != nil {
		return err
	}
	if listens {
		return syscall.Listen(fd, syscall.SOMAXCONN)
	}
	return syscall.Shutdown(fd, syscall.SHUT_RD)
}

// resetAll resets the open connections; the mutex is held.
func (p *Proxy) resetAll() {
	for conn := range p.conns {
		// With no time to linger, the close is a reset.
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = Reset
	p.resetAll()
}
