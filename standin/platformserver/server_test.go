package platformserver

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/httpstorage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

// countingListener counts the connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func startServer(t testing.TB) (*httpstorage.Client, *countingListener) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	app := NewServer(memory.New(), new(fault.Control)).App()
	done := make(chan error, 1)
	go func() { done <- app.Listener(counting) }()
	t.Cleanup(func() {
		_ = app.Shutdown()
		<-done
	})
	client, err := httpstorage.NewClient("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return client, counting
}

// Responses of all kinds bear the ID of their call: a client closes the connection after one that does not.
func TestCallsShareOneConnection(t *testing.T) {
	is := is.New(t)
	client, listener := startServer(t)
	for range 10 {
		_, err := client.Get(t.Context(), "none")
		is.True(errors.Is(err, storage.ErrNotFound))
		_, err = client.GetObject(t.Context(), "none")
		is.True(errors.Is(err, storage.ErrNotFound))
		is.NoErr(client.PutObject(t.Context(), "a/b c", []byte("x")))
		data, err := client.GetObject(t.Context(), "a/b c")
		is.NoErr(err)
		is.Equal(string(data), "x")
		is.NoErr(client.DeleteObject(t.Context(), "a/b c"))
		_, err = client.ListVMs(t.Context())
		is.NoErr(err)
	}
	is.Equal(listener.accepted.Load(), int32(1))
}

func BenchmarkGet(b *testing.B) {
	client, _ := startServer(b)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, err := client.BatchGet(b.Context(), []string{"none"}); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
