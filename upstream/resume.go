package upstream

import (
	"context"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrGone is returned when an engine no longer has a stream.
var ErrGone = eris.New("stream is gone")

// Resume asks an engine for the events after number after of an attempt that
// runs. It starts no new work; the attempt's method, path and body are not
// used. Errors: ErrGone, ErrNotSent, ErrBroken.
func (c *Client) Resume(ctx context.Context, running *Attempt, after int) (*Reply, error) {
	asked := *running
	asked.Method = fasthttp.MethodGet
	asked.Path = "/v1/streams/" + url.PathEscape(running.ID) + "/events?after=" + strconv.Itoa(after)
	asked.Body = nil
	reply, err := c.Do(ctx, &asked)
	if err != nil {
		return nil, err
	}
	if reply.Status == fasthttp.StatusOK {
		return reply, nil
	}
	reply.Close()
	if reply.Status == fasthttp.StatusNotFound {
		return nil, ErrGone
	}
	return nil, ErrIncomplete
}
