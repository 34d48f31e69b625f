package directhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// inlineBytes is up to where a request is written before its answer is read;
	// a longer one is written beside, since a peer may answer early.
	inlineBytes = 16 << 10
	// maxForeign bounds the late answers to other requests that are passed over.
	maxForeign = 3
	// maxSkippedBytes bounds the body of such an answer.
	maxSkippedBytes = 1 << 20
)

// Request is one exchange, encoded.
type Request struct {
	Method string
	// Bytes are the head and the body.
	Bytes []byte
	// Matches reports whether an answer's header belongs to this request. Others
	// are passed over: a peer may answer an earlier request late.
	Matches func(status int, header http.Header) bool
}

// Reply is an answer whose header has come. Exactly one of Finish and Abort is
// called, when the reader is done with Body.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// CloseDelimited answers end with their connection.
	CloseDelimited bool

	conn     *Conn
	pool     *Pool
	response *http.Response
	written  <-chan error
	stop     func() bool
}

// Send writes the request and returns when the header of its answer is there.
// The context bounds the whole exchange: when it ends, the connection is closed.
// Errors: ErrNotSent, ErrBroken.
func (p *Pool) Send(ctx context.Context, conn *Conn, request *Request) (*Reply, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	written, err := write(conn, request.Bytes)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response, err := answer(conn, request) //nolint:bodyclose // Finish and Abort end the exchange with its connection.
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, eris.Wrap(ErrIncomplete, err.Error())
	}
	reply := &Reply{
		Status: response.StatusCode, Header: response.Header, Body: response.Body,
		CloseDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		conn:           conn, pool: p, response: response, written: written, stop: stop,
	}
	return reply, nil
}

// write sends the bytes, beside the reading of the answer when they are many.
func write(conn *Conn, data []byte) (<-chan error, error) {
	done := make(chan error, 1)
	if len(data) > inlineBytes {
		go func() {
			_, err := conn.Write(data)
			done <- err
		}()
		return done, nil
	}
	n, err := conn.Write(data)
	if err == nil {
		done <- nil
		return done, nil
	}
	if n == 0 {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return nil, eris.Wrap(ErrIncomplete, err.Error())
}

func answer(conn *Conn, request *Request) (*http.Response, error) {
	of := &http.Request{Method: request.Method}
	for range maxForeign {
		response, err := http.ReadResponse(conn.reader, of)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches(response.StatusCode, response.Header) {
			return response, nil
		}
		if response.Close {
			return nil, errForeign
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

var errForeign = eris.New("answer to another request")

// Finish ends an exchange whose body was read to its end. The connection is kept
// only when nothing speaks against it.
func (r *Reply) Finish() {
	live := r.stop()
	clean := live && !r.response.Close && !r.CloseDelimited && r.conn.reader.Buffered() == 0
	select {
	case err := <-r.written:
		clean = clean && err == nil
	default:
		clean = false
	}
	if !clean {
		_ = r.conn.Close()
		return
	}
	r.conn.keepFor = keepAlive(r.Header.Get("Keep-Alive"))
	r.pool.Keep(r.conn)
}

// Abort closes the connection.
func (r *Reply) Abort() {
	r.stop()
	_ = r.conn.Close()
}

// keepAlive reads the timeout of a Keep-Alive header; 0 is none.
func keepAlive(value string) time.Duration {
	for _, field := range strings.Split(value, ",") {
		name, seconds, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if parsed, err := strconv.Atoi(seconds); err == nil && parsed > 0 {
			return time.Duration(parsed) * time.Second
		}
	}
	return 0
}

// ReadAll reads the whole body, at most limit bytes. Errors: ErrBroken.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.New("body over the limit")
	}
	if err != nil {
		return nil, eris.Wrap(ErrIncomplete, err.Error())
	}
	return body, nil
}
