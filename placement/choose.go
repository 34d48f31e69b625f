package placement

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// failureCostMs is added to an upstream's score for a failure share of 1: the
	// time to detect the failure and to try another upstream.
	failureCostMs = 500
	// crossZoneCostMs is added to the score of an upstream in another zone, for the
	// round trip and the price of the traffic.
	crossZoneCostMs = 10
	// plainRequestCostMs is added to the score of an upstream of a plain service
	// (one without model engines) for each request that it runs.
	plainRequestCostMs = 5
	// maxPlainQueue is how many requests an upstream of a plain service gets beyond
	// its slots.
	maxPlainQueue = 4
	// negligibleBacklogMs is the prefill backlog that is too small to wait for.
	negligibleBacklogMs = 5
	// jitterMs is the random part of a score; it spreads requests over upstreams
	// that score the same.
	jitterMs = 2
)

// placePlain places a request of a plain service on the upstream with the lowest score.
func (s *Scheduler) placePlain(now time.Duration, request *Request, service *fleet.Service, eligible []*load) (Decision, bool) {
	best, bestScore := (*load)(nil), 0.0
	for _, l := range eligible {
		if !s.hasPlace(now, l) || !s.coldRateAllows(now, l, service) {
			continue
		}
		score := float64(l.totalRunning())*plainRequestCostMs + l.currentFailureShare(now)*failureCostMs + s.config.Random.Float64()*jitterMs
		if l.entry.Zone != s.config.Zone {
			score += crossZoneCostMs
		}
		if best == nil || score < bestScore {
			best, bestScore = l, score
		}
	}
	if best == nil {
		return Decision{}, false
	}
	return s.place(now, request, service, best, nil, nil), true
}

// coldRateAllows reports whether this node's part of a cold upstream's request
// rate allows one more request. The part applies at all times, since an upstream
// may turn cold without notice.
func (s *Scheduler) coldRateAllows(now time.Duration, l *load, service *fleet.Service) bool {
	if service.ColdRatePerSecond <= 0 {
		return true
	}
	l.refillColdPermits(now, s.coldRatePerSecond(service))
	return l.coldPermits >= 1
}

func (s *Scheduler) coldRatePerSecond(service *fleet.Service) float64 {
	rate := service.ColdRatePerSecond * s.config.ColdRateFactor / float64(s.nodeCount)
	if s.nodeCount > manyNodes {
		rate *= manyNodesRateShare
	}
	return rate
}

const (
	// manyNodes is the number of nodes above which each has so small a part of a cold upstream's
	// rate that the sum varies like that of independent events; manyNodesRateShare then leaves
	// room for more than three standard deviations below the allowed rate.
	manyNodes          = 24
	manyNodesRateShare = 0.7
)

// placeEngine places a short prompt on one engine, and a long one on several
// engines that prefill it, and hold it in memory, together.
func (s *Scheduler) placeEngine(now time.Duration, request *Request, service *fleet.Service, eligible []*load) (Decision, bool) {
	engine := service.Engine
	promptMs := prefillMs(engine, request.PromptTokens)
	divided := s.divisionOf(now, service)
	longPoolStart := s.longPoolStart(now, service, divided)
	if promptMs <= maxUnsplitChunks*s.config.PrefillChunkMs {
		if divided != nil {
			return s.placeShort(now, request, service, eligible, divided)
		}
		lead := s.selectLead(now, service, s.scoreEngines(now, eligible, longPoolStart), request)
		if lead == nil {
			return Decision{}, false
		}
		return s.place(now, request, service, lead, nil, nil), true
	}
	if promptMs > longPromptMs(s) {
		if divided != nil {
			if decision, placed, decided := s.placeLongest(now, request, service, eligible, divided, promptMs); decided {
				return decision, placed
			}
		} else if longPoolStart < noLongPool {
			if pool := s.longPoolEngines(now, service, eligible, longPoolStart); len(pool) > 1 {
				return s.placeInLongPool(now, request, service, pool, promptMs)
			}
		}
	}
	return s.placeLong(now, request, service, eligible, promptMs, longPoolStart, divided != nil)
}

