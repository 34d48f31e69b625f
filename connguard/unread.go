package connguard

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/wigeontiller/wigeontiller/memorybudget"
)

type connKey struct{}

// unwrapper is a connection around another.
type unwrapper interface{ NetConn() net.Conn }

// guardedConn returns the guarded connection in a connection, if there is one.
func guardedConn(conn net.Conn) (*Conn, bool) {
	for {
		switch typed := conn.(type) {
		case *Conn:
			return typed, true
		case unwrapper:
			conn = typed.NetConn()
		default:
			return nil, false
		}
	}
}

// ConnContext adds a guarded connection to the context of its requests. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := guardedConn(conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// smallBodyWait is how long the small body of a refused request may take to come.
const smallBodyWait = 100 * time.Millisecond

// Refuse prepares the refusal of a request before its header is written: a body is not read, but for a small one that
// comes at once, so that an ordinary caller keeps its connection. The connection is closed after the response if the
// body is not read, if further requests were sent ahead, or if room is short.
func Refuse(w http.ResponseWriter, r *http.Request) {
	c, guarded := r.Context().Value(connKey{}).(*Conn)
	short := guarded && (c.isAhead() || c.port.guard.isPressed(c.port))
	switch {
	case r.ContentLength == 0:
		if short {
			w.Header().Set("Connection", "close")
		}
		return
	case r.ContentLength > 0 && r.ContentLength <= memorybudget.SmallBytes && !short:
		// net/http reads it, and closes the connection if it does not come. The error is ignored: a test's response
		// recorder does not support deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(smallBodyWait))
		return
	}
	Stop(w)
	// A body over its limit makes net/http wait before it closes the connection, so that the caller can read the
	// response. This is that, without reading of the body.
	_, _ = http.MaxBytesReader(w, io.NopCloser(endless{}), 0).Read(make([]byte, 1))
}

// Stop prepares the refusal of a request whose body does not come: the connection is closed after the response.
func Stop(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	// net/http reads up to 256 KiB of a body that its handler has left; now it gets none of it. The error is
	// ignored: a test's response recorder does not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(past)
}

// endless is a body of any length.
type endless struct{}

// Read fills the slice with zeros.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

func (g *Guard) isPressed(p *port) bool {
	if g.budget.UnderPressure() {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return p.pressed()
}

// WithoutBodies serves requests that have no body, and refuses to read one.
func WithoutBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Refuse(w, r)
		handler.ServeHTTP(w, r)
	})
}
