// Package fleetengine is a stand-in for the engines and plain services of the
// users' platform. It follows the published protocol: resumable streams of numbered
// events, memory reserved by orders and refusals marked as not executed. It can
// inject faults.
package fleetengine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Knobs are the faults that the engine injects. The zero value injects none.
type Knobs struct {
	// Full rejects every request without executing it.
	Full bool
	// Unresponsive accepts requests and answers none.
	Unresponsive bool
	// Status, if not 0, is the HTTP status of every answer; the request was executed.
	Status int
	// BreakAfter, if not 0, is the event after which streams are closed, in the middle
	// of the next event.
	BreakAfter int
	// breakUnended is true if only the blank line of that event is missing.
	breakUnended bool
	// Extra sends an unrequested second answer after each answer that is not a stream.
	Extra bool
	// Leaving marks every answer as that of a process that leaves.
	Leaving bool
	// RetryAfter, with Full, is the value of the header by which the engine asks for a pause.
	RetryAfter string
	// Unsigned omits the signature header.
	Unsigned bool
	// CrashPart, if not empty, is the ID of a prompt part, other than the last one, that crashes
	// the engine when it begins to write the answer.
	CrashPart string
	// CrashPoint is where in the answer CrashPart crashes the engine.
	CrashPoint CrashPoint
	// CrashTarget, if not empty, is the path and query of requests that crash the engine CrashDelay
	// after it has begun to run one.
	CrashTarget string
	// CrashSilently makes such a crash a silent one: until the engine is back, it neither answers nor closes
	// a connection.
	CrashSilently bool
	// RunTime is how long requests that are not streams run.
	RunTime time.Duration
	// RequestLimit, if not empty, is the rate of requests that every answer states.
	RequestLimit string
	// Faults makes a share of the answers faulty.
	Faults Faults
}

// Run is one request that the engine executed.
type Run struct {
	ID, Path, Organisation, Body string
	// After is the event after which the request resumed its stream; 0 is the start.
	After int
	// Header holds the request's headers.
	Header http.Header
	// Cut is true if the connection ended before the answer was complete.
	Cut bool
	// Status is that of the answer. Whole is true once the answer was written to its end, Reset if the engine
	// reset the connection instead.
	Status       int
	Whole, Reset bool
}

// Arrival is a request that arrived, also one that the engine refused.
type Arrival struct {
	ID string
	At time.Time
}

// Engine is one engine or plain service. It is safe for concurrent use.
type Engine struct {
	// ID names the process. Events is the number of events of a stream and
	// EventInterval the time before each. MemoryTokens bounds the reservations.
	// Set all before serving.
	ID            string
	Events        int
	EventInterval time.Duration
	MemoryTokens  int
	// TokensPerEvent, if not 0, gives each stream an event for so many of the output tokens that its request states.
	TokensPerEvent int
	// VaryEvents varies the form of the events; EventText has the forms.
	VaryEvents bool
	// DownTime is how long the engine is down after a crash; it then calls OnRestart, if set.
	DownTime  time.Duration
	OnRestart func()

	suspension     suspension
	mutex          sync.Mutex
	server         *Server
	crashes        int
	requestCrashes []time.Time
	down           bool
	crashed        chan struct{}
	knobs          Knobs
	runs           []*Run
	received       []Arrival
	arrivals       []time.Time
	reservations   map[string]int
	// seen counts the requests by ID, for Knobs.Faults.
	seen   map[string]int
	active int
}

// New returns an engine whose streams have 8 events, 5 ms apart, and with memory for
// 232,000 tokens.
func New(id string) *Engine {
	const events, memory, pause, downTime = 8, 232_000, 5 * time.Millisecond, 100 * time.Millisecond
	return &Engine{
		ID: id, Events: events, EventInterval: pause, MemoryTokens: memory, DownTime: downTime,
		reservations: map[string]int{}, seen: map[string]int{}, crashed: make(chan struct{}),
	}
}

// Set replaces the knobs.
func (e *Engine) Set(knobs Knobs) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.knobs = knobs
}

// Runs returns the requests that were executed, oldest first.
func (e *Engine) Runs() []Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	runs := make([]Run, len(e.runs))
	for i, run := range e.runs {
		runs[i] = *run
	}
	return runs
}

// Received returns the requests that arrived to be run, oldest first.
func (e *Engine) Received() []Arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.received)
}

// Arrivals returns when requests of all kinds arrived, also for reports and orders, oldest first.
func (e *Engine) Arrivals() []time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]time.Time(nil), e.arrivals...)
}

// ReservedTokens returns the reserved memory, in tokens.
func (e *Engine) ReservedTokens() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	reserved := 0
	for _, tokens := range e.reservations {
		reserved += tokens
	}
	return reserved
}

// Active returns the number of requests in flight.
func (e *Engine) Active() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.active
}

