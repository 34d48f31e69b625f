package directhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello"

// startServer accepts connections and calls f for each in its own goroutine, with the
// number of the connection from 0.
func startServer(t *testing.T, f func(conn net.Conn, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				f(conn, number)
			}()
		}
	}()
	return listener.Addr().String()
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"),
		Matches: func(_ int, header http.Header) bool { return header.Get("X-Id") == id },
	}
}

func readRequest(conn net.Conn) bool {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

func doExchange(t *testing.T, pool *Pool, address, id string) (string, bool, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, address, time.Minute)
	if err != nil {
		return "", false, err
	}
	reused := conn.Reused
	reply, err := pool.Send(ctx, conn, newRequest(id))
	if err != nil {
		return "", reused, err
	}
	body, err := reply.ReadAll(1 << 10)
	if err != nil {
		reply.Abort()
		return "", reused, err
	}
	reply.Finish()
	return string(body), reused, nil
}

func TestPoolReusesConnectionAfterCompleteResponse(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(conn net.Conn, _ int) {
		for readRequest(conn) {
			_, _ = io.WriteString(conn, okResponse)
		}
	})
	pool := NewPool(time.Second, nil)
	_, reused, err := doExchange(t, pool, address, "1")
	is.NoErr(err)
	is.True(!reused)
	body, reused, err := doExchange(t, pool, address, "1")
	is.NoErr(err)
	is.True(reused)
	is.Equal(body, "hello")
}

func TestSendReportsTruncatedResponseAsIncomplete(t *testing.T) {
	for cut := range len(okResponse) {
		address := startServer(t, func(conn net.Conn, _ int) {
			if readRequest(conn) {
				_, _ = io.WriteString(conn, okResponse[:cut])
			}
		})
		if _, _, err := doExchange(t, NewPool(time.Second, nil), address, "1"); !errors.Is(err, ErrIncomplete) {
			t.Fatalf("response truncated after %d bytes: got error %v, want ErrIncomplete", cut, err)
		}
	}
}

func TestPoolReportsNotSentForClosedPort(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := listener.Addr().String()
	is.New(t).NoErr(listener.Close())
	_, _, err = doExchange(t, NewPool(time.Second, nil), address, "1")
	is.New(t).True(errors.Is(err, ErrNotSent))
}

func TestFinishClosesConnectionWithExtraBytes(t *testing.T) {
	for name, extra := range map[string]string{"start of a second response": okResponse + "HTTP/1.1 200", "complete second response": okResponse + okResponse, "one byte": okResponse + "x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, func(conn net.Conn, _ int) {
				for readRequest(conn) {
					_, _ = io.WriteString(conn, extra)
				}
			})
			pool := NewPool(time.Second, nil)
			body, _, err := doExchange(t, pool, address, "1")
			is.NoErr(err)
			is.Equal(body, "hello")
			_, reused, err := doExchange(t, pool, address, "1")
			is.NoErr(err)
			is.True(!reused)
		})
	}
}

func TestSendSkipsLateResponseToEarlierRequest(t *testing.T) {
	is := is.New(t)
	late := make(chan struct{})
	address := startServer(t, func(conn net.Conn, _ int) {
		if readRequest(conn) {
			_, _ = io.WriteString(conn, okResponse)
		}
		if readRequest(conn) {
			// A second response to the first request precedes the one to the second request.
			_, _ = io.WriteString(conn, okResponse+strings.Replace(strings.Replace(okResponse, "X-Id: 1", "X-Id: 2", 1), "hello", "world", 1))
			close(late)
		}
	})
	pool := NewPool(time.Second, nil)
	_, _, err := doExchange(t, pool, address, "1")
	is.NoErr(err)
	body, reused, err := doExchange(t, pool, address, "2")
	is.NoErr(err)
	is.True(reused)
	is.Equal(body, "world")
	<-late
}

func TestCloseDelimitedResponseIsCompleteAndNotReused(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(conn net.Conn, _ int) {
		if readRequest(conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello")
		}
	})
	pool := NewPool(time.Second, nil)
	body, _, err := doExchange(t, pool, address, "1")
	is.NoErr(err)
	is.Equal(body, "hello")
	is.Equal(len(pool.idle[address]), 0)
}

func TestSendReportsResetOfCloseDelimitedResponseAsIncomplete(t *testing.T) {
	address := startServer(t, func(conn net.Conn, _ int) {
		if readRequest(conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhel")
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	_, _, err := doExchange(t, NewPool(time.Second, nil), address, "1")
	is.New(t).True(errors.Is(err, ErrIncomplete))
}

func TestFinishClosesConnectionWhoseRequestIsNotFullyWritten(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(conn net.Conn, _ int) {
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, okResponse)
		time.Sleep(200 * time.Millisecond)
	})
	pool := NewPool(time.Second, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, address, time.Minute)
	is.NoErr(err)
	long := newRequest("1")
	long.Head = append([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 33554432\r\n\r\n"), make([]byte, 32<<20)...)
	reply, err := pool.Send(ctx, conn, long)
	is.NoErr(err)
	body, err := reply.ReadAll(1 << 10)
	is.NoErr(err)
	is.Equal(string(body), "hello")
	reply.Finish()
	is.Equal(len(pool.idle[address]), 0)
}

func TestSendReportsIncompleteWhenContextEnds(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(conn net.Conn, _ int) {
		readRequest(conn)
		time.Sleep(time.Second)
	})
	pool := NewPool(time.Second, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	conn, err := pool.Get(ctx, address, time.Minute)
	is.NoErr(err)
	started := time.Now()
	_, err = pool.Send(ctx, conn, newRequest("1"))
	is.True(errors.Is(err, ErrIncomplete))
	is.True(time.Since(started) < 500*time.Millisecond)
}

func TestPoolSkipsIdleConnectionClosedByPeer(t *testing.T) {
	is := is.New(t)
	address := startServer(t, func(conn net.Conn, _ int) {
		if readRequest(conn) {
			_, _ = io.WriteString(conn, okResponse)
		}
	})
	pool := NewPool(time.Second, nil)
	_, _, err := doExchange(t, pool, address, "1")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	_, reused, err := doExchange(t, pool, address, "1")
	is.NoErr(err)
	is.True(!reused)
}

func TestKeepAliveTimeoutIsParsed(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAliveTimeout("timeout=5, max=100"), 5*time.Second)
	is.Equal(keepAliveTimeout("max=100"), time.Duration(0))
	is.Equal(keepAliveTimeout("timeout=x"), time.Duration(0))
}
