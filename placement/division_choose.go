package placement

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// frontSample is the number of engines among which a short prompt's is chosen.
	frontSample = 4
	// spareSlots is the number of an engine's slots that streams take only at spareSlotCostMs each: other
	// nodes may have taken them already, and the request would wait at the engine.
	spareSlots, spareSlotCostMs = 3, 100
	// overflowMargin is the part of the time to the first event that is left for the way when a short
	// prompt is placed.
	overflowMargin = 30 * time.Millisecond
	// backTimeShare is the share of the time left that the prefill on engines without streams may take.
	backTimeShare = 0.9
	// lateSpareEngines is the number of free engines that a prompt which cannot be in time any more leaves
	// to others.
	lateSpareEngines = 1
	// maxBackEngines is the most engines over which a prompt is split in the back while it can still be
	// answered in time.
	maxBackEngines = 6
)

// placeShort places a short prompt in the front, or, where it would be late or without a slot there, on
// an engine of the back that reads nothing long.
func (s *Scheduler) placeShort(now time.Duration, request *Request, service *fleet.Service, eligible []*load, d *division) (Decision, bool) {
	sample := s.scoreEngines(now, s.sampleFront(eligible, d), noLongPool)
	for i := range sample {
		full := sample[i].load.occupied(now) - (service.Engine.Slots - spareSlots)
		sample[i].score += float64(max(0, full)) * spareSlotCostMs
	}
	slices.SortFunc(sample, func(a, b scoredLoad) int { return compare(a.score, b.score) })
	lead := s.selectLead(now, service, sample, request)
	if lead == nil { // no slot in the sample
		lead = s.selectLead(now, service, s.scoreEngines(now, eligible, d.backStart), request)
	}
	if lead == nil {
		return Decision{}, false
	}
	promptMs := prefillMs(service.Engine, request.PromptTokens)
	left := float64((request.AnswerDue - now - overflowMargin).Microseconds()) / 1000
	if late := lead.msUntilPrefilled(now, promptMs); late > left || lead.position() >= d.backStart {
		calm := slices.DeleteFunc(slices.Clone(eligible), func(l *load) bool {
			return l.position() >= d.reservedStart || l.totalHelperPrompts() > 0 || l.backlogMs(now) > minLongChunkMs
		})
		other := s.selectLead(now, service, s.scoreEngines(now, calm, noLongPool), request)
		if other != nil && (other.msUntilPrefilled(now, promptMs) < late || lead.position() >= d.reservedStart) {
			lead = other
		}
	}
	return s.place(now, request, service, lead, nil, nil), true
}

// sampleFront returns random engines of the front. Nodes hear late of each other's placements: the best of a
// few engines spreads what all place meanwhile, which would meet on the best of all.
func (s *Scheduler) sampleFront(eligible []*load, d *division) []*load {
	front := make([]*load, 0, len(eligible))
	for _, l := range eligible {
		if l.position() < d.backStart {
			front = append(front, l)
		}
	}
	count := min(len(front), frontSample)
	for i := range count {
		j := i + s.config.Random.IntN(len(front)-i)
		front[i], front[j] = front[j], front[i]
	}
	return front[:count]
}

