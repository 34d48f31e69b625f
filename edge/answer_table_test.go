package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// answerFraming is how an upstream marks the end of an answer.
	answerFraming string
	// answerStop is where an upstream stops to write its answer.
	answerStop string
	// answerEnd is what becomes of the connection then.
	answerEnd string
	// answerConn is the connection on which the answer comes.
	answerConn string
	// answerID is the request ID that the answer bears.
	answerID string
	// answerRoute is the kind of route, and for streams whether it is the first answer.
	answerRoute string
	// answerWay is the way to the upstream.
	answerWay string
)

const (
	framedByLength answerFraming = "length"
	framedByChunks answerFraming = "chunks"
	unframed       answerFraming = "no framing"

	stopInHead           answerStop = "in the head"
	stopAfterHead        answerStop = "after the head"
	stopInBody           answerStop = "in the body"
	stopBetweenEvents    answerStop = "between events"
	stopBeforeTerminator answerStop = "before the terminator"
	stopNever            answerStop = "complete"

	endKept   answerEnd = "kept"
	endClosed answerEnd = "closed"
	endReset  answerEnd = "reset"

	connFresh answerConn = "fresh connection"
	connKept  answerConn = "kept connection"

	idOwn     answerID = "own ID"
	idAnother answerID = "another's ID"
	idNone    answerID = "no ID"
	// idEarlier is the own ID on an answer to an earlier send of the same request.
	idEarlier answerID = "ID of an earlier send"

	routeSafe         answerRoute = "safe"
	routeUnsafe       answerRoute = "unsafe"
	routeStream       answerRoute = "stream"
	routeContinuation answerRoute = "continuation"
	// routeStreamOnce is a stream that may not be resumed.
	routeStreamOnce answerRoute = "streamonce"

	wayDirect answerWay = "direct"
	wayHop    answerWay = "over the hop"
)

// answerKinds are the statuses of the answers; 503 states that the request was not executed.
var answerKinds = []int{200, 204, 400, 404, 421, 500, 503}

// answerEvents is the number of events of a whole stream, answerBegun of those before a continuation.
const (
	answerEvents = 4
	answerBegun  = 2
)

// answerCell is one combination.
type answerCell struct {
	framing answerFraming
	stop    answerStop
	end     answerEnd
	conn    answerConn
	id      answerID
	status  int
	route   answerRoute
	way     answerWay
}

func (c answerCell) String() string {
	return fmt.Sprintf("%s, %s, %s, %s, %s, %d, %s, %s", c.framing, c.stop, c.end, c.conn, c.id, c.status, c.route, c.way)
}

func (c answerCell) isStream() bool {
	return c.route == routeStream || c.route == routeContinuation || c.route == routeStreamOnce
}

// once reports whether the request must run at most once.
func (c answerCell) once() bool { return c.route == routeUnsafe || c.route == routeStreamOnce }

func (c answerCell) refusal() bool { return c.status == 421 || c.status == 503 }

// own reports whether the answer may be taken for that of the request. Without an ID that is so on a fresh
// connection only.
func (c answerCell) own() bool {
	return c.id == idOwn || c.id == idNone && c.conn == connFresh
}

// senseless returns why there is no such cell, or "".
func (c answerCell) senseless() string {
	switch {
	case c.status == 204 && c.framing != unframed:
		return "a 204 has no body to be framed"
	case c.status == 204 && c.stop != stopInHead && c.stop != stopNever:
		return "a 204 is complete with its head"
	case c.stop == stopBetweenEvents && (!c.isStream() || c.status != 200):
		return "only streams have events"
	case c.stop == stopBetweenEvents && c.route == routeContinuation:
		return "the first answer of a continuation stops there"
	case c.stop == stopBeforeTerminator && c.framing != framedByChunks:
		return "only chunks have a terminator"
	case c.framing == unframed && c.stop == stopNever && c.end == endKept && c.status != 204:
		return "a body without framing ends with its connection"
	case c.id == idEarlier && c.conn == connFresh:
		return "a fresh connection has carried no earlier send"
	case c.id == idEarlier && !c.refusal():
		return "only a refused request is sent again over the same connection"
	case c.id == idEarlier && c.route == routeStreamOnce:
		return "the same as unsafe"
	}
	return ""
}

