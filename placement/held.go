package placement

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// heldSpread is the time, in ms, over which a large read counts.
	heldSpread = 4000
	// heldIdle is the share of reading up to which engines count as idle.
	heldIdle = 0.1
	// heldLoad is the share of the engines' time that may go to reading when a
	// prompt comes that takes several engines' memory.
	heldLoad = 0.2
	// heldFew is the part of the fleet's engines that may read such a prompt at any
	// load up to heldBusy: it then stops few of the fleet's streams, and there is room
	// for other reading. Larger parts were worth less: docs/MEASUREMENTS.md.
	heldFew, heldBusy = 0.1, 0.7
	// busyRetryAfter is when such a prompt may find the engines less busy.
	busyRetryAfter = 3 * time.Second
)

// placeHeld places a prompt that several engines hold. Reading it takes so long
// that it is refused while engines read much already: it would make many others late.
func (s *Scheduler) placeHeld(now time.Duration, request *Request, service *fleet.Service, readers []*load, count int) (Decision, bool) {
	share := readMs(service.Engine, request.PromptTokens) / float64(len(readers)) / heldSpread
	busy := s.readLoad(now, readers)
	few := float64(count) <= float64(len(readers))*heldFew && busy < heldBusy
	if !few && busy+share > heldLoad && busy > heldIdle {
		return refuse(request, Busy, busyRetryAfter), true
	}
	if !few && busy > heldIdle {
		// It is late rather than many others.
		count = 0
	}
	holders, possible := s.holders(now, service, readers, request)
	if !possible {
		return refuse(request, TooLarge, defaultRetryAfter), true
	}
	if len(holders) == 0 {
		return Decision{}, false
	}
	// The lead's own reservation takes one of the places.
	count = min(max(count, len(holders)), s.config.MaxPrefillEngines-1)
	helpers := slices.Clone(holders[1:])
	for _, l := range readers {
		if len(helpers) >= count-1 {
			break
		}
		if !slices.Contains(holders, l) {
			helpers = append(helpers, l)
		}
	}
	return s.place(now, request, service, holders[0], helpers, holders), true
}

// readLoad is the share of the engines' time that went to reading lately.
func (s *Scheduler) readLoad(now time.Duration, engines []*load) float64 {
	total := 0.0
	for _, l := range engines {
		total += l.readShare(now)
	}
	return total / float64(max(1, len(engines)))
}

// fewestStopped orders readers for a prompt whose parts stop the streams beside
// them for longer than those bear: engines with few streams first.
func (s *Scheduler) fewestStopped(now time.Duration, readers []*load) {
	score := func(l *load) float64 { return s.readScore(now, l) + float64(l.totalRunning())*stoppedMs }
	slices.SortFunc(readers, func(a, b *load) int { return compare(score(a), score(b)) })
}

const (
	// memoryMargin is the part of an engine's memory that is not planned for: other
	// nodes' news are some ms old, and an engine rounds up to whole blocks.
	memoryMargin = 0.03
	// shareTokens is the part of a prompt that one engine is to hold, where enough
	// engines have room: a long context slows all writers beside it.
	shareTokens = 80_000
	// maxHolders bounds the engines that hold one prompt.
	maxHolders = 8
)

// holders are the engines to hold a prompt together, the lead first; none if they
// have no room now. It reports false if the prompt is too large for any number.
func (s *Scheduler) holders(now time.Duration, service *fleet.Service, readers []*load, request *Request) ([]*load, bool) {
	engine := service.Engine
	usable := int(float64(engine.MemoryTokens) * (1 - memoryMargin))
	if request.PromptTokens+request.AnswerTokens > usable*min(maxHolders, len(readers)) {
		return nil, false
	}
	free := func(l *load) int { return usable - l.totalMemory() }
	// Those with room come in the readers' order.
	candidates := slices.Clone(readers)
	slices.SortStableFunc(candidates, func(a, b *load) int {
		return min(free(b), shareTokens) - min(free(a), shareTokens)
	})
	most := min(maxHolders, len(candidates))
	for count := max(2, min(most, (request.PromptTokens+shareTokens-1)/shareTokens)); count <= most; count++ {
		share := request.PromptTokens/count + 1
		if free(candidates[count-1]) < share+request.AnswerTokens {
			continue
		}
		chosen := slices.Clone(candidates[:count])
		for i, l := range chosen {
			if l.occupied(now) < engine.Slots && s.warm(now, l, service) {
				chosen[0], chosen[i] = chosen[i], chosen[0]
				return chosen, true
			}
		}
	}
	return nil, true
}
