package fleetengine

import (
	"strings"
	"time"
)

// Crash breaks off all streams and keeps the engine down for DownTime. A crash of an engine that
// is down has no effect.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.down {
		return
	}
	e.down = true
	e.crashes++
	clear(e.reservations)
	close(e.crashed)
	time.AfterFunc(e.DownTime, e.restart)
}

func (e *Engine) restart() {
	e.mutex.Lock()
	e.down, e.crashed = false, make(chan struct{})
	e.mutex.Unlock()
	if e.OnRestart != nil {
		e.OnRestart()
	}
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashes
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
