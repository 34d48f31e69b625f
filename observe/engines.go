package observe

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrNoAnswer is returned when an engine gave no report in time.
var ErrNoAnswer = eris.New("engine gave no report")

const (
	pathLoad       = "/v1/load"
	maxReportBytes = 4 << 20
)

// Client reads reports over HTTP. It is safe for concurrent use.
type Client struct{ http *fasthttp.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxReportBytes,
	}}
}

// Load reads an engine's report. Errors: ErrNoAnswer, ErrReport.
func (c *Client) Load(address string, deadline time.Time) (Load, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + pathLoad)
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return Load{}, eris.Wrap(ErrNoAnswer, err.Error())
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return Load{}, eris.Wrapf(ErrNoAnswer, "status %d", response.StatusCode())
	}
	return ParseLoad(response.Body())
}
