package connguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/memorybudget"
)

// guardedServer is a server behind a guard.
type guardedServer struct {
	guard   *Guard
	budget  *memorybudget.Budget
	address string

	mutex sync.Mutex
	ends  map[string]int
}

func serve(t *testing.T, limit int64, max int, handler http.HandlerFunc) *guardedServer {
	t.Helper()
	s := &guardedServer{budget: memorybudget.New(limit), ends: map[string]int{}}
	s.guard = New(s.budget, time.Minute, func(reason, _ string) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.ends[reason]++
	})
	l, err := s.guard.Listen("callers", "127.0.0.1:0", max, false)
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: handler, ConnState: s.guard.TrackState, ConnContext: ConnContext, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
		s.eventually(t, "bytes are still counted after the end", func() bool { return s.budget.State().Held == 0 })
	})
	return s
}

func (s *guardedServer) ended(reason string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ends[reason]
}

func (s *guardedServer) eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: %+v, open %v", what, s.budget.State(), s.guard.Open())
		}
	}
}

func (s *guardedServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status returns the status line of the next response, or the error.
func status(conn net.Conn) string {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(line)
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func TestHalfSentHeadsMakeRoomForNewConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, 64<<20, 20, answer)
	for range 20 {
		s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\nX-Never")
	}
	time.Sleep(2 * fullLateness)
	for range 10 {
		is.Equal(status(s.dial(t, get)), "HTTP/1.1 200 OK")
	}
	is.True(s.ended("place_taken") > 0)
}

// TestCrowdThatComesAtOnceDelaysOthersOnly guards against new connections that are reset while nobody of a crowd is
// late yet.
func TestCrowdThatComesAtOnceDelaysOthersOnly(t *testing.T) {
	is := is.New(t)
	s := serve(t, 64<<20, 20, answer)
	for range 20 {
		s.dial(t, "")
	}
	started := time.Now()
	is.Equal(status(s.dial(t, get)), "HTTP/1.1 200 OK")
	t.Logf("served after %v", time.Since(started))
	is.Equal(s.ended("full"), 0)
}

func TestRequestsBeingServedKeepTheirConnections(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := serve(t, 64<<20, 10, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answer(w, r)
	})
	var conns []net.Conn
	for range 10 {
		conns = append(conns, s.dial(t, get))
	}
	s.eventually(t, "not all are open", func() bool { return s.guard.Open()["callers"] == 10 })
	time.Sleep(2 * fullLateness)
	s.guard.Sweep()
	if refused, err := net.Dial("tcp4", s.address); err == nil {
		is.True(!strings.HasPrefix(status(refused), "HTTP")) // closed without having been read
		_ = refused.Close()
	}
	s.eventually(t, "not refused", func() bool { return s.ended("full") == 1 })
	close(release)
	for _, conn := range conns {
		is.Equal(status(conn), "HTTP/1.1 200 OK")
	}
}

func TestHeadsOfManyShortFieldsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	s := serve(t, 8<<20, 100, answer)
	head := "GET / HTTP/1.1\r\nHost: h\r\n"
	for i := range 2500 {
		head += fmt.Sprintf("%x:\r\n", i)
	}
	for range 90 {
		s.dial(t, head)
	}
	s.eventually(t, "nothing was refused", func() bool { return s.ended("head") > 0 })
	is.True(s.budget.State().Held <= 8<<20)
	is.Equal(status(s.dial(t, get)), "HTTP/1.1 200 OK") // a usual one is served
	for range 20 {
		s.guard.Sweep()
		time.Sleep(SweepInterval / 2)
	}
	is.Equal(status(s.dial(t, head+"\r\n")), "HTTP/1.1 200 OK") // a single one is served in calm
}

func TestCallerThatDoesNotReadIsEndedWhileRoomIsShort(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	s := serve(t, 1<<20, 100, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		ended <- err
	})
	held := s.budget.Open(memorybudget.Connections)
	is.True(held.Grow(600 << 10))
	defer held.Release()
	s.dial(t, get)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && len(ended) == 0; time.Sleep(SweepInterval) {
		s.guard.Sweep()
	}
	select {
	case err := <-ended:
		is.True(err != nil)
	default:
		t.Fatal("the answer is still being written")
	}
	is.Equal(s.ended("slow_reading"), 1)
}

func TestBodyOfRefusedRequestIsNotRead(t *testing.T) {
	is := is.New(t)
	s := serve(t, 64<<20, 100, func(w http.ResponseWriter, r *http.Request) {
		Refuse(w, r)
		w.WriteHeader(http.StatusNotFound)
	})
	for _, text := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nshort", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n",
	} {
		conn := s.dial(t, text)
		started := time.Now()
		reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(reply.StatusCode, http.StatusNotFound)
		is.True(reply.Close)
		_ = reply.Body.Close()
		_, err = conn.Read(make([]byte, 1))
		is.True(err != nil) // closed
		is.True(time.Since(started) < 5*time.Second)
	}
	// An ordinary caller that is refused keeps its connection.
	conn := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nwhole")
	reader := bufio.NewReader(conn)
	for range 3 {
		reply, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.True(!reply.Close)
		_ = reply.Body.Close()
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nwhole")
		is.NoErr(err)
	}
}

// TestRequestsSentAheadAreBounded guards against callers that send requests without reading the answers.
func TestRequestsSentAheadAreBounded(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := serve(t, 1<<20, 100, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answer(w, r)
	})
	var conns []net.Conn
	for range 20 {
		conns = append(conns, s.dial(t, strings.Repeat(get, 400)))
	}
	s.eventually(t, "not refused", func() bool { return s.budget.State().Refusals["heads"] > 0 })
	is.True(s.budget.State().Held <= 1<<20)
	close(release)
	for _, conn := range conns {
		is.Equal(status(conn), "HTTP/1.1 200 OK") // the first was read
	}
}
