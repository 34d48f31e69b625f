package httpstorage

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/storage"
)

const (
	defaultTimeout = 2 * time.Second
	maxConns       = 64
)

// Client calls the platform over HTTP. It never sends a call twice.
type Client struct {
	base string
	// kept keeps its connections, fresh opens one for each call.
	kept, fresh *fasthttp.Client
}

var _ storage.Platform = (*Client)(nil)

// errDial marks a failed connection attempt: nothing was sent.
var errDial = eris.New("dial platform")

// NewClient returns a client for a base URL such as http://127.0.0.1:9000.
func NewClient(base string) (*Client, error) {
	if _, err := url.Parse(base); err != nil {
		return nil, eris.Wrap(err, "parse platform URL")
	}
	return &Client{base: base, kept: newHTTPClient(), fresh: newHTTPClient()}, nil
}

func newHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost:           maxConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		Dial: dial,
	}
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, defaultTimeout)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	return &exchangeConn{Conn: conn}, nil
}

// Get returns one row or storage.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (storage.Row, error) {
	rows, err := c.BatchGet(ctx, []string{key})
	if err != nil {
		return storage.Row{}, err
	}
	if len(rows) == 0 {
		return storage.Row{}, storage.ErrNotFound
	}
	return rows[0], nil
}

// BatchGet returns the rows that exist.
func (c *Client) BatchGet(ctx context.Context, keys []string) ([]storage.Row, error) {
	var reply GetReply
	if err := c.call(ctx, fasthttp.MethodPost, PathGet, GetRequest{Keys: keys}, &reply); err != nil {
		return nil, err
	}
	return reply.Rows, nil
}

// Transact applies all writes or none.
func (c *Client) Transact(ctx context.Context, writes []storage.Write) error {
	return c.call(ctx, fasthttp.MethodPost, PathTransact, TransactRequest{Writes: writes}, nil)
}

// PutObject stores data under the key.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	_, err := c.do(ctx, fasthttp.MethodPut, PathObjects+key, data)
	return err
}

// GetObject returns the data or storage.ErrNotFound.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, fasthttp.MethodGet, PathObjects+key, nil)
}

// DeleteObject removes the object.
func (c *Client) DeleteObject(ctx context.Context, key string) error {
	_, err := c.do(ctx, fasthttp.MethodDelete, PathObjects+key, nil)
	return err
}

// ListVMs returns the platform's list.
func (c *Client) ListVMs(ctx context.Context) ([]storage.VM, error) {
	var reply VMsReply
	if err := c.call(ctx, fasthttp.MethodGet, PathVMs, nil, &reply); err != nil {
		return nil, err
	}
	return reply.VMs, nil
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var data []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		data = encoded
	}
	reply, err := c.do(ctx, method, path, data)
	if err != nil || out == nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(reply, out), "decode response")
}

func (c *Client) do(ctx context.Context, method, path string, data []byte) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.base + path)
	request.SetBodyRaw(data)
	err := c.kept.DoDeadline(request, response, deadline(ctx))
	if errors.Is(err, errNotReusable) {
		request.SetConnectionClose()
		err = c.fresh.DoDeadline(request, response, deadline(ctx))
	}
	if err != nil {
		return nil, classify(err)
	}
	if err := statusError(response.StatusCode()); err != nil {
		return nil, err
	}
	return append([]byte(nil), response.Body()...), nil
}

func deadline(ctx context.Context) time.Time {
	if at, ok := ctx.Deadline(); ok {
		return at
	}
	return time.Now().Add(defaultTimeout)
}

func classify(err error) error {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return eris.Wrap(storage.ErrUnavailable, err.Error())
	}
	return eris.Wrap(storage.ErrUnknown, err.Error())
}

func statusError(status int) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusNoContent:
		return nil
	case fasthttp.StatusNotFound:
		return storage.ErrNotFound
	case fasthttp.StatusConflict:
		return storage.ErrConflict
	case fasthttp.StatusRequestEntityTooLarge:
		return storage.ErrTooLarge
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return storage.ErrUnavailable
	}
	return eris.Wrapf(storage.ErrUnknown, "unexpected status %d", status)
}
