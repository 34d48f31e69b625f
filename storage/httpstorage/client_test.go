package httpstorage

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/storage"
)

// respond writes what a raw platform answers to the request with this number on a connection, from 0.
type respond func(conn net.Conn, number int, request *http.Request)

// startRawPlatform serves requests by a script and returns a client for it.
func startRawPlatform(t *testing.T, answer respond) *Client {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, answer)
		}
	}()
	client, err := NewClient("http://" + listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func serveRaw(conn net.Conn, answer respond) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer(conn, number, request)
		if request.Close {
			return
		}
	}
}

func response(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// own is a response that bears the ID of its call.
func own(request *http.Request, status int, body string) string {
	return responseTo(request.Header.Get(HeaderCall), status, body)
}

func responseTo(id string, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nCall-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

func rowBody(key string) string {
	return fmt.Sprintf(`{"rows":[{"key":%q,"version":1,"value":""}]}`, key)
}

// write sends an answer. It fails only if the client has disconnected.
func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// TestExtraResponseIsNotTakenForNextCalls guards against a second copy of an answer that arrives after
// the first was read: every later call on the connection got the answer of the call before it.
func TestExtraResponseIsNotTakenForNextCalls(t *testing.T) {
	for name, form := range map[string]func(request *http.Request, status int, body string) string{
		"without ID": func(_ *http.Request, status int, body string) string { return response(status, body) },
		"own ID":     own,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := startRawPlatform(t, func(conn net.Conn, number int, request *http.Request) {
				write(conn, form(request, http.StatusOK, rowBody("a")))
				if number == 0 {
					time.Sleep(20 * time.Millisecond)
					write(conn, form(request, http.StatusOK, `{"rows":[]}`))
				}
			})
			for range 3 {
				row, err := client.Get(t.Context(), "a")
				is.NoErr(err)
				is.Equal(row.Key, "a")
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
}

// TestConnectionIsReusedAfterTheDeadlineOfItsCall guards against a connection for each call that comes
// later than the deadline of the one before it.
func TestConnectionIsReusedAfterTheDeadlineOfItsCall(t *testing.T) {
	is := is.New(t)
	numbers := make(chan int, 2)
	client := startRawPlatform(t, func(conn net.Conn, number int, request *http.Request) {
		numbers <- number
		write(conn, own(request, http.StatusOK, rowBody("a")))
	})
	for want := range 2 {
		const timeout = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		_, err := client.Get(ctx, "a")
		cancel()
		is.NoErr(err)
		is.Equal(<-numbers, want)
		time.Sleep(timeout + 20*time.Millisecond)
	}
}

// TestLateSuccessIsNotTakenForWrite guards against two nodes that both hold a claim: the answer to an
// earlier write arrives where that to the next one is expected.
func TestLateSuccessIsNotTakenForWrite(t *testing.T) {
	for name, call := range map[string]func(*Client) error{
		"transaction": func(c *Client) error { return c.Transact(t.Context(), []storage.Write{{Key: "claim"}}) },
		"object":      func(c *Client) error { return c.PutObject(t.Context(), "result", []byte("x")) },
		"deletion":    func(c *Client) error { return c.DeleteObject(t.Context(), "result") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			client := startRawPlatform(t, func(conn net.Conn, number int, _ *http.Request) {
				if calls.Add(1) == 1 || number > 0 {
					write(conn, response(http.StatusOK, ""))
				}
				if calls.Load() > 1 {
					write(conn, response(http.StatusConflict, ""))
				}
			})
			is.NoErr(call(client))
			is.True(errors.Is(call(client), storage.ErrConflict))
		})
	}
}

// TestLateObjectIsNotTakenForAnother guards against the stored result of another request.
func TestLateObjectIsNotTakenForAnother(t *testing.T) {
	is := is.New(t)
	client := startRawPlatform(t, func(conn net.Conn, number int, request *http.Request) {
		if number > 0 {
			write(conn, response(http.StatusOK, "one"))
		}
		write(conn, response(http.StatusOK, request.URL.Path[len(PathObjects):]))
	})
	for _, key := range []string{"one", "two"} {
		data, err := client.GetObject(t.Context(), key)
		is.NoErr(err)
		is.Equal(string(data), key)
	}
}

// TestRowsOfOtherKeysAreNotTakenForAnswer guards against rows of an earlier read.
func TestRowsOfOtherKeysAreNotTakenForAnswer(t *testing.T) {
	is := is.New(t)
	client := startRawPlatform(t, func(conn net.Conn, number int, _ *http.Request) {
		write(conn, response(http.StatusOK, rowBody("a")))
		if number > 0 {
			write(conn, response(http.StatusOK, rowBody("b")))
		}
	})
	_, err := client.Get(t.Context(), "a")
	is.NoErr(err)
	_, err = client.Get(t.Context(), "b")
	is.True(errors.Is(err, storage.ErrUnknown))
}

// TestLateResponseOnKeptConnectionIsSkipped guards against the same on connections that carry many calls: a copy of
// the response to an earlier one, or one that bears no ID, comes first.
func TestLateResponseOnKeptConnectionIsSkipped(t *testing.T) {
	is := is.New(t)
	var ids []string
	kept := 0
	client := startRawPlatform(t, func(conn net.Conn, number int, request *http.Request) {
		if number > 0 {
			kept++
			write(conn, responseTo(ids[len(ids)-1], http.StatusOK, "another's"))
			write(conn, response(http.StatusOK, "whose"))
		}
		ids = append(ids, request.Header.Get(HeaderCall))
		status, body := http.StatusConflict, ""
		if request.Method == http.MethodGet {
			status, body = http.StatusOK, request.URL.Path[len(PathObjects):]
		}
		write(conn, own(request, status, body))
	})
	for _, key := range []string{"one", "two", "three"} {
		data, err := client.GetObject(t.Context(), key)
		is.NoErr(err)
		is.Equal(string(data), key)
		is.True(errors.Is(client.PutObject(t.Context(), key, []byte("x")), storage.ErrConflict))
		is.True(errors.Is(client.Transact(t.Context(), nil), storage.ErrConflict))
	}
	is.Equal(kept, 8) // one connection
	seen := map[string]bool{}
	for _, id := range ids {
		is.True(id != "" && !seen[id])
		seen[id] = true
	}
}

// TestResponseThatMayBeShortIsNotBelieved guards against a part of an object.
func TestResponseThatMayBeShortIsNotBelieved(t *testing.T) {
	for name, framing := range map[string]string{"no length": "", "longer length": "Content-Length: 9\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := startRawPlatform(t, func(conn net.Conn, _ int, request *http.Request) {
				write(conn, "HTTP/1.1 200 X\r\nCall-Id: "+request.Header.Get(HeaderCall)+"\r\n"+framing+"\r\n")
				if name == "chunks" {
					write(conn, "4\r\npart\r\n")
				} else {
					write(conn, "part")
				}
				_ = conn.Close()
			})
			_, err := client.GetObject(t.Context(), "a")
			is.True(errors.Is(err, storage.ErrUnknown))
		})
	}
}

func TestCallsOverTLS(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderCall, r.Header.Get(HeaderCall))
		_, _ = io.WriteString(w, rowBody("a"))
	}))
	defer server.Close()
	client, err := newClient(server.URL, server.Client().Transport.(*http.Transport).TLSClientConfig)
	is.NoErr(err)
	for range 2 {
		row, err := client.Get(t.Context(), "a")
		is.NoErr(err)
		is.Equal(row.Key, "a")
	}
}

// TestPlatformThatIsDownIsUnavailable tells a call that was not sent from one that may have been applied.
func TestPlatformThatIsDownIsUnavailable(t *testing.T) {
	is := is.New(t)
	client, err := NewClient("http://127.0.0.1:1")
	is.NoErr(err)
	is.True(errors.Is(client.Transact(t.Context(), nil), storage.ErrUnavailable))
}
