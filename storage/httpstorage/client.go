package httpstorage

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/upstream/directhttp"
)

const (
	defaultTimeout = 2 * time.Second
	// maxConns bounds the calls that are under way at a time, each on a connection of its own.
	maxConns = 64
	// maxIdleTime is how long a connection may have been idle when it is used again.
	maxIdleTime = 10 * time.Second
	// maxResponseBytes bounds a response's body: the platform's largest object.
	maxResponseBytes = 64 << 20
	// callBase is the base of the numbers in a call's ID.
	callBase = 36
)

// Client calls the platform over HTTP. It never sends a call twice, and believes a response by the ID of its call.
type Client struct {
	base, address string
	pool          *directhttp.Pool
	slots         chan struct{}
	// process and calls make the IDs of calls, which are unique over nodes and restarts.
	process string
	calls   atomic.Uint64
}

var _ storage.Platform = (*Client)(nil)

// NewClient returns a client for a base URL such as http://127.0.0.1:9000.
func NewClient(base string) (*Client, error) {
	return newClient(base, &tls.Config{MinVersion: tls.VersionTLS12})
}

func newClient(base string, config *tls.Config) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, eris.Wrap(err, "parse platform URL")
	}
	c := &Client{
		base: base, pool: directhttp.NewPool(defaultTimeout, nil), slots: make(chan struct{}, maxConns),
		process: strconv.FormatUint(rand.Uint64(), callBase),
	}
	c.pool.MaxIdlePerAddress = maxConns
	port := "80"
	if parsed.Scheme == "https" {
		port = "443"
		// The pool can't look into such a connection for bytes that belong to no call, and uses each once.
		c.pool.DialContext = (&tls.Dialer{Config: config}).DialContext
	}
	if parsed.Port() != "" {
		port = parsed.Port()
	}
	c.address = net.JoinHostPort(parsed.Hostname(), port)
	return c, nil
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
	asked := make(map[string]bool, len(keys))
	for _, key := range keys {
		asked[key] = true
	}
	for _, row := range reply.Rows {
		if !asked[row.Key] {
			return nil, eris.Wrapf(storage.ErrUnknown, "the platform returned a row that was not asked for: %q", row.Key)
		}
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
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return nil, eris.Wrap(storage.ErrUnavailable, "too many calls at a time")
	}
	if _, bounded := ctx.Deadline(); !bounded {
		limited, cancel := context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
		ctx = limited
	}
	status, body, err := c.exchange(ctx, method, path, data)
	if errors.Is(err, directhttp.ErrNotSent) {
		return nil, eris.Wrap(storage.ErrUnavailable, err.Error())
	}
	if err != nil {
		return nil, eris.Wrap(storage.ErrUnknown, err.Error())
	}
	if err := statusError(status); err != nil {
		return nil, err
	}
	return body, nil
}

// exchange sends a call once and returns its response.
func (c *Client) exchange(ctx context.Context, method, path string, data []byte) (int, []byte, error) {
	id := c.process + "-" + strconv.FormatUint(c.calls.Add(1), callBase)
	encoded, err := c.encode(method, path, id, data)
	if err != nil {
		return 0, nil, eris.Wrap(directhttp.ErrNotSent, err.Error())
	}
	conn, err := c.pool.Get(ctx, c.address, maxIdleTime)
	if err != nil {
		return 0, nil, err
	}
	carried := conn.Carried
	reply, err := c.pool.Send(ctx, conn, &directhttp.Request{
		Method: method, Head: encoded,
		Matches: func(_ int, header http.Header) bool {
			echo := header.Get(HeaderCall)
			// On a connection that has carried a call, a response without an ID may be a late one.
			return echo == id || echo == "" && !carried
		},
	})
	if err != nil {
		return 0, nil, err
	}
	if reply.CloseDelimited {
		reply.Abort()
		return 0, nil, eris.Wrap(directhttp.ErrIncomplete, "only the closed connection marks the end of the response")
	}
	body, err := reply.ReadAll(maxResponseBytes)
	if err != nil || reply.Header.Get(HeaderCall) == "" {
		// A platform that repeats no IDs could send a late response that can't be told from the next one.
		reply.Abort()
		return reply.Status, body, err
	}
	reply.Finish()
	return reply.Status, body, nil
}

// encode returns the bytes of a call.
func (c *Client) encode(method, path, id string, data []byte) ([]byte, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.base + path)
	request.Header.Set(HeaderCall, id)
	request.SetBodyRaw(data)
	var encoded bytes.Buffer
	if _, err := request.WriteTo(&encoded); err != nil {
		return nil, eris.Wrap(err, "encode call")
	}
	return encoded.Bytes(), nil
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
