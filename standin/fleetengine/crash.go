package fleetengine

import (
	"net/http"
	"strings"
	"time"
)

// CrashPoint is a point in the answer to a prompt. The zero value is just after the header.
type CrashPoint struct {
	// BeforeHeader is true if the header is not sent.
	BeforeHeader bool
	// Events is the number of events that are sent.
	Events int
	// Delay is the time from the point to the crash.
	Delay time.Duration
}

// CrashPoints are the points at which tests let engines crash.
var CrashPoints = map[string]CrashPoint{
	"after the header":            {},
	"200 ms after the header":     {Delay: 200 * time.Millisecond},
	"before the header":           {BeforeHeader: true},
	"200 ms before the header":    {BeforeHeader: true, Delay: 200 * time.Millisecond},
	"after one event":             {Events: 1},
	"after two events":            {Events: 2},
	"200 ms after several events": {Events: 5, Delay: 200 * time.Millisecond},
}

// crashByPart begins the answer and crashes the engine at a point of it, unless the caller leaves before. It does not return.
func (e *Engine) crashByPart(w http.ResponseWriter, r *http.Request, point CrashPoint, afterEvent int) {
	control := http.NewResponseController(w)
	e.runFor(r, e.EventInterval)
	if !point.BeforeHeader {
		_ = control.Flush()
	}
	for event := afterEvent + 1; event <= afterEvent+point.Events; event++ {
		e.runFor(r, e.EventInterval)
		_, _ = w.Write([]byte(e.eventText(event, r)))
		_ = control.Flush()
	}
	e.runFor(r, point.Delay)
	e.crash(true)
	if e.isSilent() {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// Crash breaks off all responses and keeps the engine down for DownTime. A crash of an engine that
// is down has no effect.
func (e *Engine) Crash() { e.crash(false) }

func (e *Engine) crash(byRequest bool) {
	e.mutex.Lock()
	if e.down {
		e.mutex.Unlock()
		return
	}
	e.down = true
	e.crashes++
	if byRequest {
		e.requestCrashes = append(e.requestCrashes, time.Now())
	}
	clear(e.reservations)
	close(e.crashed)
	server, silent := e.server, e.knobs.CrashSilently
	e.mutex.Unlock()
	if server != nil && !silent {
		server.stop()
	}
	time.AfterFunc(e.DownTime, e.restart)
}

func (e *Engine) restart() {
	e.mutex.Lock()
	server, silent := e.server, e.knobs.CrashSilently
	e.mutex.Unlock()
	if server != nil && silent {
		server.stop()
	}
	e.mutex.Lock()
	e.down, e.crashed = false, make(chan struct{})
	e.mutex.Unlock()
	if server != nil {
		server.start()
	}
	if e.OnRestart != nil {
		e.OnRestart()
	}
}

// Incarnation is 1, and increases with each crash.
func (e *Engine) Incarnation() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return 1 + e.crashes
}

// RequestCrashes returns when the engine crashed because of Knobs.CrashPart or Knobs.CrashTarget,
// oldest first.
func (e *Engine) RequestCrashes() []time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]time.Time(nil), e.requestCrashes...)
}

func (e *Engine) isSilent() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.knobs.CrashSilently
}

func (e *Engine) isDown() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.down
}

// hasPart reports whether a prompt has the part in another place than the last.
func hasPart(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	for _, entry := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(entry, ":"); part != "" && id == part {
			return true
		}
	}
	return false
}
