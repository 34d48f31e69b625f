package observe

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/upstream/responsehead"
)

// ErrReportUnavailable is returned when an engine did not return a load report
// before the deadline.
var ErrReportUnavailable = eris.New("engine returned no load report")

const (
	loadPath       = "/v1/load"
	maxReportBytes = 4 << 20
)

// Client fetches load reports over HTTP. It is safe for concurrent use.
type Client struct{ http *fasthttp.Client }

// NewClient returns a client that has no open connections yet.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxReportBytes,
		Dial:                      responsehead.Dialer(fasthttp.Dial),
	}}
}

// Load fetches an engine's load report. Errors: ErrReportUnavailable,
// ErrInvalidReport.
func (c *Client) Load(address string, deadline time.Time) (Load, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + loadPath)
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return Load{}, eris.Wrap(ErrReportUnavailable, err.Error())
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return Load{}, eris.Wrapf(ErrReportUnavailable, "status %d", response.StatusCode())
	}
	return ParseLoad(response.Body())
}
