package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// scriptedResponse returns what a server writes for a request: its number on the connection and its attempt ID are
// given. An empty text closes the connection.
type scriptedResponse func(conn, request int, id string) string

// startScriptedServer closes a connection after a response that ends in closeConn.
func startScriptedServer(t *testing.T, script scriptedResponse) *rawServer {
	t.Helper()
	return startRawServer(t, func(_ *rawServer, conn net.Conn, number int) {
		reader := bufio.NewReader(conn)
		for n := 1; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			text, closing := strings.CutSuffix(script(number, n, request.Header.Get(HeaderAttempt)), closeConn)
			_, _ = io.WriteString(conn, text)
			if closing {
				return
			}
		}
	})
}

const closeConn = "(close)"

func okWith(id, body string) string {
	head := "HTTP/1.1 200 OK\r\n"
	if id != "" {
		head += HeaderAttempt + ": " + id + "\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func (s *rawServer) call(client *Client, id string) (body string, err error) {
	attempt := s.attempt(http.MethodGet, nil)
	attempt.ID = id
	reply, err := client.Do(context.Background(), attempt)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	text, err := io.ReadAll(reply.Body())
	return string(text), err
}

// A late response to an earlier attempt must not be taken for that of the attempt which follows on its connection.
func TestLateResponseOnReusedConnectionIsNotBelieved(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, late := range map[string]string{
		"refusal without ID":      refusal,
		"refusal with another ID": strings.Replace(refusal, "X-Not-Run", "X-Attempt-ID: first\r\nX-Not-Run", 1),
		"failure without ID":      "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nlate",
		"404 without ID":          "HTTP/1.1 404 X\r\nContent-Length: 4\r\n\r\nlate",
		"200 without ID":          okWith("", "late"),
		"200 with another ID":     okWith("first", "late"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScriptedServer(t, func(_, request int, id string) string {
				if request > 1 {
					return late
				}
				return okWith(id, "first")
			})
			client := NewClient()
			defer client.Close()
			body, err := server.call(client, "first")
			is.NoErr(err)
			is.Equal(body, "first")
			body, err = server.call(client, "second")
			is.True(errors.Is(err, ErrIncomplete)) // the second attempt may have run and has no response of its own
			is.Equal(body, "")
			client.Close()
			server.stop()
		})
	}
}

// A connection whose upstream does not identify its responses must not be used for another attempt.
func TestConnectionOfResponseWithoutIDIsNotReused(t *testing.T) {
	for name, text := range map[string]string{
		"body":    okWith("", "x"),
		"no body": "HTTP/1.1 204 X\r\n\r\n",
		"refused": "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScriptedServer(t, func(_, _ int, _ string) string { return text })
			client := NewClient()
			defer client.Close()
			for n := 1; n <= 3; n++ {
				_, err := server.call(client, fmt.Sprint(n))
				is.Equal(err == nil, name != "refused")
				is.True(err == nil || errors.Is(err, ErrRefused)) // a refusal on a fresh connection is believed
				conns, _ := server.counts()
				is.Equal(conns, n)
			}
			client.Close()
			server.stop()
		})
	}
}

func TestConnectionOfIdentifiedResponsesIsReused(t *testing.T) {
	is := is.New(t)
	server := startScriptedServer(t, func(_, _ int, id string) string { return okWith(id, "x") })
	client := NewClient()
	for n := range 3 {
		_, err := server.call(client, fmt.Sprint(n))
		is.NoErr(err)
	}
	conns, _ := server.counts()
	is.Equal(conns, 1)
	client.Close()
	server.stop()
}

// An interim response must not be taken for the response.
func TestInterimResponseIsNotDelivered(t *testing.T) {
	is := is.New(t)
	server := startScriptedServer(t, func(_, _ int, id string) string {
		return "HTTP/1.1 103 X\r\n" + HeaderAttempt + ": " + id + "\r\n\r\n" + okWith(id, "x")
	})
	client := NewClient()
	_, err := server.call(client, "first")
	is.True(errors.Is(err, ErrIncomplete))
	client.Close()
	server.stop()
}

// A connection that closes inside a framed body must not end it as complete.
func TestFramedBodyCutShortIsNotComplete(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"no chunk":                   chunked,
		"after a chunk":              chunked + "3\r\nabc\r\n",
		"inside a chunk":             chunked + "3\r\na",
		"before the chunk's end":     chunked + "3\r\nabc",
		"inside the last chunk":      chunked + "3\r\nabc\r\n0",
		"before the last line":       chunked + "3\r\nabc\r\n0\r\n",
		"short of length":            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
		"short of a length not kept": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nabc", maxResponseBytes+1),
		"inside the head":            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := startScriptedServer(t, func(_, _ int, _ string) string { return text + closeConn })
			client := NewClient()
			body, err := server.call(client, "first")
			if err == nil {
				t.Errorf("complete with body %q", body)
			}
			client.Close()
			server.stop()
		})
	}
}
