package fleetengine

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves an engine on a loopback address. While the engine is down its connections are closed
// and new ones refused, like those of a process that has ended.
type Server struct {
	engine  *Engine
	address string

	mutex    sync.Mutex
	http     *http.Server
	isClosed bool
}

// Serve starts a server for the engine. Call Close at the end. Errors: of net.Listen.
func Serve(engine *Engine) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{engine: engine, address: listener.Addr().String()}
	s.serve(listener)
	engine.mutex.Lock()
	engine.server = s
	engine.mutex.Unlock()
	return s, nil
}

// Address is the same after each restart.
func (s *Server) Address() string { return s.address }

func (s *Server) serve(listener net.Listener) {
	server := &http.Server{Handler: s.engine, ReadHeaderTimeout: time.Minute, ConnContext: withConnection}
	s.mutex.Lock()
	s.http = server
	s.mutex.Unlock()
	// The error is that of the listener's end.
	go func() {
		_ = server.Serve(&suspendedListener{Listener: listener, suspension: &s.engine.suspension})
	}()
}

// stop closes the listener and all connections.
func (s *Server) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// A listener that is closed already is as good.
	_ = s.http.Close()
}

// start listens again. Another socket may have the port for a moment.
func (s *Server) start() {
	const interval, attempts = 20 * time.Millisecond, 250
	for range attempts {
		s.mutex.Lock()
		closed := s.isClosed
		s.mutex.Unlock()
		if closed {
			return
		}
		if listener, err := net.Listen("tcp4", s.address); err == nil {
			s.serve(listener)
			return
		}
		time.Sleep(interval)
	}
}

// Close ends the server for good.
func (s *Server) Close() {
	s.mutex.Lock()
	s.isClosed = true
	s.mutex.Unlock()
	s.engine.Resume()
	s.stop()
}
