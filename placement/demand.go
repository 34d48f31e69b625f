package placement

import (
	"math"
	"time"

	"github.com/wigeontiller/wigeontiller/admission"
	"github.com/wigeontiller/wigeontiller/fleet"
)

// Demands returns what waits and arrives at this node, by class.
func (s *Scheduler) Demands(now time.Duration) []admission.Demand { return s.admission.Demands(now) }

// ApplyDemands replaces what waits and arrives at other nodes, by source.
func (s *Scheduler) ApplyDemands(now time.Duration, source string, demands []admission.Demand) {
	s.admission.Ledger().Apply(now, source, demands)
}

// classOf returns the class of a request.
func classOf(request *Request) admission.Class {
	return admission.Class{Service: Hash(request.Service), Priority: uint8(max(0, min(math.MaxUint8, request.Priority)))}
}

// arrival returns what decides on a request.
func (s *Scheduler) arrival(now time.Duration, service *fleet.Service, request *Request) admission.Arrival {
	return admission.Arrival{
		Class: classOf(request), StartBy: request.AnswerDue - s.timeToFirstEvent(service, request), GiveUpAt: s.latestStart(request),
		Hold: holdTime(service, request), Returning: request.IsRetry || s.returns.InTurn(now, request.Identity),
	}
}

// item returns a request as the queue sees it.
func (s *Scheduler) item(now time.Duration, service *fleet.Service, request *Request) *admission.Item[*Request] {
	arrival := s.arrival(now, service, request)
	return &admission.Item[*Request]{
		Arrival: arrival, ID: request.ID, Target: request.AnswerDue - request.Arrived, DueAt: request.AnswerDue,
		Organisation: request.Organisation, Work: max(1, float64(arrival.Hold.Milliseconds())), Long: s.isLong(service, request), Value: request,
	}
}

// isLong reports whether a prompt is prefilled by several engines.
func (s *Scheduler) isLong(service *fleet.Service, request *Request) bool {
	return service.Engine != nil && prefillMs(service.Engine, request.PromptTokens) > maxUnsplitChunks*s.config.PrefillChunkMs
}

// timeToFirstEvent is the time from the placement to the first event on engines whose slots are
// taken: the pass that runs, the prefill, and a pass.
func (s *Scheduler) timeToFirstEvent(service *fleet.Service, request *Request) time.Duration {
	engine := service.Engine
	if engine == nil || request.PromptTokens == 0 {
		return minExecutionTime
	}
	prefill := prefillMs(engine, request.PromptTokens)
	if s.isLong(service, request) {
		prefill /= float64(chunkCount(engine, request.PromptTokens, s.config.PrefillChunkMs, s.config.MaxPrefillEngines))
	}
	return milliseconds(2*decodePassMs(engine, engine.Slots, engine.MemoryTokens/2) + prefill)
}

// holdTime is for how long a request holds its place by the pass model, if its answer is as long as
// its caller allows.
func holdTime(service *fleet.Service, request *Request) time.Duration {
	engine := service.Engine
	if engine == nil || request.PromptTokens == 0 {
		return minExecutionTime
	}
	passes := math.Ceil(float64(request.AnswerTokens) / float64(max(1, engine.StepsPerPass)))
	return milliseconds(prefillMs(engine, request.PromptTokens) + (1+passes)*decodePassMs(engine, engine.Slots, engine.MemoryTokens/2))
}

// meanWork is the decaying mean of what the requests of a class need. It is kept by class: short prompts that
// follow a burst of long ones need no more than before.
type meanWork struct{ tokens, prefillMs float64 }

// workWeight is the weight of one new request in a mean.
const workWeight = 0.05

// recordWork records what a request needs.
func (s *Scheduler) recordWork(service *fleet.Service, request *Request) {
	if service.Engine == nil || request.PromptTokens == 0 {
		return
	}
	tokens, ms := float64(request.PromptTokens+request.AnswerTokens), prefillMs(service.Engine, request.PromptTokens)
	class := classOf(request)
	mean := s.work[class]
	if mean == nil {
		s.work[class] = &meanWork{tokens: tokens, prefillMs: ms}
		return
	}
	mean.tokens += (tokens - mean.tokens) * workWeight
	mean.prefillMs += (ms - mean.prefillMs) * workWeight
}

// room returns what the upstreams in service have room for. Places without the memory for need
// tokens are not free.
func (s *Scheduler) room(now time.Duration, request *Request, need int) admission.Room {
	var room admission.Room
	var engine *fleet.Engine
	engines := 0
	for _, l := range s.ordered {
		entry := l.entry
		if entry.Service != request.Service || l.engine == nil && entry.Slots <= 0 || entry.Draining || entry.Missing() || s.view.ZonesOutOfService[entry.Zone] || !s.inAllowedRegion(request, entry.Zone) {
			continue
		}
		if _, held := s.held(now, l); held || now < l.avoidUntil && !l.reportedRecently(now) {
			continue
		}
		if l.engine != nil {
			engine = l.engine
			engines++
		}
		room.Places += l.places()
		if now >= l.avoidUntil && (engine == nil || need > engine.MemoryTokens || l.totalMemoryTokens()+need <= engine.MemoryTokens) {
			room.Free += l.freePlaces(now)
		}
	}
	if mean := s.work[classOf(request)]; engine != nil && mean != nil {
		room.Places = max(1, min(room.Places, int(float64(engines*engine.MemoryTokens)/mean.tokens)))
		room.PerSecond = float64(engines) * 1000 / max(1, mean.prefillMs)
	}
	return room
}

// refuseForWait refuses a request that others would precede for too long.
func (s *Scheduler) refuseForWait(now time.Duration, request *Request, arrival *admission.Arrival, room admission.Room, wait time.Duration) Decision {
	decision := refuse(request, NoRoomInTime, s.returnAfter(now, request, arrival, room))
	decision.ExpectedWait = wait
	return decision
}

// returnShare is the part of the time left after which a refused caller comes back at the latest:
// the rest is for its answer.
const returnShare = 1.0 / 3

// returnAfter is the time after which a refused request is to come back; 0 if no time helps.
func (s *Scheduler) returnAfter(now time.Duration, request *Request, arrival *admission.Arrival, room admission.Room) time.Duration {
	forecast, known := s.admission.Forecast(now, arrival, room)
	if !known {
		return s.retryAfter(now, request)
	}
	latest := time.Duration(float64(request.Deadline-now) * returnShare)
	return s.returns.Plan(now, request.Identity, arrival.Priority, forecast, latest)
}