// ServeHTTP serves the calls of the engine protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if targetID := r.Header.Get("X-Target-Instance"); targetID != "" && targetID != e.ID {
		w.Header().Set("X-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mutex.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	if e.knobs.RequestLimit != "" {
		w.Header().Set("Server-Limit", e.knobs.RequestLimit)
	}
	if e.knobs.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	e.mutex.Unlock()
	if e.isDown() {
		if e.isSilent() {
			<-r.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/report":
		e.report(w)
	case "/v1/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mutex.Lock()
	active := e.active
	e.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"pace": 1, "queued": 0, "active": active, "kvUsedTokens": e.ReservedTokens(), "phase": "unified"})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation, ID string
		Tokens        int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reserved := e.ReservedTokens()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch order.Operation {
	case "reserve":
		if _, isRenewal := e.reservations[order.ID]; !isRenewal && reserved+order.Tokens > e.MemoryTokens {
			w.WriteHeader(http.StatusConflict)
			return
		}
		e.reservations[order.ID] = order.Tokens
		// Fails only if the caller has disconnected.
		_ = json.NewEncoder(w).Encode(map[string]int{"freeCapacity": e.MemoryTokens - reserved - order.Tokens})
	case "release":
		delete(e.reservations, order.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (e *Engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.mutex.Lock()
	e.received = append(e.received, Arrival{ID: id, At: time.Now()})
	knobs := e.knobs
	e.mutex.Unlock()
	faulty := e.draw(r, knobs.Faults, id, after)
	if knobs.Full || faulty.refuse {
		w.Header().Set("X-Not-Executed", "1")
		if knobs.RetryAfter != "" {
			w.Header().Set("Retry-After", knobs.RetryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{
		ID: id, Path: r.URL.RequestURI(), Organisation: r.Header.Get("X-Tenant"), Body: string(body),
		After: after, Header: r.Header.Clone(), Status: http.StatusOK,
	}
	e.mutex.Lock()
	e.runs = append(e.runs, run)
	e.active++
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		e.active--
		run.Cut = r.Context().Err() != nil
		e.mutex.Unlock()
	}()
	if !knobs.Unsigned {
		w.Header().Set("X-Origin-Signature", e.ID+"."+id)
	}
	if knobs.CrashTarget != "" && r.URL.RequestURI() == knobs.CrashTarget {
		e.crashByRequest(r)
	}
	if e.answerFaultily(w, r, run, faulty, after) {
		return
	}
	switch {
	case knobs.Unresponsive:
		<-r.Context().Done()
	case knobs.Status != 0:
		e.answerStatus(w, run, knobs.Status)
	case r.Header.Get("X-Token-Usage") != "":
		if faulty.breakOff && faulty.breakAfter > after {
			knobs.BreakAfter, knobs.breakUnended = faulty.breakAfter, faulty.unended
		}
		e.stream(w, r, knobs, after)
	default:
		e.runFor(r, knobs.RunTime)
		answer := answerText(e.ID, r)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write([]byte(answer))
		if knobs.Extra {
			e.writeExtraAnswer(w, id)
		}
	}
}

// CrashDelay is how long a request runs before it crashes the engine.
const CrashDelay = 50 * time.Millisecond

// crashByRequest crashes the engine, unless the caller leaves before.
func (e *Engine) crashByRequest(r *http.Request) {
	e.runFor(r, CrashDelay)
	e.crash(true)
	if e.isSilent() {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// runFor waits for a time. It ends the request without an answer if the caller leaves or the engine
// crashes.
func (e *Engine) runFor(r *http.Request, length time.Duration) {
	if length == 0 {
		return
	}
	e.mutex.Lock()
	crashed := e.crashed
	e.mutex.Unlock()
	select {
	case <-time.After(length):
		return
	case <-r.Context().Done():
	case <-crashed:
		if e.isSilent() {
			<-r.Context().Done()
		}
	}
	panic(http.ErrAbortHandler)
}

// writeExtraAnswer writes an answer on the connection that belongs to no request.
func (e *Engine) writeExtraAnswer(w http.ResponseWriter, id string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 5\r\n\r\nextra")
	_ = buffered.Flush()
	time.Sleep(time.Second)
}

// eventsOf returns the number of events of a request's stream.
func (e *Engine) eventsOf(r *http.Request) int {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, err := strconv.Atoi(output)
	if e.TokensPerEvent == 0 || err != nil {
		return e.Events
	}
	return max(1, tokens/e.TokensPerEvent)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, knobs Knobs, afterEvent int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	e.mutex.Lock()
	crashed := e.crashed
	e.mutex.Unlock()
	if hasPart(r.Header.Get("X-Prefix-Hash"), knobs.CrashPart) {
		e.crashByPart(w, r, knobs.CrashPoint, afterEvent)
	}
	for event := afterEvent + 1; event <= e.eventsOf(r); event++ {
		select {
		case <-time.After(e.EventInterval):
		case <-r.Context().Done():
			return
		case <-crashed:
			panic(http.ErrAbortHandler)
		}
		text := e.eventText(event, r)
		if knobs.BreakAfter > 0 && event > knobs.BreakAfter {
			_, _ = w.Write([]byte(beginning(text, knobs.breakUnended)))
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(text))
		_ = control.Flush()
	}
}
