package fleetengine

import (
	"strings"
	"time"
)

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
