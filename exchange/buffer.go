package exchange

import (
	"errors"
	"io"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/memorybudget"
)

// Reasons of failures for lack of memory.
const (
	// ReasonNoMemory means that the process's budget has no room for the bytes.
	ReasonNoMemory = "no_memory"
	// ReasonSlowBody means that the caller stopped sending its body, or sent it too slowly while memory was short.
	ReasonSlowBody = "body_not_sent"
)

var (
	errBodyTooLong = errors.New("response body exceeds the size limit")
	errNoBuffer    = errors.New("no memory for the response")
)

// OpenBody returns an empty reservation for the body of an admitted request.
func (e *Exchange) OpenBody(admitted Admission) *memorybudget.Reservation {
	return e.open(memorybudget.Bodies, admitted.Route, admitted.Organisation)
}

// openAnswer returns an empty reservation for the answer to a request.
func (e *Exchange) openAnswer(request *Request) *memorybudget.Reservation {
	return e.open(memorybudget.Answers, request.Route, request.Organisation)
}

// open returns a reservation that counts for the route and the organisation.
func (e *Exchange) open(kind memorybudget.Kind, route *fleet.Route, organisation *fleet.Organisation) *memorybudget.Reservation {
	owner := ""
	if organisation != nil {
		owner = "organisation " + organisation.Name
	}
	return e.config.Budget.Open(kind, "route "+route.Name, owner)
}

// BodyRefusal returns the failure of a request whose body is not read to its end: it was not executed.
func (e *Exchange) BodyRefusal(reason string) *Failure {
	return &Failure{Code: Overloaded, Reason: reason, RetryAfter: e.config.RetryAfter}
}

// firstAnswerBytes is the memory that is taken for an answer at first; usual ones have a kilobyte.
const firstAnswerBytes = 4 << 10

// readAnswer reads a whole body of at most limit bytes, which the reservation holds. Errors: errBodyTooLong,
// errNoBuffer, those of the connection.
func readAnswer(body io.Reader, limit int64, reservation *memorybudget.Reservation) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstAnswerBytes), limit+1)
			if !reservation.Grow(size) {
				return nil, errNoBuffer
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			reservation.Shrink(int64(cap(data)))
			data = grown
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, errBodyTooLong
		case err == io.EOF: //nolint:errorlint // A wrapped io.EOF is not the end of the body.
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// discard reads a body of at most limit bytes to its end and reports whether it ended.
func discard(body io.Reader, limit int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return err == nil && n <= limit
}
