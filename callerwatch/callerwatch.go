// Package callerwatch detects that a caller disconnected while a handler is still
// running; the HTTP server does not report it.
package callerwatch

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is the time between two checks of the connection.
const pollInterval = 50 * time.Millisecond

// The Linux TCP states of a connection that its peer has closed or reset.
const (
	tcpStateClose     = 7
	tcpStateCloseWait = 8
	tcpStateLastAck   = 9
)

// Watch polls the connection and calls onClose once when the peer closes or resets
// it. It returns then or when the context ends. A connection that is not TCP is not
// watched.
func Watch(ctx context.Context, conn net.Conn, onClose func()) {
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
				onClose()
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
	isClosed := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		isClosed = err != nil || info.State == tcpStateClose || info.State == tcpStateCloseWait || info.State == tcpStateLastAck
	})
	return isClosed || err != nil
}
