package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Refuses reports whether an address refuses connections, like that of a process that has ended. It is
// false if that can't be told before the context ends.
func Refuses(ctx context.Context, address string) bool {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		// Nothing was sent on it.
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
