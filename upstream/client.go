// Package upstream sends attempts to engines and plain services. It never retries
// a call itself, and its errors state reliably whether an attempt may have run.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/textproto"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/openconn"
)

const (
	dialTimeout      = 2 * time.Second
	maxConnsPerHost  = 1024
	maxResponseBytes = 64 << 20
	// HeaderAttempt carries the attempt ID to an engine or service. An upstream that
	// returns it in its responses keeps its connections.
	HeaderAttempt = "X-Attempt-ID"
	// HeaderPriority carries the request's priority to an engine.
	HeaderPriority = "X-Request-Priority"
	// HeaderCacheSalt limits the sharing of prefix cache entries: an engine uses an
	// entry only for requests with the salt that the entry was created with.
	HeaderCacheSalt = "X-Cache-Salt"
	// HeaderOwner identifies the entry node process that receives an engine's stream.
	HeaderOwner = "X-Wigeontiller-Owner"
	// HeaderNotRun is set by an upstream that refused an attempt without executing it.
	HeaderNotRun = "X-Not-Run"
	// chunkedLength is the length that the HTTP library reports for a body in chunks; it
	// is lower for a body that ends with its connection.
	chunkedLength = -1
)

// headerAttemptCanonical is HeaderAttempt as the HTTP library writes the name of a received field.
var headerAttemptCanonical = textproto.CanonicalMIMEHeaderKey(HeaderAttempt)

// Errors of attempts.
var (
	// ErrNotSent is returned when no byte of the attempt reached the upstream.
	ErrNotSent = eris.New("attempt not sent")
	// ErrRefused is returned when the upstream stated that it did not execute the attempt.
	ErrRefused = eris.New("attempt refused by the upstream")
	// ErrIncomplete is returned when the attempt may have run and has no complete response.
	ErrIncomplete = eris.New("attempt broken off")
)

// Attempt is one call to one upstream.
type Attempt struct {
	// ID is unique among all attempts.
	ID      string
	Address string
	Method  string
	// Path holds the path and the query.
	Path     string
	Header   map[string]string
	Body     []byte
	Deadline time.Time
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Reply is an upstream's response. Close must be called after the last read.
type Reply struct {
	Status int
	Header map[string]string
	// Fields holds every header field, including repeated ones.
	Fields   []Field
	response *fasthttp.Response
	conn     *trackedConn
	body     *trackedBody
	// identified is true if the response carries the attempt's ID.
	identified bool
}

// Body returns the response body as it arrives.
func (r *Reply) Body() io.Reader {
	return r.body
}

// EndedByClose reports whether the body had no framing, so that only the end of the
// connection ended it: it may be cut short. It is valid once the body was read to its end.
func (r *Reply) EndedByClose() bool {
	return !r.body.framed
}

// Close releases the connection. It is closed unless the response was read to its end
// and carries the attempt's ID: the next attempt would read the remainder of this
// response, or could not tell a late response to this attempt from its own.
func (r *Reply) Close() {
	stream, ok := r.response.BodyStream().(fasthttp.ReadCloserWithError)
	switch {
	case r.identified && r.body.ended:
		r.conn.reusable.Store(true)
		_ = r.response.CloseBodyStream()
	case ok:
		_ = stream.CloseWithError(errNotReusable)
	}
}

// trackedBody records whether the end of the response body was read.
type trackedBody struct {
	reader io.Reader
	conn   *trackedConn
	// framed is true if the response has a length or is in chunks.
	framed bool
	ended  bool
}

// Read reads the response body. The HTTP library also reports io.EOF when the
// connection ends between two chunks or before the length of a long body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		if b.framed && b.conn.ended.Load() {
			return n, io.ErrUnexpectedEOF
		}
		b.ended = true
	}
	return n, err
}

// Client holds the connections to all upstreams. The mutex guards only hosts.
type Client struct {
	mutex sync.Mutex
	hosts map[string]*fasthttp.HostClient
	open  openconn.Set
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{hosts: map[string]*fasthttp.HostClient{}}
}

// noRetry disables all automatic retries of the HTTP library.
func noRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func (c *Client) host(address string) *fasthttp.HostClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.hosts[address] == nil {
		c.hosts[address] = &fasthttp.HostClient{
			Addr:                      address,
			Dial:                      c.dial,
			MaxConns:                  maxConnsPerHost,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                noRetry,
			StreamResponseBody:        true,
			MaxResponseBodySize:       maxResponseBytes,
			DisablePathNormalizing:    true,
		}
	}
	return c.hosts[address]
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	return conn, nil
}

