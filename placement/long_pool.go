package placement

import (
	"math"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// In a large fleet the longest prompts are prefilled on engines of their own, the pool: a part of
// such a prompt holds up everything that its engine has to prefill in the same pass, and nodes
// hear of each other's placements too late to avoid it. The pool is the end of an order of the
// engines that all nodes share, so that they need not agree on it; its size follows the share of
// the engines' time that goes to prefill.
const (
	// minLongPoolEngines is the number of engines from which there is a pool: in smaller fleets a
	// part of the engines is too few for one long prompt.
	minLongPoolEngines = 100
	// longPoolSizeFactor is the size of the pool for each unit of load above baseLoad, which short
	// prompts cause; the pool is then busy for a half to two thirds of the time.
	longPoolSizeFactor, baseLoad = 2, 0.08
	// minLongPool and maxLongPool bound the pool's share of the engines.
	minLongPool, maxLongPool = 0.35, 0.7
	// frontOccupancy is the share of the slots of the other engines that streams may occupy
	// before the pool gives way to them.
	frontOccupancy = 0.75
	// longPoolChunkMs is the prefill time of a part of a prompt in the pool: what arrives during a
	// pass waits for its end, so that long parts make each other late.
	longPoolChunkMs = 150
	// longPoolCostMs is the cost of an engine of the pool for other prompts.
	longPoolCostMs = 1000
	// longPoolStreamCostMs is the cost of each stream on an engine of the pool, and
	// outsideStreamCostMs that of one on another engine, for a prompt of the pool: it goes
	// outside only where there is no stream.
	longPoolStreamCostMs, outsideStreamCostMs = 20, 1000
	// longPoolJitterMs is the random part of the score of a short prompt's engine where there is a
	// pool: the nodes of a large fleet hear of each other late and would choose the same one.
	longPoolJitterMs = 60
)

// position is the engine's place in the common order, from 0 to 1.
func (l *load) position() float64 { return float64(l.hash) / math.MaxUint32 }

// noLongPool is a position behind all engines.
const noLongPool = 2

// longPoolStart returns the position from which the engines of a service belong to the pool, or
// noLongPool.
func (s *Scheduler) longPoolStart(now time.Duration, service *fleet.Service, divided *division) float64 {
	if divided != nil {
		return divided.backStart
	}
	engines, share, streams := 0, 0.0, 0
	for _, l := range s.ordered {
		if l.entry.Service == service.Name {
			engines++
			share += l.prefillShare(now)
			streams += l.totalRunning()
		}
	}
	if engines < minLongPoolEngines {
		return noLongPool
	}
	pool := max(minLongPool, min(maxLongPool, longPoolSizeFactor*(share/float64(engines)-baseLoad)))
	front := float64(streams) / (frontOccupancy * float64(service.Engine.Slots*engines))
	return max(1-pool, min(front, 1-minLongPool/2))
}

// placeInLongPool places a prompt on the fewest engines that prefill it in time. Engines outside of
// the pool are used when it is busy.
func (s *Scheduler) placeInLongPool(now time.Duration, request *Request, service *fleet.Service, engines []*load, promptMs float64) (Decision, bool) {
	engine := service.Engine
	budgetMs := float64((request.AnswerDue-now).Milliseconds())*prefillTimeShare - decodePassMs(engine, 1, request.PromptTokens)
	limit := min(s.config.MaxPrefillEngines, len(engines))
	distributed := request.PromptTokens+request.AnswerTokens > engine.MemoryTokens
	count := min(limit, max(1, int(math.Ceil(promptMs/longPoolChunkMs))))
	if distributed {
		count = min(limit, minHolders)
	}
	for count < limit && s.prefillTimeMs(now, engines, count, promptMs) > budgetMs {
		count++
	}
	if s.prefillTimeMs(now, engines, count, promptMs) > budgetMs {
		return s.placeLate(now, request, service, engines, true)
	}
	if distributed {
		return s.placeDistributed(now, request, service, engines, count, true)
	}
	return s.placeOn(now, request, service, engines, count)
}

// longPoolEngines returns the engines that may prefill a part of a prompt of the pool, the best first.
func (s *Scheduler) longPoolEngines(now time.Duration, service *fleet.Service, eligible []*load, start float64) []*load {
	scored := make([]scoredLoad, 0, len(eligible))
	for _, l := range eligible {
		if !s.canPrefill(now, service.Engine, l) {
			continue
		}
		streamCostMs := float64(longPoolStreamCostMs)
		if l.position() < start {
			streamCostMs = outsideStreamCostMs
		}
		score := l.msUntilPrefilled(now, 0) + l.currentFailureShare(now)*failureCostMs + float64(1+l.totalRunning())*streamCostMs
		scored = append(scored, scoredLoad{load: l, score: score})
	}
	slices.SortFunc(scored, func(a, b scoredLoad) int { return compare(a.score, b.score) })
	engines := make([]*load, len(scored))
	for i := range scored {
		engines[i] = scored[i].load
	}
	return engines
}

// longPoolCost is the cost of an engine of the pool for a prompt that does not belong there.
func longPoolCost(l *load, start float64) float64 {
	if l.position() >= start {
		return longPoolCostMs
	}
	return 0
}
