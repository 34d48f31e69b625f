// Package openconn keeps the connections that a server or client has open, so
// that all of them can be closed at once.
package openconn

import (
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"
)

// Set holds open connections. The zero value is empty and ready to use. It is
// safe for concurrent use.
type Set struct {
	mutex  sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Add keeps a connection until it is removed. Once the set is closed, the
// connection is closed instead and Add reports false.
func (s *Set) Add(conn net.Conn) bool {
	if s.add(conn) {
		return true
	}
	_ = conn.Close()
	return false
}

func (s *Set) add(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns = map[net.Conn]struct{}{}
	}
	s.conns[conn] = struct{}{}
	return true
}

// Remove forgets a connection.
func (s *Set) Remove(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, conn)
}

// TrackState adds and removes a server's connections by their states.
func (s *Set) TrackState(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		s.Add(conn)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.Remove(conn)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}

// Close closes every connection, and from then on those that are added. No lock
// is held meanwhile, so that a connection may remove itself.
func (s *Set) Close() {
	for _, conn := range s.end() {
		_ = conn.Close()
	}
}

func (s *Set) end() []net.Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.conns = nil
	return conns
}
