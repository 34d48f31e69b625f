package soak

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tidwall/gjson"

	"github.com/wigeontiller/wigeontiller/apierror"
)

const (
	// callHang is how long after its deadline a request is given up.
	callHang = 10 * time.Second

	headerRequestID = "X-Request-ID"
	headerTimeout   = "X-Request-Timeout"
)

// httpClient opens a connection for each request, so that no request meets a
// connection that its server has closed meanwhile.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends one arrival to a process and returns how it ended.
func send(clock *clock, arrival *Arrival, id string, to *process) *Send {
	sent := &Send{Arrival: arrival, ID: id, Node: to.life.Name, Allowed: arrival.allowed(), Start: clock.now()}
	ctx, leave := context.WithCancelCause(context.Background())
	defer leave(nil)
	ctx, cancel := context.WithTimeout(ctx, sent.Allowed+callHang)
	defer cancel()
	if arrival.Leave == LeavesQueued || arrival.Leave == LeavesWaiting {
		timer := time.AfterFunc(arrival.LeaveAfter, func() { leave(errLeft) })
		defer timer.Stop()
	}
	reader := &answerReader{sent: sent, clock: clock, leave: func() { leave(errLeft) }}
	err := reader.call(ctx, "http://"+to.settings.CallerAddress)
	sent.ended(clock.now(), err, errors.Is(context.Cause(ctx), errLeft))
	return sent
}

// ended keeps how a request ended that has no ending by its answer.
func (s *Send) ended(now time.Duration, err error, left bool) {
	s.End = now
	switch {
	case left:
		s.Ending = Left
	case errors.Is(err, syscall.ECONNREFUSED):
		s.Ending = Unreached
	case err != nil:
		s.Ending = Cut
	}
}

var errLeft = eris.New("the caller left")

// answerReader reads the answer to one request into what is kept of it.
type answerReader struct {
	sent  *Send
	clock *clock
	leave func()
}

func (r *answerReader) call(ctx context.Context, base string) error {
	arrival := r.sent.Arrival
	method := http.MethodPost
	if arrival.Kind == Read {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, base+arrival.path(), strings.NewReader(arrival.body()))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerRequestID, r.sent.ID)
	if arrival.Timeout > 0 {
		request.Header.Set(headerTimeout, formatSeconds(arrival.Timeout))
	}
	if arrival.Kind == Keyed {
		request.Header.Set(headerKey, arrival.ran())
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return r.read(response)
}

// read reads the answer's body.
func (r *answerReader) read(response *http.Response) error {
	r.sent.Status = response.StatusCode
	if r.sent.Arrival.Kind == Stream && response.StatusCode == http.StatusOK {
		r.sent.resume.requestID = response.Header.Get(headerRequestID)
		r.sent.resume.token = response.Header.Get(headerResumeToken)
		return r.events(response.Body)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	r.whole(text)
	return nil
}

// whole judges an answer that is not a stream. A status of the service's own
// comes without an error of ours.
func (r *answerReader) whole(text []byte) {
	if r.error(text) {
		r.sent.Ending = Refused
		return
	}
	r.sent.Ending = Answered
	if r.sent.Status != http.StatusOK {
		r.sent.Malformed = "status without an error"
		return
	}
	r.sent.FirstToken = r.clock.now()
	if r.sent.Arrival.Kind.IsCompletion() {
		r.tokens(gjson.GetBytes(text, "choices.0.message.content").String())
		return
	}
	r.execution(text)
}

// error keeps an error, if the text holds one.
func (r *answerReader) error(text []byte) bool {
	found := gjson.GetManyBytes(text, "error.code", "error.execution")
	if !found[0].Exists() {
		return false
	}
	r.sent.Code, r.sent.Execution = found[0].String(), found[1].String()
	return true
}

// execution compares what a service echoes with what was sent.
func (r *answerReader) execution(text []byte) {
	arrival := r.sent.Arrival
	echoed := gjson.GetManyBytes(text, "key", "body", "path")
	key := ""
	if arrival.Kind == Keyed {
		key = arrival.ran()
	}
	if echoed[0].String() != key || echoed[1].String() != arrival.body() || echoed[2].String() != arrival.servedPath() {
		r.sent.Foreign = string(text)
	}
}

// mayRepeat reports whether the caller sends a keyed booking again.
func (s *Send) mayRepeat() bool {
	if s.Arrival.Kind != Keyed || s.Ending == Left {
		return false
	}
	switch s.Ending {
	case Cut, Unreached:
		return true
	case Refused:
		return s.Execution == string(apierror.NotExecuted)
	case Answered, ErrorEvent, Left:
	}
	return false
}