// Do sends the attempt and returns when the header of the response has arrived. If
// the context ends first, it returns ErrIncomplete and closes the late response.
// Errors: ErrNotSent, ErrRefused, ErrIncomplete.
func (c *Client) Do(ctx context.Context, attempt *Attempt) (*Reply, error) {
	type result struct {
		reply *Reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply, err := c.do(attempt)
		done <- result{reply, err}
	}()
	select {
	case got := <-done:
		return got.reply, got.err
	case <-ctx.Done():
		go func() {
			if got := <-done; got.reply != nil {
				got.reply.Close()
			}
		}()
		return nil, ErrIncomplete
	}
}

func (c *Client) do(attempt *Attempt) (*Reply, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(attempt.Method)
	request.SetRequestURI("http://" + attempt.Address + attempt.Path)
	for name, value := range attempt.Header {
		request.Header.Set(name, value)
	}
	request.Header.Set(HeaderAttempt, attempt.ID)
	request.SetBodyRaw(attempt.Body)
	response := new(fasthttp.Response)
	err := c.send(request, response, attempt)
	if err != nil {
		return nil, classify(err)
	}
	reply := newReply(response)
	if err := reply.identify(attempt.ID); err != nil {
		reply.Close()
		return nil, err
	}
	if _, refused := reply.Header[HeaderNotRun]; refused {
		reply.Close()
		return nil, ErrRefused
	}
	return reply, nil
}

// send takes another connection if the one that it was given must not be used again.
// Nothing was sent on that one.
func (c *Client) send(request *fasthttp.Request, response *fasthttp.Response, attempt *Attempt) error {
	for {
		err := c.host(attempt.Address).DoDeadline(request, response, attempt.Deadline)
		if !errors.Is(err, errNotReusable) {
			return err
		}
	}
}

// identify checks that the response is that of the attempt. The place of a response
// proves it only on a fresh connection: on one that carried another response, a late
// response to an earlier attempt may be in its place. Errors: ErrIncomplete.
func (r *Reply) identify(attemptID string) error {
	id, found := r.Header[headerAttemptCanonical]
	r.identified = found && id == attemptID
	reused := r.conn.reused.Load()
	switch {
	case found && !r.identified:
		return eris.Wrap(ErrIncomplete, "the response is that of another attempt")
	case !found && reused:
		return eris.Wrap(ErrIncomplete, "the response on a reused connection has no attempt ID")
	case r.Status < fasthttp.StatusOK:
		// The HTTP library would read the final response as that of the next attempt.
		r.identified = false
		return eris.Wrap(ErrIncomplete, "interim response")
	}
	return nil
}

func classify(err error) error {
	if errors.Is(err, ErrNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return eris.Wrap(ErrNotSent, err.Error())
	}
	return eris.Wrap(ErrIncomplete, err.Error())
}

func newReply(response *fasthttp.Response) *Reply {
	conn := connOf(response)
	reply := &Reply{
		Status:   response.StatusCode(),
		Header:   map[string]string{},
		response: response,
		conn:     conn,
		body:     &trackedBody{reader: response.BodyStream(), conn: conn, framed: response.Header.ContentLength() >= chunkedLength},
	}
	if response.BodyStream() == nil {
		reply.body.reader = bytes.NewReader(response.Body())
		reply.body.framed = true
	}
	for name, value := range response.Header.All() {
		reply.Header[string(name)] = string(value)
		reply.Fields = append(reply.Fields, Field{Name: string(name), Value: string(value)})
	}
	return reply
}

// Cancel requests that an engine end an attempt, and reports whether the engine then
// confirms that it no longer has the attempt.
func (c *Client) Cancel(address, attemptID string, deadline time.Time) bool {
	status, err := c.control(fasthttp.MethodDelete, address, "/v1/streams/"+attemptID, deadline)
	if err != nil || status >= fasthttp.StatusInternalServerError {
		return false
	}
	status, err = c.control(fasthttp.MethodGet, address, "/v1/streams/"+attemptID, deadline)
	return err == nil && status == fasthttp.StatusNotFound
}

func (c *Client) control(method, address, path string, deadline time.Time) (int, error) {
	reply, err := c.do(&Attempt{ID: "control-" + uuid.NewString(), Address: address, Method: method, Path: path, Deadline: deadline})
	if err != nil {
		return 0, err
	}
	defer reply.Close()
	_, err = io.Copy(io.Discard, reply.body)
	return reply.Status, err
}
