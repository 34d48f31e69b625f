package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testTimeout   = 20 * time.Second
	completeReply = "HTTP/1.1 200 OK\r\nX-Attempt-ID: attempt\r\nContent-Length: 10\r\n\r\n0123456789"
)

// rawServer counts connections and the bytes it reads, and closes each connection
// where the test's serve function returns. The mutex guards the counts.
type rawServer struct {
	listener  net.Listener
	mutex     sync.Mutex
	conns     int
	bytesRead int
	serve     func(conn net.Conn, number int)
	group     sync.WaitGroup
}

func startRawServer(t *testing.T, serve func(s *rawServer, conn net.Conn, number int)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &rawServer{listener: listener}
	server.serve = func(conn net.Conn, number int) { serve(server, conn, number) }
	server.group.Go(server.accept)
	t.Cleanup(server.stop)
	return server
}

func (s *rawServer) stop() {
	_ = s.listener.Close()
	s.group.Wait()
}

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.conns++
		number := s.conns
		s.mutex.Unlock()
		s.group.Go(func() {
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			s.serve(conn, number)
		})
	}
}

// read reads n bytes of the request, or fewer if the connection ends before.
func (s *rawServer) read(conn net.Conn, n int) {
	got, _ := io.ReadFull(conn, make([]byte, n))
	s.mutex.Lock()
	s.bytesRead += got
	s.mutex.Unlock()
}

func (s *rawServer) counts() (conns, bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.conns, s.bytesRead
}

func (s *rawServer) attempt(method string, body []byte) *Attempt {
	return &Attempt{
		ID: "attempt", Address: s.listener.Addr().String(), Method: method, Path: "/confirm", Body: body,
		Header:   map[string]string{"Idempotency-Key": "key"},
		Deadline: time.Now().Add(testTimeout),
	}
}

// requestSize returns the number of bytes that the client sends for an attempt.
func requestSize(t *testing.T, method string, body []byte) int {
	t.Helper()
	server := startRawServer(t, func(s *rawServer, conn net.Conn, _ int) {
		var received bytes.Buffer
		request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &received)))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		s.mutex.Lock()
		s.bytesRead = received.Len()
		s.mutex.Unlock()
	})
	_, _ = NewClient().Do(context.Background(), server.attempt(method, body))
	server.stop()
	_, size := server.counts()
	return size
}

// checkSentOnce sends one attempt whose connection the server closes early, and checks
// that it fails, that one connection was made, and that ErrNotSent is returned only
// if the server read nothing.
func checkSentOnce(t *testing.T, condition string, server *rawServer, method string, body []byte) {
	t.Helper()
	is := is.New(t)
	reply, err := NewClient().Do(context.Background(), server.attempt(method, body))
	if err == nil {
		_, err = io.ReadAll(reply.Body())
		reply.Close()
	}
	server.stop()
	conns, bytes := server.counts()
	if conns != 1 || err == nil || errors.Is(err, ErrNotSent) && bytes > 0 {
		t.Errorf("%s %s: %d connections, %d bytes read, error %v", method, condition, conns, bytes, err)
	}
	is.True(!errors.Is(err, ErrRefused)) // an interrupted exchange is not a refusal
}

func TestDoSendsOnceWhenConnectionClosesEarly(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT"} {
		var body []byte
		if method != "GET" {
			body = []byte("a booking of one seat")
		}
		size := requestSize(t, method, body)
		if size < len(body)+20 {
			t.Fatalf("request has only %d bytes", size)
		}
		for k := 0; k <= size; k += 7 {
			server := startRawServer(t, func(s *rawServer, conn net.Conn, _ int) { s.read(conn, k) })
			checkSentOnce(t, fmt.Sprintf("closed after %d of %d request bytes", k, size), server, method, body)
		}
		for k := range completeReply {
			server := startRawServer(t, func(s *rawServer, conn net.Conn, _ int) {
				s.read(conn, size)
				_, _ = io.WriteString(conn, completeReply[:k])
			})
			checkSentOnce(t, fmt.Sprintf("closed after %d reply bytes", k), server, method, body)
		}
	}
}

// HTTP libraries retry a request on their own when the upstream closes a reused
// connection; the client must not.
func TestDoDoesNotRetryOnClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	for _, method := range []string{"GET", "POST"} {
		for _, k := range []int{0, 1, 30} {
			size := requestSize(t, method, nil)
			server := startRawServer(t, func(s *rawServer, conn net.Conn, _ int) {
				s.read(conn, size)
				_, _ = io.WriteString(conn, completeReply)
				s.read(conn, k)
			})
			client := NewClient()
			reply, err := client.Do(context.Background(), server.attempt(method, nil))
			is.NoErr(err)
			_, err = io.ReadAll(reply.Body())
			is.NoErr(err)
			reply.Close()
			_, err = client.Do(context.Background(), server.attempt(method, nil))
			is.True(err != nil)
			server.stop()
			conns, bytes := server.counts()
			is.Equal(conns, 1)                                      // no second connection
			is.True(!errors.Is(err, ErrNotSent) || bytes-size == 0) // ErrNotSent only if no byte of the second request was read
		}
	}
}

func TestDoReturnsErrNotSentWhenNothingListens(t *testing.T) {
	is := is.New(t)
	server := startRawServer(t, func(*rawServer, net.Conn, int) {})
	server.stop()
	_, err := NewClient().Do(context.Background(), server.attempt("POST", []byte("body")))
	is.True(errors.Is(err, ErrNotSent))
}

// The unread remainder of a response must not be taken for the next response.
func TestCloseDoesNotReuseConnectionWithUnreadResponse(t *testing.T) {
	is := is.New(t)
	size := requestSize(t, "GET", nil)
	const sent = 64
	stale := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	server := startRawServer(t, func(s *rawServer, conn net.Conn, number int) {
		s.read(conn, size)
		if number > 1 {
			_, _ = io.WriteString(conn, completeReply)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", sent+len(stale))
		_, _ = conn.Write(make([]byte, sent))
		s.read(conn, size)
		_, _ = io.WriteString(conn, stale)
	})
	client := NewClient()
	reply, err := client.Do(context.Background(), server.attempt("GET", nil))
	is.NoErr(err)
	_, err = io.ReadFull(reply.Body(), make([]byte, sent))
	is.NoErr(err)
	reply.Close()
	reply, err = client.Do(context.Background(), server.attempt("GET", nil))
	is.NoErr(err)
	body, err := io.ReadAll(reply.Body())
	is.NoErr(err)
	reply.Close()
	is.Equal(string(body), "0123456789")
}
