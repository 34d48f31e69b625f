package directhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxInlineWriteBytes is the maximum size of a request that is written before its
	// response is read. A longer one is written concurrently, since a peer may respond
	// before it has read everything.
	maxInlineWriteBytes = 16 << 10
	// maxForeignResponses is the maximum number of responses that are read in search of
	// the request's own, skipping interim responses and late ones to other requests.
	maxForeignResponses = 3
	// maxSkippedBytes is the maximum body size of a skipped response.
	maxSkippedBytes = 1 << 20
	// writeEndTimeout bounds the wait for the end of the write after a body has ended with its connection. A peer that has closed
	// the connection refuses the next bytes within a round trip.
	writeEndTimeout = time.Second
)

// Request is an encoded HTTP request.
type Request struct {
	// ID is what the peer repeats in the response; empty is none.
	ID     string
	Method string
	// Head holds the request line and the header; it may hold a short body too.
	Head []byte
	// Body holds the rest of the body, in pieces. They are read until the exchange has ended, and not copied.
	Body [][]byte
	// Matches reports whether a response with this status and header belongs to the
	// request. Others are skipped: a peer may respond late to an earlier request.
	Matches func(status int, header http.Header) bool
	// MayWrite is asked just before the first byte is written, after a connection was
	// dialed and the process may have been paused; nil is always.
	MayWrite func() bool
}

// Reply is a response whose header has arrived. Exactly one of Finish and Abort must
// be called, after the last read of Body.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// CloseDelimited is true when the end of the connection marks the end of the body.
	CloseDelimited bool
	// Chunked is true if the body came in chunks.
	Chunked bool
	// Reused is true if the connection had carried an earlier exchange.
	Reused bool
	// Skipped is the number of responses before it that belong to other requests.
	Skipped int

	conn     *Conn
	pool     *Pool
	response *http.Response
	// rest holds what follows the response, besides the connection's reader.
	rest    *bufio.Reader
	written <-chan error
	stop    func() bool
}

// Send writes the request and returns when the header of its response has arrived.
// The context bounds the whole exchange: when it ends, the connection is closed.
// Errors: ErrNotSent, ErrNotPermitted, ErrIncomplete, ErrTimedOut.
func (p *Pool) Send(ctx context.Context, conn *Conn, request *Request) (*Reply, error) {
	if request.MayWrite != nil && !request.MayWrite() {
		_ = conn.Close()
		return nil, eris.Wrap(ErrNotPermitted, "connection closed")
	}
	if request.ID != "" {
		conn.record(request.ID)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	written, err := write(conn, request)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response, rest, skipped, err := readResponse(conn, request) //nolint:bodyclose // Finish and Abort end the exchange with its connection.
	if err != nil {
		stop()
		_ = conn.Close()
		if errors.Is(err, syscall.ETIMEDOUT) {
			return nil, eris.Wrap(ErrTimedOut, err.Error())
		}
		return nil, eris.Wrap(ErrIncomplete, err.Error())
	}
	reply := &Reply{
		Status: response.StatusCode, Header: response.Header, Body: response.Body,
		CloseDelimited: response.ContentLength < 0 && len(response.TransferEncoding) == 0,
		Chunked:        len(response.TransferEncoding) > 0, Reused: conn.Carried, Skipped: skipped,
		conn: conn, pool: p, response: response, rest: rest, written: written, stop: stop,
	}
	if reply.CloseDelimited {
		reply.Body = &closeDelimitedBody{reader: response.Body, written: written}
	}
	return reply, nil
}

// closeDelimitedBody is a body that ends with its connection. A reset may be reported to the concurrent write of the
// request alone, so that the body is complete only if the request was written.
type closeDelimitedBody struct {
	reader  io.Reader
	written <-chan error
	// end is what Read returns after the end.
	end error
}

// Read implements io.Reader. Errors besides those of the connection: errRequestNotWritten.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.end = b.atEnd()
		err = b.end
	}
	return n, err
}

// atEnd returns io.EOF if the body is complete.
func (b *closeDelimitedBody) atEnd() error {
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case err := <-b.written:
		if err == nil {
			return io.EOF
		}
		return eris.Wrap(errRequestNotWritten, err.Error())
	case <-timer.C:
		return errRequestNotWritten
	}
}

// errRequestNotWritten is returned for a body that ended with its connection before the request was written.
var errRequestNotWritten = eris.New("connection ended before the request was written")

// write writes the request, concurrently with the reading of the response if it is
// longer than maxInlineWriteBytes. The channel receives the result of the write.
func write(conn *Conn, request *Request) (<-chan error, error) {
	done := make(chan error, 1)
	size := len(request.Head)
	for _, piece := range request.Body {
		size += len(piece)
	}
	if size > maxInlineWriteBytes {
		go func() { done <- writePieces(conn, request) }()
		return done, nil
	}
	data := request.Head
	if len(request.Body) > 0 {
		// One short write is one packet.
		data = slices.Concat(append([][]byte{request.Head}, request.Body...)...)
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

// writePieces writes the head and each piece of the body as it is held.
func writePieces(conn *Conn, request *Request) error {
	if _, err := conn.Write(request.Head); err != nil {
		return err
	}
	for _, piece := range request.Body {
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// readResponse returns the first final response that belongs to the request, and the number of those
// before it that belong to others. The reader holds what follows it.
func readResponse(conn *Conn, request *Request) (*http.Response, *bufio.Reader, int, error) {
	skipped, rest := 0, conn.reader
	sent := &http.Request{Method: request.Method}
	conn.limit.begin()
	defer conn.limit.end()
	for range maxForeignResponses {
		response, next, err := readHead(rest, sent)
		if err != nil {
			return nil, nil, skipped, err
		}
		rest = next
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Matches(response.StatusCode, response.Header) {
			return response, rest, skipped, nil
		}
		if response.Close {
			return nil, nil, skipped, errForeignResponse
		}
		skipped++
		if err := skipBody(conn, response.Body); err != nil {
			return nil, nil, skipped, err
		}
	}
	return nil, nil, skipped, errForeignResponse
}

// skipBody reads a body to its end; one over maxSkippedBytes is an error.
func skipBody(conn *Conn, body io.Reader) error {
	conn.limit.end()
	defer conn.limit.begin()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	if err == nil && n > maxSkippedBytes {
		err = errForeignResponse
	}
	return err
}

var errForeignResponse = eris.New("response belongs to another request")

// Finish ends an exchange whose body was read to its end. The connection is reused only
// if the context has not ended, the request was written completely, the body had a
// length or was chunked, no bytes followed it, and the peer does not close the connection.
func (r *Reply) Finish() {
	open := r.stop()
	reusable := open && !r.response.Close && !r.CloseDelimited && r.rest.Buffered() == 0 && r.conn.reader.Buffered() == 0
	select {
	case err := <-r.written:
		reusable = reusable && err == nil
	default:
		reusable = false
	}
	if !reusable {
		_ = r.conn.Close()
		return
	}
	r.conn.Carried = true
	r.conn.peerIdleTimeout = keepAliveTimeout(r.Header.Get("Keep-Alive"))
	r.pool.Put(r.conn)
}

// Abort ends the exchange and closes the connection.
func (r *Reply) Abort() {
	r.stop()
	_ = r.conn.Close()
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, or 0 if it has none.
func keepAliveTimeout(value string) time.Duration {
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

// ReadAll reads the complete body; one over limit bytes is an error. Errors: ErrIncomplete.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.New("response body exceeds the size limit")
	}
	if err != nil {
		return nil, eris.Wrap(ErrIncomplete, err.Error())
	}
	return body, nil
}