const (
	// maxUnsplitChunks is the prompt length, in chunks of Config.PrefillChunkMs, up to which
	// one engine prefills the whole prompt.
	maxUnsplitChunks = 1.5
	// prefillTimeShare is the share of the time left until Request.AnswerDue that the prefill
	// of a long prompt may take.
	prefillTimeShare = 0.8
)

// placeLong chooses the engines that prefill a long prompt: enough that each chunk
// fits between the events of other streams. Where the chunks would still be long,
// it takes the fewest engines that finish on time, so that fewer streams pause.
func (s *Scheduler) placeLong(now time.Duration, request *Request, service *fleet.Service, eligible []*load, promptMs, longPoolStart float64, spread bool) (Decision, bool) {
	engine := service.Engine
	engines := s.prefillCandidates(now, engine, eligible, longPoolStart, spread)
	budgetMs := float64((request.AnswerDue-now).Milliseconds())*prefillTimeShare - decodePassMs(engine, 1, request.PromptTokens)
	limit := min(s.config.MaxPrefillEngines, len(engines))
	count := min(limit, chunkCount(engine, request.PromptTokens, s.config.PrefillChunkMs, limit))
	count = s.fastestCount(now, engines, count, promptMs)
	switch {
	case s.canWaitForNextPass(now, request, engines[:count], promptMs, s.maxPassMs(service)):
		return Decision{}, false
	case promptMs/float64(limit) > s.maxChunkMs(now, service, engines):
		// Prompts whose chunks would be too long even on the most engines are split over fewer.
		s.sortByFewestStreams(now, engines)
		for count = 2; count < limit && s.prefillTimeMs(now, engines, count, promptMs) > budgetMs; {
			count++
		}
	}
	need := request.PromptTokens + request.AnswerTokens
	if need > engine.MemoryTokens {
		return s.placeDistributed(now, request, service, engines, count, false)
	}
	return s.placeOn(now, request, service, engines, count)
}

// placeOn places a prompt on the first count engines, with the first one that has room as the
// lead.
func (s *Scheduler) placeOn(now time.Duration, request *Request, service *fleet.Service, engines []*load, count int) (Decision, bool) {
	engine, need := service.Engine, request.PromptTokens+request.AnswerTokens
	for i, l := range engines {
		if s.hasPlace(now, l) && l.totalMemoryTokens()+need <= engine.MemoryTokens && s.coldRateAllows(now, l, service) {
			helpers := slices.Clone(engines[:min(count, len(engines))])
			if i < count {
				helpers = slices.Delete(helpers, i, i+1)
			} else {
				helpers = helpers[:count-1]
			}
			return s.place(now, request, service, l, helpers, nil), true
		}
	}
	return Decision{}, false
}

// prefillCandidates returns the engines that may prefill a chunk: first those that
// finish it earliest and delay the fewest streams. If none may, it returns all
// eligible engines.
func (s *Scheduler) prefillCandidates(now time.Duration, engine *fleet.Engine, eligible []*load, longPoolStart float64, spread bool) []*load {
	var engines []*load
	for _, l := range eligible {
		if s.canPrefill(now, engine, l) {
			engines = append(engines, l)
		}
	}
	if len(engines) == 0 {
		engines = slices.Clone(eligible)
	}
	scored := make([]scoredLoad, len(engines))
	for i, l := range engines {
		scored[i] = scoredLoad{load: l, score: s.prefillScore(now, l) + longPoolCost(l, longPoolStart)}
		if spread {
			scored[i].score += s.config.Random.Float64() * longPoolJitterMs
		}
	}
	slices.SortFunc(scored, func(a, b scoredLoad) int { return compare(a.score, b.score) })
	for i := range scored {
		engines[i] = scored[i].load
	}
	return engines
}

