package directhttp

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRefusesTellsEndedProcessFromOthers(t *testing.T) {
	is := is.New(t)
	dials := 0
	pool := NewPool(time.Second, func() { dials++ })
	address := startServer(t, func(conn net.Conn, _ int) {
		for readRequest(conn) {
			_, _ = conn.Write([]byte(okResponse))
		}
	})
	is.True(!pool.Refuses(t.Context(), address))
	_, reused, err := doExchange(t, pool, address, "1")
	is.NoErr(err)
	is.True(reused) // the connection was kept
	is.Equal(dials, 1)

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	gone := listener.Addr().String()
	is.NoErr(listener.Close())
	is.True(pool.Refuses(t.Context(), gone))
}
