package ordering

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/orders"
)

// The errors of a send.
var (
	// ErrRefused is returned when the engine calls the order too old.
	ErrRefused = eris.New("engine refused the order as old")
	// ErrUnknown is returned when the order may or may not have had an effect.
	ErrUnknown = eris.New("outcome of the order unknown")
)

const (
	pathOrders = "/v1/orders"
	// sendTimeout and the engine's own handling stay under orders.LongestSend.
	sendTimeout = 2 * time.Second
)

// Client sends orders over HTTP. It carries no secret and never repeats a send.
type Client struct{ http *fasthttp.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Send gives an engine an order. Errors: ErrRefused, ErrUnknown.
func (c *Client) Send(address string, order orders.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + address + pathOrders)
	request.SetBodyRaw(body)
	if err := c.http.DoTimeout(request, response, sendTimeout); err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusConflict:
		return ErrRefused
	}
	return eris.Wrapf(ErrUnknown, "status %d", response.StatusCode())
}
