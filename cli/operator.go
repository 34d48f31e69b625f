package cli

import (
	"encoding/json"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/admin"
)

const (
	operatorTimeout     = 10 * time.Second
	defaultOperatorURL  = "http://127.0.0.1:8081"
	operatorURLVariable = "WIGEONTILLER_URL"
	// operatorTokenVariable names the environment variable with the operator's token.
	operatorTokenVariable = "WIGEONTILLER_TOKEN"
)

// ErrRefused is returned when the node rejected a command or query.
var ErrRefused = eris.New("refused")

// operator is a client of a node's admin API.
type operator struct {
	url       string
	commandID string
}

func (o *operator) addFlags(sub *flaggy.Subcommand) {
	o.url = os.Getenv(operatorURLVariable)
	if o.url == "" {
		o.url = defaultOperatorURL
	}
	sub.String(&o.url, "u", "url", "The operators' URL of a node; the token is read from "+operatorTokenVariable+".")
}

func (o *operator) addCommandFlags(sub *flaggy.Subcommand) {
	o.addFlags(sub)
	sub.String(&o.commandID, "", "command-id", "An id of your choice; repeat a lost command with the same id.")
}

// call sends one request and decodes the response into reply.
func (o *operator) call(method, path string, body []byte, reply any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(o.url + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+os.Getenv(operatorTokenVariable))
	if o.commandID != "" {
		request.Header.Set(admin.HeaderCommandID, o.commandID)
	}
	request.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(request, response, operatorTimeout); err != nil {
		return eris.Wrap(err, "call "+o.url)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return eris.Wrap(ErrRefused, refusalText(response.Body()))
	}
	return eris.Wrap(json.Unmarshal(response.Body(), reply), "decode response")
}

func refusalText(body []byte) string {
	var refusal struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &refusal) != nil {
		return string(body)
	}
	return refusal.Error.Code + ": " + refusal.Error.Message
}