// prefillScore is the time in ms until an engine has worked off its prefill backlog,
// plus the costs of its failures and of the streams that a chunk would delay.
func (s *Scheduler) prefillScore(now time.Duration, l *load) float64 {
	return l.msUntilPrefilled(now, 0) + l.currentFailureShare(now)*failureCostMs + float64(l.totalRunning())*chunkStreamCostMs
}

const (
	// longChunkStreamCostMs is added to an engine's score for each stream that a long
	// prefill chunk would delay.
	longChunkStreamCostMs = 30
	// chunkStreamCostMs is added to an engine's score for each stream that a prefill
	// chunk would delay.
	chunkStreamCostMs = 0.5
)

// fastestCount returns how many of the engines, taken from the front and at most
// limit, finish a prompt earliest: an engine with a long backlog would delay the others.
func (s *Scheduler) fastestCount(now time.Duration, engines []*load, limit int, promptMs float64) int {
	best, bestTime := limit, s.prefillTimeMs(now, engines, limit, promptMs)
	for count := limit - 1; count > 0; count-- {
		if taken := s.prefillTimeMs(now, engines, count, promptMs); taken < bestTime {
			best, bestTime = count, taken
		}
	}
	return best
}

// prefillTimeMs is the time in ms until the first count engines have prefilled a
// prompt that is split evenly between them.
func (s *Scheduler) prefillTimeMs(now time.Duration, engines []*load, count int, promptMs float64) float64 {
	latest := 0.0
	for _, l := range engines[:count] {
		latest = max(latest, l.msUntilPrefilled(now, promptMs/float64(count)))
	}
	return latest
}

