// Package openconn tracks the open connections of a server or client so that all
// of them can be closed at once.
package openconn

import (
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"
)

// Set is a set of open connections. The zero value is empty and ready to use. It is
// safe for concurrent use.
type Set struct {
	mutex  sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Add adds a connection to the set. If the set is closed, Add closes the connection
// instead and returns false.
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

// Remove removes a connection from the set without closing it.
func (s *Set) Remove(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, conn)
}

// TrackState adds and removes a server's connections as their state changes. It has the
// signature of fasthttp.Server.ConnState.
func (s *Set) TrackState(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		s.Add(conn)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.Remove(conn)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}

// Close closes every connection in the set, and makes Add close later ones. No lock
// is held while it closes them, so that a connection can remove itself from the set.
func (s *Set) Close() {
	for _, conn := range s.markClosed() {
		_ = conn.Close()
	}
}

// markClosed marks the set as closed, empties it and returns its connections.
func (s *Set) markClosed() []net.Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.conns = nil
	return conns
}