// placeLongest places one of the longest prompts on the fewest engines without streams that read it in
// time. Where there are none, it waits while it can still be answered in time, and after that as long as
// it can be answered at all. It reports false for decided where the prompt is short enough for parts beside
// streams and cannot wait.
func (s *Scheduler) placeLongest(now time.Duration, request *Request, service *fleet.Service, eligible []*load, d *division, promptMs float64) (decision Decision, placed, decided bool) {
	engine := service.Engine
	budgetMs := float64((request.AnswerDue-now-claimTime).Milliseconds())*backTimeShare - decodePassMs(engine, 1, request.PromptTokens)
	inTime := budgetMs > promptMs/maxBackEngines
	claimed, waits := s.confirmClaim(now, request.ID, eligible, inTime)
	if waits {
		return Decision{}, false, true
	}
	if len(claimed) > 0 {
		decision, placed = s.placeOnFree(now, request, service, claimed)
		return decision, placed, true
	}
	free := s.freeEngines(now, service, eligible, d)
	spare := 0
	if !inTime {
		fits := promptMs/float64(min(s.config.MaxPrefillEngines, len(eligible))) <= s.maxChunkMs(now, service, eligible)
		if fits {
			return Decision{}, false, false
		}
		// It cannot be in time any more: it leaves engines to those that can, until it would be too late.
		budgetMs = s.latestFirstEventMs(now, engine, request)
		if budgetMs < promptMs/maxBackEngines {
			return refuse(request, TooLate, s.retryAfter(now, request)), true, true
		}
		if budgetMs > promptMs {
			spare = lateSpareEngines
		}
	}
	count := 1
	if distributes(request, engine) {
		if _, possible := s.selectHolders(now, service, eligible, request); !possible {
			return refuse(request, TooLarge, defaultRetryAfter), true, true
		}
		count = s.minHolderCount(request, engine)
	}
	for count < len(free) && s.prefillTimeMs(now, free, count, promptMs) > budgetMs {
		count++
	}
	if count > min(s.config.MaxPrefillEngines, len(free)) || count+spare > len(free) || s.prefillTimeMs(now, free, count, promptMs) > budgetMs {
		return Decision{}, false, true
	}
	if s.nodeCount > 1 {
		s.claimEngines(now, request.ID, free[:count])
		return Decision{}, false, true
	}
	decision, placed = s.placeOnFree(now, request, service, free[:count])
	return decision, placed, true
}

// latestFirstEventMs is the time in ms until the latest first event with which the answer is complete
// before its caller leaves.
func (s *Scheduler) latestFirstEventMs(now time.Duration, engine *fleet.Engine, request *Request) float64 {
	passes := float64(request.AnswerTokens) / float64(max(1, engine.StepsPerPass))
	left := float64((request.Deadline - now - claimTime).Milliseconds()) - passes*decodePassMs(engine, 1, request.PromptTokens)
	if request.CallerTimeoutAt > 0 {
		left = min(left, float64((request.CallerTimeoutAt - now - claimTime).Milliseconds()))
	}
	return left * backTimeShare
}

// distributes reports whether a prompt needs the memory of several engines.
func distributes(request *Request, engine *fleet.Engine) bool {
	return request.PromptTokens+request.AnswerTokens > engine.MemoryTokens
}

// minHolderCount is the least number of empty engines that hold a prompt together.
func (s *Scheduler) minHolderCount(request *Request, engine *fleet.Engine) int {
	return max(minHolders, request.PromptTokens/max(1, usableTokens(engine)-request.AnswerTokens)+1)
}

// placeOnFree places a prompt on all of the engines, which have no streams.
func (s *Scheduler) placeOnFree(now time.Duration, request *Request, service *fleet.Service, engines []*load) (Decision, bool) {
	if !distributes(request, service.Engine) {
		return s.placeOn(now, request, service, engines, len(engines))
	}
	holders, possible := s.selectHolders(now, service, engines, request)
	if !possible || len(holders) == 0 {
		return Decision{}, false
	}
	helpers := slices.Clone(holders[1:])
	for _, l := range engines {
		if !slices.Contains(holders, l) {
			helpers = append(helpers, l)
		}
	}
	return s.place(now, request, service, holders[0], helpers, holders), true
}

// freeEngines returns the engines without streams and without anything to read, those of the back
// first. Their order is random, since nodes hear late of each other's placements.
func (s *Scheduler) freeEngines(now time.Duration, service *fleet.Service, eligible []*load, d *division) []*load {
	var free []scoredLoad
	for _, l := range eligible {
		if l.occupied(now) > 0 || l.totalHelperPrompts() > 0 || l.backlogMs(now) > negligibleBacklogMs || !s.canPrefill(now, service.Engine, l) {
			continue
		}
		score := l.currentFailureShare(now)*failureCostMs + s.config.Random.Float64()*jitterMs + (l.currentSpeedFactor(now)-1)*longPoolCostMs
		if l.position() < d.backStart {
			score += longPoolCostMs
		}
		free = append(free, scoredLoad{load: l, score: score})
	}
	slices.SortFunc(free, func(a, b scoredLoad) int { return compare(a.score, b.score) })
	engines := make([]*load, len(free))
	for i := range free {
		engines[i] = free[i].load
	}
	return engines
}
