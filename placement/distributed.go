package placement

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// distributedPrefillSpanMs is the time over which the prefill of a prompt that
	// several engines hold is spread when its share of the engines' time is computed.
	distributedPrefillSpanMs = 4000
	// idlePrefillLoad is the share of the engines' time spent on prefill up to which
	// they count as idle.
	idlePrefillLoad = 0.1
	// distributedMaxLoad is the largest share of the engines' time spent on prefill, the
	// prompt's own included, at which a prompt that several engines hold is placed.
	distributedMaxLoad = 0.2
	// smallEngineShare is the part of the fleet's engines that may prefill such a prompt
	// at any load up to smallShareMaxLoad: it then delays few of the fleet's streams and
	// leaves room for other prefills. Larger parts are worth less: docs/MEASUREMENTS.md.
	smallEngineShare, smallShareMaxLoad = 0.1, 0.7
	// busyRetryAfter is the time after which engines may be less busy.
	busyRetryAfter = 3 * time.Second
)

// placeDistributed places a prompt that several engines hold in memory on a number of engines
// that read it. Where these are more than the engines' load leaves for one prompt, it is placed
// as one that is late.
func (s *Scheduler) placeDistributed(now time.Duration, request *Request, service *fleet.Service, engines []*load, count int, pooled bool) (Decision, bool) {
	share := prefillMs(service.Engine, request.PromptTokens) / float64(len(engines)) / distributedPrefillSpanMs
	busy := s.prefillLoad(now, engines)
	fewEngines := count <= maxEnginesUnderLoad(engines)
	switch {
	case fewEngines && busy < smallShareMaxLoad, busy <= idlePrefillLoad:
	case busy+share > distributedMaxLoad:
		return s.placeLate(now, request, service, engines, pooled)
	default:
		// One late request is better than many: use no more engines than have to hold it.
		count = 0
	}
	return s.placeOnHolders(now, request, service, engines, count)
}

// maxEnginesUnderLoad is the number of engines that may prefill one prompt while the engines are busy.
func maxEnginesUnderLoad(engines []*load) int { return int(float64(len(engines)) * smallEngineShare) }

// placeOnHolders places a prompt on the engines that hold it, and on others up to a number of engines.
func (s *Scheduler) placeOnHolders(now time.Duration, request *Request, service *fleet.Service, engines []*load, count int) (Decision, bool) {
	holders, possible := s.selectHolders(now, service, engines, request)
	if !possible {
		return refuse(request, TooLarge, defaultRetryAfter), true
	}
	if len(holders) == 0 {
		return Decision{}, false
	}
	// The lead's own reservation takes one of the MaxPrefillEngines places.
	count = min(max(count, len(holders)), s.config.MaxPrefillEngines-1)
	helpers := slices.Clone(holders[1:])
	for _, l := range engines {
		if len(helpers) >= count-1 {
			break
		}
		if !slices.Contains(holders, l) {
			helpers = append(helpers, l)
		}
	}
	return s.place(now, request, service, holders[0], helpers, holders), true
}

// prefillLoad is the share of the engines' recent time that went to prefill.
func (s *Scheduler) prefillLoad(now time.Duration, engines []*load) float64 {
	total := 0.0
	for _, l := range engines {
		total += l.prefillShare(now)
	}
	return total / float64(max(1, len(engines)))
}

// sortByFewestStreams orders engines for a prompt whose chunks delay the engines'
// streams beyond their pause target: engines with few streams come first.
func (s *Scheduler) sortByFewestStreams(now time.Duration, engines []*load) {
	score := func(l *load) float64 { return s.prefillScore(now, l) + float64(l.totalRunning())*longChunkStreamCostMs }
	slices.SortFunc(engines, func(a, b *load) int { return compare(score(a), score(b)) })
}

const (
	// memoryMargin is the part of an engine's memory that stays unreserved: other nodes'
	// updates are some ms old, and an engine rounds up to whole blocks.
	memoryMargin = 0.03
	// targetHolderTokens is the part of a prompt that one engine holds where enough
	// engines have room: a long context slows all decoding streams of its engine.
	targetHolderTokens = 80_000
	// minHolders and maxHolders are the fewest and the most engines that hold one prompt.
	minHolders, maxHolders = 2, 8
)

// canHold reports whether a number of empty engines have the memory for a prompt.
func canHold(engine *fleet.Engine, engines int, request *Request) bool {
	return request.PromptTokens+request.AnswerTokens <= usableTokens(engine)*min(maxHolders, engines)
}

// usableTokens is the part of an engine's memory that may be reserved.
func usableTokens(engine *fleet.Engine) int {
	return int(float64(engine.MemoryTokens) * (1 - memoryMargin))
}

// selectHolders returns the engines that are to hold a prompt together, the lead first,
// or none if they have no room now. It reports false if the prompt is too large for
// any number of them.
func (s *Scheduler) selectHolders(now time.Duration, service *fleet.Service, engines []*load, request *Request) ([]*load, bool) {
	engine := service.Engine
	if !canHold(engine, len(engines), request) {
		return nil, false
	}
	usable := usableTokens(engine)
	free := func(l *load) int { return l.reservableTokens(now, usable) }
	// The sort is stable: engines with the same room keep their order.
	candidates := slices.Clone(engines)
	slices.SortStableFunc(candidates, func(a, b *load) int {
		return min(free(b), targetHolderTokens) - min(free(a), targetHolderTokens)
	})
	limit := min(maxHolders, len(candidates))
	wanted := max(minHolders, min(limit, (request.PromptTokens+targetHolderTokens-1)/targetHolderTokens))
	for count := wanted; count <= limit; count++ {
		if holders := s.holdersOf(now, service, candidates[:count], request, free); holders != nil {
			return holders, true
		}
	}
	slices.SortStableFunc(candidates, func(a, b *load) int { return free(b) - free(a) })
	for count := wanted - 1; count >= minHolders; count-- {
		if holders := s.holdersOf(now, service, candidates[:count], request, free); holders != nil {
			return holders, true
		}
	}
	return nil, true
}

// holdersOf returns the engines with one that may lead first, or nil if they have no room for the prompt in even parts.
func (s *Scheduler) holdersOf(now time.Duration, service *fleet.Service, engines []*load, request *Request, free func(*load) int) []*load {
	part := request.PromptTokens/len(engines) + 1
	for _, l := range engines {
		if free(l) < part+request.AnswerTokens {
			return nil
		}
	}
	for i, l := range engines {
		if s.hasPlace(now, l) && s.coldRateAllows(now, l, service) {
			chosen := slices.Clone(engines)
			chosen[0], chosen[i] = chosen[i], chosen[0]
			return chosen
		}
	}
	return nil
}