// hangs reports whether the node waits in vain for the rest.
func (c answerCell) hangs() bool { return c.end == endKept && c.stop != stopNever }

// served returns whether the caller must get a good end: its own whole answer, or after a sound refusal that
// of the next upstream.
func (c answerCell) served() bool {
	if c.id != idOwn || c.stop != stopNever || c.end == endReset || c.status == 500 {
		return false
	}
	if c.route == routeContinuation && c.status != 200 && !c.refusal() {
		return false
	}
	// No third upstream is left that could give the stream an end.
	return c.route != routeContinuation || c.framing != unframed || c.status != 200
}

// answerCells returns all cells, and the number of the combinations left out by reason.
func answerCells() (cells []answerCell, left map[string]int) {
	left = map[string]int{}
	for _, framing := range []answerFraming{framedByLength, framedByChunks, unframed} {
		for _, stop := range []answerStop{stopInHead, stopAfterHead, stopInBody, stopBetweenEvents, stopBeforeTerminator, stopNever} {
			for _, end := range []answerEnd{endKept, endClosed, endReset} {
				for _, conn := range []answerConn{connFresh, connKept} {
					for _, id := range []answerID{idOwn, idAnother, idNone, idEarlier} {
						for _, status := range answerKinds {
							for _, route := range []answerRoute{routeSafe, routeUnsafe, routeStream, routeContinuation, routeStreamOnce} {
								for _, way := range []answerWay{wayDirect, wayHop} {
									cell := answerCell{framing, stop, end, conn, id, status, route, way}
									if why := cell.senseless(); why != "" {
										left[why]++
									} else {
										cells = append(cells, cell)
									}
								}
							}
						}
					}
				}
			}
		}
	}
	return cells, left
}

// writtenAnswer is an answer as an upstream wrote it.
type writtenAnswer struct {
	status int
	// body is the whole body of a complete answer, otherwise what was written of it.
	body          string
	own, complete bool
	unframed      bool
	end           answerEnd
}

// answerPlay is one request that upstreams answer as a cell says.
type answerPlay struct {
	cell answerCell
	id   string
	// answers chooses the next answers instead of the cell, the last one last; nil is the cell.
	answers func(call *rawCall) []answerCell
	// pieces splits what is written; nil is at once.
	pieces func(text string) []string

	mutex         sync.Mutex
	begun, played bool
	refused       bool
	sends, runs   int
	written       map[string]*writtenAnswer
	got           callResult
	// gotUnframed is true if the caller's body ended with its connection.
	gotUnframed bool
}

// answer is the script of the upstreams.
func (p *answerPlay) answer(call *rawCall) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sends++
	if p.cell.route == routeContinuation && !p.begun {
		p.begun = true
		begin := p.sound()
		begin.stop, begin.end = stopInBody, endClosed
		return p.writeAll(call, []answerCell{begin})
	}
	if p.answers != nil {
		return p.writeAll(call, p.answers(call))
	}
	reached := !p.played && call.first == (p.cell.conn == connFresh)
	if reached && p.cell.id == idEarlier && !p.refused {
		p.refused = true
		refusal := p.sound()
		refusal.status = 503
		return p.writeAll(call, []answerCell{refusal})
	}
	if !reached || p.cell.id == idEarlier && !call.repeated {
		return p.writeAll(call, []answerCell{p.sound()})
	}
	p.played = true
	if !p.cell.own() && p.cell.stop == stopNever && p.cell.end == endKept {
		return p.writeAll(call, []answerCell{p.cell, p.sound()})
	}
	return p.writeAll(call, []answerCell{p.cell})
}

// sound is a cell of the same request that is answered as it should.
func (p *answerPlay) sound() answerCell {
	sound := p.cell
	sound.framing, sound.stop, sound.end, sound.id, sound.status = framedByLength, stopNever, endKept, idOwn, 200
	if p.cell.isStream() {
		sound.framing = framedByChunks
	}
	return sound
}

// writeAll writes the answers to one send. The request runs once, unless its own last answer refuses it.
func (p *answerPlay) writeAll(call *rawCall, cells []answerCell) bool {
	if last := cells[len(cells)-1]; !last.refusal() || !last.own() {
		p.runs++
	}
	for _, cell := range cells {
		if !p.writeAnswer(call, cell) {
			return false
		}
	}
	return true
}

