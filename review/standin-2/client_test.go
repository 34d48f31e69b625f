package standin2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// whole is true if the answer ended as the protocol says: by its length, its last chunk or, without either, the end of the
	// connection and not a reset.
	whole bool
	// unframed is true if only the end of the connection marked the answer's end.
	unframed bool
	// passedOn is true if the request was written whole and the connection ended without an answer.
	passedOn bool
	err      error
}

// sent is one client attempt.
type sent struct {
	id, method, path, body string
	deadline               time.Duration
	header                 map[string]string
}

const clientKey = "n2ctnfzs989anu6wsjnb"

// send sends a request on a new connection, as the clients of PROTOCOL.md do.
func send(address string, request sent) answer {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(request.deadline + time.Second))
	head := request.method + " " + request.path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + request.id +
		"\r\nX-Deadline-Ms: " + strconv.FormatInt(request.deadline.Milliseconds(), 10) + "\r\nAuthorization: Token " + clientKey + "\r\n"
	for name, value := range request.header {
		head += name + ": " + value + "\r\n"
	}
	if request.method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(request.body)) + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"+request.body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: request.method})
	if err != nil {
		return answer{err: err, passedOn: true}
	}
	got := answer{status: response.StatusCode, header: response.Header, unframed: response.ContentLength < 0 && len(response.TransferEncoding) == 0}
	got.body, got.err = io.ReadAll(response.Body)
	got.whole = got.err == nil
	return got
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	end := "whole"
	if !a.whole {
		end = fmt.Sprintf("broken off (%v)", a.err)
	}
	if errors.Is(a.err, io.ErrUnexpectedEOF) {
		end = "broken off"
	}
	framing := "framed"
	if a.unframed {
		framing = "no length"
	}
	return fmt.Sprintf("status %d, %d bytes, %s, %s, signature %q", a.status, len(a.body), framing, end, a.header.Get("X-Origin-Signature"))
}

var eventLine = regexp.MustCompile(`(?m)^id: (\d+)$`)

// events returns the numbers of the events of a stream.
func (a *answer) events() (numbers []int) {
	for _, found := range eventLine.FindAllSubmatch(a.body, -1) {
		number, _ := strconv.Atoi(string(found[1]))
		numbers = append(numbers, number)
	}
	return numbers
}
