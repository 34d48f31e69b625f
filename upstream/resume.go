package upstream

import (
	"context"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrGone is returned when an engine no longer has the stream.
var ErrGone = eris.New("stream is gone")

// Resume requests from an engine the events of a running attempt that follow the
// event with number after. It starts no new execution, and ignores the attempt's
// method, path and body. Errors: ErrGone, ErrNotSent, ErrIncomplete.
func (c *Client) Resume(ctx context.Context, running *Attempt, after int) (*Reply, error) {
	request := *running
	request.Method = fasthttp.MethodGet
	request.Path = "/v1/streams/" + url.PathEscape(running.ID) + "/events?after=" + strconv.Itoa(after)
	request.Body = nil
	reply, err := c.Do(ctx, &request)
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
