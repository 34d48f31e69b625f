package ordering

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/orders"
	"github.com/wigeontiller/wigeontiller/upstream/responsehead"
)

// Errors of Sender.Send.
var (
	// ErrRefused is returned when the engine refused the order as stale.
	ErrRefused = eris.New("engine refused the order as stale")
	// ErrOutcomeUnknown is returned when the order may or may not have taken effect.
	ErrOutcomeUnknown = eris.New("outcome of the order unknown")
	// ErrNoKey is returned for an engine that checks signatures when there is no key
	// to sign with. Nothing was sent.
	ErrNoKey = eris.New("no key to sign orders with")
)

const (
	pathOrders = "/v1/orders"
	// headerSignature holds the signature of an order, in base64.
	headerSignature = "X-Order-Signature"
	// sendTimeout plus the engine's own handling stays below orders.MaxSendDuration.
	sendTimeout = 2 * time.Second
)

// Client sends orders over HTTP. It never retries a send. Only orders to engines
// that check signatures are signed, and a signature doesn't reveal its key.
type Client struct {
	http *fasthttp.Client
	key  ed25519.PrivateKey
}

// NewClient returns a client without connections. The key signs orders; it may
// be nil where no engine checks signatures.
func NewClient(key ed25519.PrivateKey) *Client {
	return &Client{key: key, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      responsehead.Dialer(fasthttp.Dial),
	}}
}

// sign returns a signature that covers the engine's address, so that the order
// can't be replayed to another engine.
func (c *Client) sign(address string, body []byte) string {
	message := append([]byte(address+"\n"), body...)
	return base64.StdEncoding.EncodeToString(ed25519.Sign(c.key, message))
}

// Send sends an order to an engine. Errors: ErrRefused, ErrOutcomeUnknown,
// ErrNoKey.
func (c *Client) Send(engine Engine, order orders.Order) error {
	if engine.ChecksSignatures && c.key == nil {
		return ErrNoKey
	}
	body, err := json.Marshal(order)
	if err != nil {
		return eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetRequestURI("http://" + engine.Address + pathOrders)
	request.SetBodyRaw(body)
	if engine.ChecksSignatures {
		request.Header.Set(headerSignature, c.sign(engine.Address, body))
	}
	if err := c.http.DoTimeout(request, response, sendTimeout); err != nil {
		return eris.Wrap(ErrOutcomeUnknown, err.Error())
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusConflict:
		return ErrRefused
	}
	return eris.Wrapf(ErrOutcomeUnknown, "engine answered with status %d", response.StatusCode())
}