// writeAnswer writes the answer of a cell, and reports whether the connection is kept.
func (p *answerPlay) writeAnswer(call *rawCall, cell answerCell) bool {
	signature := fmt.Sprintf("s.%s.%d", p.id, len(p.written))
	answer := &writtenAnswer{status: cell.status, own: cell.own(), complete: cell.stop == stopNever, unframed: cell.framing == unframed && cell.status != 204, end: cell.end}
	p.written[signature] = answer
	text, body := cell.encode(call, p.id, signature)
	answer.body = body
	// A continuation without further events is complete with its head.
	answer.complete = answer.complete || strings.HasSuffix(text, "Content-Length: 0\r\n\r\n")
	pieces := []string{text}
	if p.pieces != nil {
		pieces = p.pieces(text)
	}
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(time.Millisecond)
		}
		call.write(piece)
	}
	switch cell.end {
	case endKept:
		return true
	case endReset:
		// What was written would be lost with the reset if it came at once.
		time.Sleep(2 * time.Millisecond)
		_ = call.conn.(*net.TCPConn).SetLinger(0)
	case endClosed:
	}
	return false
}

// encode returns the bytes of the answer up to where it stops, and the part of the body in them.
func (c answerCell) encode(call *rawCall, id, signature string) (text, body string) {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Type: text/event-stream\r\n", c.status)
	switch c.id {
	case idOwn, idEarlier:
		b.WriteString("X-Attempt-Id: " + id + "\r\n")
	case idAnother:
		b.WriteString("X-Attempt-Id: another-" + id + "\r\n")
	case idNone:
	}
	if c.status == 503 {
		b.WriteString("X-Not-Executed: 1\r\n")
	}
	if c.refusal() {
		// The other upstream is blamed, so that the request may come here again.
		service, number, _ := strings.Cut(call.upstream.id, "-")
		b.WriteString("At-Server: " + service + "-" + strconv.Itoa(3-int(number[0]-'0')) + "\r\n")
	}
	b.WriteString("X-Origin-Signature: " + signature)
	if c.stop == stopInHead {
		return b.String()[:b.Len()-2], ""
	}
	b.WriteString("\r\n")
	parts := []string{"<" + signature + ">", "the rest"}
	if c.isStream() && c.status == 200 {
		after, _ := strconv.Atoi(call.after)
		parts = nil
		for number := after + 1; number <= answerEvents; number++ {
			parts = append(parts, fmt.Sprintf("id: %d\ndata: %d\n\n", number, number))
		}
	}
	whole := strings.Join(parts, "")
	written := parts
	if c.stop == stopInBody && len(parts) > 0 {
		cut := len(parts) / 2
		written = append(slices.Clone(parts[:cut]), parts[cut][:len(parts[cut])/2])
	}
	switch {
	case c.status == 204:
		b.WriteString("\r\n")
		return b.String(), ""
	case c.framing == framedByLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(whole))
	case c.framing == framedByChunks:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	if c.stop == stopAfterHead {
		return b.String(), ""
	}
	if c.stop == stopBetweenEvents {
		written = parts[:len(parts)/2]
	}
	for i, part := range written {
		if c.framing != framedByChunks {
			b.WriteString(part)
			continue
		}
		chunk := rawChunk(parts[i])
		if len(part) < len(parts[i]) {
			chunk = chunk[:len(chunk)-len("\r\n")-len(parts[i])+len(part)]
		}
		b.WriteString(chunk)
	}
	if c.framing == framedByChunks && c.stop == stopNever {
		b.WriteString("0\r\n\r\n")
	}
	return b.String(), strings.Join(written, "")
}

// call sends the request through a caller's client.
func (p *answerPlay) call(client *http.Client, url, path string, deadline time.Duration) {
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("body"))
	if err != nil {
		p.got.err = err
		return
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", p.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token key-a")
	if p.cell.isStream() {
		r.Header.Set("X-Token-Usage", "1000,300")
	}
	response, err := client.Do(r)
	if err != nil {
		p.got.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	p.got = callResult{response.StatusCode, response.Header, string(body), err}
	p.gotUnframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
