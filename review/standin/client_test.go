//go:build review

package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// client sends requests to one node, one after the other on a kept connection.
type client struct {
	http *http.Client
	to   *node
	key  string
}

// result is what a client has seen of one attempt.
type result struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	// kept is true if the connection had carried an earlier request.
	kept bool
	// timedOut is true if the client gave up.
	timedOut bool
	took     time.Duration
}

var attempts atomic.Int64

func newClient(to *node, key string) *client {
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, to.callers)
	}
	return &client{http: &http.Client{Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxConnsPerHost: 1}}, to: to, key: key}
}

// send sends one attempt of a request and waits for the end of its answer.
func (c *client) send(method, path string, body []byte, deadline time.Duration, headers map[string]string) result {
	got := result{id: "at" + strconv.FormatInt(attempts.Add(1), 16)}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { got.kept = info.Reused }})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		got.err = err
		return got
	}
	// net/http would send a request again on another connection.
	request.GetBody = nil
	request.Header.Set("X-Attempt-Id", got.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if c.key != "" {
		request.Header.Set("Authorization", "Token "+c.key)
	}
	for name, value := range headers {
		if value == "" {
			request.Header.Del(name)
		} else {
			request.Header.Set(name, value)
		}
	}
	started := time.Now()
	response, err := c.http.Do(request)
	if err == nil {
		got.status, got.header = response.StatusCode, response.Header
		got.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	got.err, got.took, got.timedOut = err, time.Since(started), ctx.Err() != nil
	return got
}
