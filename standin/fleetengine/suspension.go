package fleetengine

import (
	"net"
	"sync"
)

// suspension is the state of a process that may be suspended. The zero value runs.
type suspension struct {
	mutex sync.Mutex
	// resumed is closed when the process goes on; nil is a process that runs.
	resumed chan struct{}
}

func (s *suspension) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

func (s *suspension) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// wait returns once the process runs.
func (s *suspension) wait() {
	s.mutex.Lock()
	resumed := s.resumed
	s.mutex.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// Suspend stops the engine like SIGSTOP does a process: the kernel goes on to accept connections and bytes, which the engine
// reads after Resume.
func (e *Engine) Suspend() { e.suspension.begin() }

// Resume ends a suspension.
func (e *Engine) Resume() { e.suspension.end() }

// suspendedListener holds connections back while the process is suspended, and what they read and write.
type suspendedListener struct {
	net.Listener
	suspension *suspension
}

// Accept implements net.Listener.
func (l *suspendedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.suspension.wait()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &suspendedConn{TCPConn: tcp, suspension: l.suspension}, err
	}
	return conn, err
}

type suspendedConn struct {
	*net.TCPConn
	suspension *suspension
}

// Read implements net.Conn. What has arrived is not passed on before the process goes on.
func (c *suspendedConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.suspension.wait()
	return n, err
}

// Write implements net.Conn.
func (c *suspendedConn) Write(data []byte) (int, error) {
	c.suspension.wait()
	return c.TCPConn.Write(data)
}
