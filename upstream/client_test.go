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
	testPatience = 20 * time.Second
	wholeReply   = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789"
)

// rawServer counts what it reads, and closes each connection at a chosen point.
// The mutex guards the counts.
type rawServer struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    int
	bytes    int
	serve    func(conn net.Conn, number int)
	group    sync.WaitGroup
}

func startRaw(t *testing.T, serve func(s *rawServer, conn net.Conn, number int)) *rawServer {
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
			_ = conn.SetDeadline(time.Now().Add(testPatience))
			s.serve(conn, number)
		})
	}
}

// read takes exactly n bytes of the request, or fewer when there are no more.
func (s *rawServer) read(conn net.Conn, n int) {
	got, _ := io.ReadFull(conn, make([]byte, n))
	s.mutex.Lock()
	s.bytes += got
	s.mutex.Unlock()
}

func (s *rawServer) seen() (conns, bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.conns, s.bytes
}

func (s *rawServer) attempt(method string, body []byte) *Attempt {
	return &Attempt{
		ID: "attempt", Address: s.listener.Addr().String(), Method: method, Path: "/confirm", Body: body,
		Header:   map[string]string{"Idempotency-Key": "key"},
		Deadline: time.Now().Add(testPatience),
	}
}

// requestSize is the number of bytes that the client sends for an attempt.
func requestSize(t *testing.T, method string, body []byte) int {
	t.Helper()
	server := startRaw(t, func(s *rawServer, conn net.Conn, _ int) {
		var seen bytes.Buffer
		request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &seen)))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		s.mutex.Lock()
		s.bytes = seen.Len()
		s.mutex.Unlock()
	})
	_, _ = NewClient().Do(context.Background(), server.attempt(method, body))
	server.stop()
	_, size := server.seen()
	return size
}

// checkOnce sends one attempt and checks that it was sent once, and that
// ErrNotSent is only given when the server read nothing.
func checkOnce(t *testing.T, what string, server *rawServer, method string, body []byte) {
	t.Helper()
	is := is.New(t)
	reply, err := NewClient().Do(context.Background(), server.attempt(method, body))
	if err == nil {
		_, err = io.ReadAll(reply.Body())
		reply.Close()
	}
	server.stop()
	conns, bytes := server.seen()
	if conns != 1 || err == nil || errors.Is(err, ErrNotSent) && bytes > 0 {
		t.Errorf("%s %s: %d connections, %d bytes read, error %v", method, what, conns, bytes, err)
	}
	is.True(!errors.Is(err, ErrRefused)) // a cut is no refusal
}

func TestConnectionClosedAtEveryPoint(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT"} {
		var body []byte
		if method != "GET" {
			body = []byte("a booking of one seat")
		}
		size := requestSize(t, method, body)
		if size < len(body)+20 {
			t.Fatalf("request of %d bytes", size)
		}
		for k := 0; k <= size; k += 7 {
			server := startRaw(t, func(s *rawServer, conn net.Conn, _ int) { s.read(conn, k) })
			checkOnce(t, fmt.Sprintf("closed after %d of %d request bytes", k, size), server, method, body)
		}
		for k := range wholeReply {
			server := startRaw(t, func(s *rawServer, conn net.Conn, _ int) {
				s.read(conn, size)
				_, _ = io.WriteString(conn, wholeReply[:k])
			})
			checkOnce(t, fmt.Sprintf("closed after %d reply bytes", k), server, method, body)
		}
	}
}

// A kept connection that the upstream closes is where HTTP libraries repeat a
// request on their own.
func TestKeptConnectionClosedIsNotRepeated(t *testing.T) {
	is := is.New(t)
	for _, method := range []string{"GET", "POST"} {
		for _, k := range []int{0, 1, 30} {
			size := requestSize(t, method, nil)
			server := startRaw(t, func(s *rawServer, conn net.Conn, _ int) {
				s.read(conn, size)
				_, _ = io.WriteString(conn, wholeReply)
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
			conns, bytes := server.seen()
			is.Equal(conns, 1)                                      // no second connection
			is.True(!errors.Is(err, ErrNotSent) || bytes-size == 0) // not sent means not read
		}
	}
}

func TestNothingListensIsNotSent(t *testing.T) {
	is := is.New(t)
	server := startRaw(t, func(*rawServer, net.Conn, int) {})
	server.stop()
	_, err := NewClient().Do(context.Background(), server.attempt("POST", []byte("body")))
	is.True(errors.Is(err, ErrNotSent))
}

// An answer that was not read to its end must not become the next one's.
func TestUnreadAnswerDoesNotReachTheNextAttempt(t *testing.T) {
	is := is.New(t)
	size := requestSize(t, "GET", nil)
	const sent = 64
	stale := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	server := startRaw(t, func(s *rawServer, conn net.Conn, number int) {
		s.read(conn, size)
		if number > 1 {
			_, _ = io.WriteString(conn, wholeReply)
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
