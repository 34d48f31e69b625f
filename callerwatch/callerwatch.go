// Package callerwatch notices that a caller has closed its connection while a
// handler is still at work; the HTTP server does not tell.
package callerwatch

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is the time between two looks at the connection.
const pollInterval = 50 * time.Millisecond

// The TCP states of a connection whose peer has closed or reset it.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
	tcpStateLastAck   = 9
)

// Watch calls gone once when the peer closes the connection. It ends with the
// context. A connection that is not TCP is not watched.
func Watch(ctx context.Context, conn net.Conn, gone func()) {
	raw := rawConn(conn)
	if raw == nil {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if closed(raw) {
				gone()
				return
			}
		}
	}
}

func rawConn(conn net.Conn) syscall.RawConn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

func closed(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		gone = err != nil || info.State == tcpStateClose || info.State == tcpStateCloseWait || info.State == tcpStateLastAck
	})
	return gone || err != nil
}
