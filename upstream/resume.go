package upstream

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrGone is returned when an engine no longer has a stream.
var ErrGone = eris.New("stream is gone")

// Resume asks an engine for a running stream's events after number after. It
// starts no new work. Errors: ErrGone, ErrNotSent, ErrBroken.
func (c *Client) Resume(ctx context.Context, address, attemptID string, after int, deadline time.Time) (*Reply, error) {
	reply, err := c.Do(ctx, &Attempt{
		ID:       attemptID,
		Address:  address,
		Method:   fasthttp.MethodGet,
		Path:     "/v1/streams/" + url.PathEscape(attemptID) + "/events?after=" + strconv.Itoa(after),
		Deadline: deadline,
	})
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
	return nil, ErrBroken
}
