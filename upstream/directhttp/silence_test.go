package directhttp

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestPeerMayBeSilentForTwoSeconds guards against connections that the kernel ends because a sound peer sent
// nothing for a second or two. TCP_USER_TIMEOUT bounds both unacknowledged bytes and, once a probe
// is unanswered, keep-alive, whatever the number of probes.
func TestPeerMayBeSilentForTwoSeconds(t *testing.T) {
	is := is.New(t)
	const silence, mostSilence = 2 * time.Second, 5 * time.Second
	address := startServer(t, func(conn net.Conn, _ int) { readRequest(conn) })
	conn, err := NewPool(time.Second, nil).Get(t.Context(), address, time.Minute)
	is.NoErr(err)
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	option := func(name int) (value int) {
		is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		is.NoErr(err)
		return value
	}
	userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	probing := time.Duration(option(unix.TCP_KEEPIDLE)+option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT)) * time.Second
	is.True(userTimeout > silence && probing > silence)
	is.True(userTimeout < mostSilence && probing < mostSilence)
}
