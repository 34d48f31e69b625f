package exchange

import (
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/telemetry"
)

// openRequests holds the requests that are being served. It is safe for concurrent use.
type openRequests struct {
	mutex    sync.Mutex
	handlers map[*requestHandler]struct{}
}

// add adds a request; the caller calls remove at its end.
func (o *openRequests) add(handler *requestHandler) (remove func()) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.handlers == nil {
		o.handlers = map[*requestHandler]struct{}{}
	}
	o.handlers[handler] = struct{}{}
	return func() {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		delete(o.handlers, handler)
	}
}

// LogCutRequests logs the requests that are still being served, as the process is about to end.
func (e *Exchange) LogCutRequests() {
	e.openRequests.mutex.Lock()
	defer e.openRequests.mutex.Unlock()
	for r := range e.openRequests.handlers {
		e.config.Logger.Warn().Str("request_id", r.request.ID).Str("route", r.request.Route.Name).Bool("begun", r.begun.Load()).
			Dur("taken_ms", time.Since(r.request.Arrived)).Dur("since_stop_ms", e.ending.sinceStop()).Msg(telemetry.LogRequestCut)
	}
}
