package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/storage/memory"
)

// largeResponseBytes is more than the sockets' buffers hold.
const largeResponseBytes = 32 << 20

// TestWriteTimeoutClosesConnectionOfSlowCaller has a caller that never reads a large response.
func TestWriteTimeoutClosesConnectionOfSlowCaller(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	service := &fasthttp.Server{Logger: discardLogger{}, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBody(make([]byte, largeResponseBytes))
	}}
	go func() { _ = service.Serve(listener) }()
	t.Cleanup(func() { _ = service.Shutdown() })
	server := newTestServer(t, memory.New(), listener.Addr().String())
	server.config.WriteTimeout = 100 * time.Millisecond
	conn, err := net.Dial("tcp", listen(t, server.App()))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /services/bookings/slots HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	is.NoErr(err)
	open := server.App().Server().GetOpenConnectionsCount
	eventually(t, "the connection is open", func() bool { return open() == 1 })
	eventually(t, "the connection is closed", func() bool { return open() == 0 })
}

// TestWriteDeadlineIsClearedBetweenRequests sends a second request on one connection after
// the write deadline of the first response has passed.
func TestWriteDeadlineIsClearedBetweenRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, fastEngine)
	f.server.config.WriteTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
	reader := bufio.NewReader(conn)
	body := chatBody("a", 1, false)
	for range 2 {
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", testKey, len(body))
		is.NoErr(err)
		line, err := reader.ReadString('\n')
		is.NoErr(err)
		is.Equal(line, "HTTP/1.1 100 Continue\r\n")
		_, _ = reader.ReadString('\n')
		_, err = conn.Write([]byte(body))
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		time.Sleep(2 * f.server.config.WriteTimeout)
	}
}
