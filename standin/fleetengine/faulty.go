package fleetengine

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Faults are shares of requests, from 0 to 1, whose answers are faulty. Seed, the engine's ID, the request's
// ID and how often the engine saw it determine which ones.
type Faults struct {
	Seed uint64
	// Refuse is the share that is refused without being executed, Fail the share that is executed and answered
	// with 500.
	Refuse, Fail float64
	// Stale is the share of requests on a kept connection before whose answer an earlier refusal or failure of
	// that connection is written again, with its ID or without.
	Stale float64
	// Break is the share of streams that break off, FailContinuation that of resumed streams that are answered
	// with another status.
	Break, FailContinuation float64
	// CutHead is the share of answers whose head stops midway.
	CutHead float64
	// Unframed is the share of answers without a length, which end with their connection, CutUnframed the share
	// of these that end early, by a close or a reset.
	Unframed, CutUnframed float64
}

// continuationStatuses are those of a failed continuation.
var continuationStatuses = []int{
	http.StatusNoContent, http.StatusMovedPermanently, http.StatusBadRequest, http.StatusNotFound,
	http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable,
}

// connection is one connection of a caller.
type connection struct {
	net.Conn
	// earlier are the refusals and failures that it has carried. Its requests come one at a time.
	earlier []earlierAnswer
}

type earlierAnswer struct {
	id     string
	status int
}

type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &connection{Conn: conn})
}

// plan is what goes wrong with one answer.
type plan struct {
	refuse, fail, breakOff, cutHead, unframed, cut, reset, middle bool
	// unended is true if only the blank line is missing of the event in which a stream breaks off.
	unended bool
	// status is that of a failed continuation, or 0. breakAfter is the number of the last event of a stream that
	// ends early.
	status, breakAfter int
}

// draw returns the plan for a request. It writes a stale answer at once.
func (e *Engine) draw(r *http.Request, faults Faults, id string, after int) plan {
	if faults == (Faults{}) {
		return plan{}
	}
	e.mutex.Lock()
	e.seen[id]++
	seen := e.seen[id]
	e.mutex.Unlock()
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, e.ID, " ", id, " ", seen)
	random := rand.New(rand.NewPCG(faults.Seed, hash.Sum64()))
	drawn := func(share float64) bool { return random.Float64() < share }
	p := plan{
		refuse: drawn(faults.Refuse), fail: drawn(faults.Fail), breakOff: drawn(faults.Break), cutHead: drawn(faults.CutHead),
		unframed: drawn(faults.Unframed), cut: drawn(faults.CutUnframed), reset: drawn(0.5), middle: drawn(0.5),
		breakAfter: after + random.IntN(max(1, e.Events-after)),
	}
	if status := continuationStatuses[random.IntN(len(continuationStatuses))]; after > 0 && drawn(faults.FailContinuation) {
		p.status = status
	}
	p.unended = drawn(0.5)
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		return p
	}
	if len(conn.earlier) > 0 && drawn(faults.Stale) {
		conn.writeStale(id, conn.earlier[random.IntN(len(conn.earlier))], drawn(0.5), e.ID)
	}
	switch {
	case p.refuse:
		conn.earlier = append(conn.earlier, earlierAnswer{id: id, status: http.StatusServiceUnavailable})
	case p.fail:
		conn.earlier = append(conn.earlier, earlierAnswer{id: id, status: http.StatusInternalServerError})
	}
	return p
}

// writeStale writes an earlier answer again, that of the same request if there is one.
func (c *connection) writeStale(id string, answer earlierAnswer, named bool, engine string) {
	for _, earlier := range c.earlier {
		if earlier.id == id {
			answer, named = earlier, true
		}
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", answer.status, http.StatusText(answer.status))
	if named {
		text += "X-Attempt-Id: " + answer.id + "\r\n"
	}
	if answer.status == http.StatusServiceUnavailable {
		text += "X-Not-Executed: 1\r\n"
	} else {
		text += "X-Origin-Signature: " + engine + "." + answer.id + "\r\n"
	}
	_, _ = c.Write([]byte(text + "\r\n"))
}

// cutHead writes half of the head of an answer and closes the connection.
func (e *Engine) cutHead(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		head := responseHead(w)
		_, _ = conn.Write(head[:len(head)/2])
	}
	panic(http.ErrAbortHandler)
}

func responseHead(w http.ResponseWriter) []byte {
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	return head.Bytes()
}

// writeUnframed writes the pieces of an answer without a length, one at each interval, and closes the connection
// after the last one. With cut, it closes or resets the connection after so many pieces.
func (e *Engine) writeUnframed(w http.ResponseWriter, r *http.Request, run *Run, pieces []string, interval time.Duration, p plan, pieceCount int) {
	conn, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write(responseHead(w))
	for i, piece := range pieces {
		if p.cut && i >= pieceCount {
			if p.middle {
				_, _ = conn.Write([]byte(beginning(piece, p.unended && strings.HasSuffix(piece, "\n"))))
			}
			if tcp, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok && p.reset {
				e.mutex.Lock()
				run.Reset = true
				e.mutex.Unlock()
				// With no time to linger, the close is a reset.
				_ = tcp.SetLinger(0)
			}
			panic(http.ErrAbortHandler)
		}
		e.runFor(r, interval)
		if _, err := conn.Write([]byte(piece)); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	e.setWhole(run)
	panic(http.ErrAbortHandler)
}

func (e *Engine) setWhole(run *Run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run.Whole = true
}

// answerFaultily answers a request by the plan. It returns false if the answer is a sound one.
func (e *Engine) answerFaultily(w http.ResponseWriter, r *http.Request, run *Run, p plan, after int) bool {
	switch {
	case p.status != 0:
		e.answerStatus(w, run, p.status)
	case p.fail:
		e.answerStatus(w, run, http.StatusInternalServerError)
	case p.cutHead:
		e.cutHead(w, r)
	case p.unframed && r.Header.Get("X-Token-Usage") != "":
		w.Header().Set("Content-Type", "text/event-stream")
		var events []string
		for event := after + 1; event <= e.Events; event++ {
			events = append(events, e.eventText(event, r))
		}
		e.writeUnframed(w, r, run, events, e.EventInterval, p, p.breakAfter-after)
	case p.unframed:
		answer := answerText(e.ID, r)
		half := len(answer) / 2
		e.writeUnframed(w, r, run, []string{answer[:half], answer[half:]}, time.Millisecond, p, 1)
	default:
		return false
	}
	return true
}

func (e *Engine) answerStatus(w http.ResponseWriter, run *Run, status int) {
	e.mutex.Lock()
	run.Status = status
	e.mutex.Unlock()
	w.WriteHeader(status)
}

func (e *Engine) eventText(number int, r *http.Request) string {
	return EventText(number, r.URL.RequestURI(), e.VaryEvents)
}

func answerText(engine string, r *http.Request) string {
	return fmt.Sprintf("%s ran %s", engine, r.URL.RequestURI())
}