// canWaitForNextPass reports whether a long prompt would make the next pass of one of
// the engines too long for the engine's streams, and would still be on time in the
// pass after that.
func (s *Scheduler) canWaitForNextPass(now time.Duration, request *Request, engines []*load, promptMs, maxPassMs float64) bool {
	chunkMs := promptMs / float64(len(engines))
	crowded, latest := false, 0.0
	for _, l := range engines {
		after := l.msUntilPrefilled(now, chunkMs)
		crowded = crowded || l.passes.pendingMs > negligibleBacklogMs && l.nextPass(now).duration(l.passes.pendingMs+chunkMs) > milliseconds(maxPassMs)
		latest = max(latest, after)
	}
	return crowded && now+milliseconds(latest+maxPassMs)+firstEventSlack < request.AnswerDue
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// canPrefill reports whether an engine may prefill a chunk of another engine's prompt.
func (s *Scheduler) canPrefill(now time.Duration, engine *fleet.Engine, l *load) bool {
	_, limited := s.limited(l)
	return !limited && l.totalHelperPrompts() < engine.Slots-1 && now >= l.avoidUntil && !l.entry.Cold(now)
}

type scoredLoad struct {
	load  *load
	score float64
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// scoreEngines scores engines for a short prompt, lowest first: the time in ms until
// an engine has worked off its prefill backlog, plus the cost of failures.
func (s *Scheduler) scoreEngines(now time.Duration, eligible []*load, longPoolStart float64) []scoredLoad {
	list := make([]scoredLoad, 0, len(eligible))
	jitter := float64(jitterMs)
	if longPoolStart < noLongPool {
		jitter = longPoolJitterMs
	}
	for _, l := range eligible {
		score := l.msUntilPrefilled(now, 0) + l.currentFailureShare(now)*failureCostMs + s.config.Random.Float64()*jitter + longPoolCost(l, longPoolStart)
		list = append(list, scoredLoad{load: l, score: score})
	}
	slices.SortFunc(list, func(a, b scoredLoad) int { return compare(a.score, b.score) })
	return list
}

// selectLead returns the engine with the lowest score that has a free slot and enough
// memory, or nil.
func (s *Scheduler) selectLead(now time.Duration, service *fleet.Service, scores []scoredLoad, request *Request) *load {
	need := request.PromptTokens + request.AnswerTokens
	for _, candidate := range scores {
		l := candidate.load
		if s.hasPlace(now, l) && l.totalMemoryTokens()+need <= service.Engine.MemoryTokens && s.coldRateAllows(now, l, service) {
			return l
		}
	}
	return nil
}

func (s *Scheduler) place(now time.Duration, request *Request, service *fleet.Service, lead *load, helpers, holders []*load) Decision {
	decision := Decision{ID: request.ID, Lead: lead.entry, BacklogMs: lead.backlogMs(now)}
	running := &runningRequest{lead: lead, class: classOf(request), placedAt: now}
	lead.takeColdPermit(now, s.coldRatePerSecond(service))
	lead.limitPermits--
	if service.Engine != nil && request.PromptTokens > 0 {
		running.memoryTokens = request.PromptTokens + request.AnswerTokens
		running.chunkMs = prefillMs(service.Engine, request.PromptTokens) / float64(1+len(helpers))
		slowest := s.addChunk(now, running, lead)
		for _, l := range helpers {
			slowest = max(slowest, s.addChunk(now, running, l))
			l.helperPrompts++
			s.changed[l] = struct{}{}
			decision.Helpers = append(decision.Helpers, l.entry)
		}
		s.reserveMemory(running, &decision, request, holders)
		slowest += decodePassMs(service.Engine, lead.totalRunning(), lead.totalMemoryTokens())
		decision.Urgency = min(maxUrgency, urgency(service.Engine, request.PromptTokens)+max(0, min(request.Priority, maxPriorityRanks)))
		decision.ExpectedFirstEvent = time.Duration(slowest * float64(time.Millisecond))
	}
	lead.running++
	lead.turns.take()
	lead.memoryTokens += running.memoryTokens
	s.changed[lead] = struct{}{}
	s.running[request.ID] = running
	return decision
}

// reserveMemory reserves the memory of a prompt that several engines hold, in even shares.
func (s *Scheduler) reserveMemory(running *runningRequest, decision *Decision, request *Request, holders []*load) {
	if len(holders) == 0 {
		return
	}
	share := request.PromptTokens/len(holders) + 1
	for i := range running.chunks {
		chunk := &running.chunks[i]
		if slices.Contains(holders, chunk.load) {
			chunk.memoryTokens = share
			chunk.load.memoryTokens += share
			decision.Reservations = append(decision.Reservations, Reservation{Upstream: chunk.load.entry, Tokens: share})
		}
	}
	running.memoryTokens = request.AnswerTokens
}

// addChunk adds a prefill chunk to an engine's backlog and returns the time in ms
// until the chunk is finished.
func (s *Scheduler) addChunk(now time.Duration, running *runningRequest, l *load) float64 {
	after := l.msUntilPrefilled(now, running.chunkMs)
	l.addBacklog(now, running.chunkMs)
	l.unpublishedMs += running.chunkMs
	running.chunks = append(running.chunks, prefillChunk{load: l, totalAddedMs: l.totalAddedMs})
	return after
}

// urgency ranks a prompt by its prefill time.
func urgency(engine *fleet.Engine, tokens int) int {
	rank := minUrgency
	for ms := prefillMs(engine, tokens); ms > urgencyBaseMs && rank < maxUrgency; ms /= urgencyGrowth {
		rank++
	}
	return rank
}

const (
	// minUrgency is the rank of the shortest prompts, maxUrgency that of the longest.
	minUrgency, maxUrgency = 1, 9
	// maxPriorityRanks is the most ranks that a low priority adds.
	maxPriorityRanks = 3
	// urgencyBaseMs is the longest prefill time of the first rank; that of each further
	// rank is urgencyGrowth times as long.
	urgencyBaseMs, urgencyGrowth = 50, 2
)
