package placement

import (
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// lateMaxLoad is the share of the engines' time spent on prefill up to which prompts need not wait that can't
	// be answered in time: above it they would make prompts late that still can.
	lateMaxLoad = 0.15
	// lateMaxPoolLoad is the share up to which such prompts are placed in a pool once they can't wait longer: few
	// other streams are beside them there.
	lateMaxPoolLoad = 0.4
	// lateStartFactor is how many times the prefill time on as many engines as may be used must be left for a
	// late prompt to wait.
	lateStartFactor = 2
)

// placeLate places a long prompt that can't be answered in time on no more engines than hold it and read it before
// its caller leaves, however large it is. While the engines are busy it waits, which leaves them to prompts that can
// still be in time. Once it can't wait longer, it is refused if they are busy; in a pool only if it takes many of them or
// they are busier still.
func (s *Scheduler) placeLate(now time.Duration, request *Request, service *fleet.Service, engines []*load, pooled bool) (Decision, bool) {
	engine, promptMs := service.Engine, prefillMs(service.Engine, request.PromptTokens)
	distributed, needed := distributes(request, engine), 1
	if distributed {
		if !canHold(engine, len(engines), request) {
			return refuse(request, TooLarge, defaultRetryAfter), true
		}
		needed = min(len(engines), s.minHolderCount(request, engine))
	}
	limit := min(s.config.MaxPrefillEngines, len(engines))
	leftMs := s.latestFirstEventMs(now, engine, request)
	count := needed
	for count < limit && s.prefillTimeMs(now, engines, count, promptMs) > leftMs {
		count++
	}
	if s.prefillTimeMs(now, engines, count, promptMs) > leftMs {
		return refuse(request, TooLate, s.retryAfter(now, request)), true
	}
	busy := s.prefillLoad(now, engines)
	free := engines[min(count+lateSpareEngines, len(engines))-1].backlogMs(now) <= negligibleBacklogMs
	mayWait := leftMs > lateStartFactor*s.prefillTimeMs(now, engines, limit, promptMs)
	switch {
	case mayWait && (busy >= lateMaxLoad || !free):
		return Decision{}, false
	case busy >= lateMaxLoad && (!pooled || busy >= lateMaxPoolLoad || count > maxEnginesUnderLoad(engines)):
		decision := refuse(request, Busy, busyRetryAfter)
		decision.BusyEngines = &BusyEngines{Wanted: count, Needed: needed, AtHand: len(engines), PrefillLoad: busy}
		return decision, true
	case distributed:
		return s.placeOnHolders(now, request, service, engines, count)
	}
	return s.placeOn(now, request, service, engines, count)
}
