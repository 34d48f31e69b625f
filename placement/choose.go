package placement

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

const (
	// failCostMs is what a certain failure counts as in the score of an upstream:
	// the time to notice it and to try another one.
	failCostMs = 500
	// zoneCostMs is the score of another zone: its round trip, and its price.
	zoneCostMs = 10
	// plainRunningMs is the score of each request that runs at a plain service.
	plainRunningMs = 5
	// plainQueue is how many requests more than its slots a plain service is sent.
	plainQueue = 4
	// idleBacklogMs is unread time that delays nothing worth a wait.
	idleBacklogMs = 5
	// jitterMs spreads the choice between equals.
	jitterMs = 2
)

// placePlain chooses the upstream of a plain service that has least to do.
func (s *Scheduler) placePlain(now time.Duration, request *Request, service *fleet.Service, eligible []*load) (Decision, bool) {
	best, bestScore := (*load)(nil), 0.0
	for _, l := range eligible {
		if l.entry.Slots > 0 && l.totalRunning() >= l.entry.Slots+plainQueue || !s.warm(now, l, service) {
			continue
		}
		score := float64(l.totalRunning())*plainRunningMs + l.failures(now)*failCostMs + s.config.Random.Float64()*jitterMs
		if l.entry.Zone != s.config.Zone {
			score += zoneCostMs
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

// warm reports whether this node's part of the rate that a cold upstream bears
// leaves room. The part binds at all times, since an upstream may turn cold
// without notice.
func (s *Scheduler) warm(now time.Duration, l *load, service *fleet.Service) bool {
	if service.WarmRate <= 0 {
		return true
	}
	l.refillWarm(now, s.warmRate(service))
	return l.warmTokens >= 1
}

func (s *Scheduler) warmRate(service *fleet.Service) float64 {
	return service.WarmRate * s.config.WarmMargin / float64(s.nodes)
}

// placeEngine chooses the lead and, for a long prompt, the engines that read with
// it, and those that hold a part of it.
func (s *Scheduler) placeEngine(now time.Duration, request *Request, service *fleet.Service, eligible []*load) (Decision, bool) {
	engine := service.Engine
	scores := s.scores(now, engine, eligible)
	slices.SortFunc(scores, func(a, b scored) int { return compare(a.score, b.score) })
	need := request.PromptTokens + request.AnswerTokens
	var holders []*load
	var lead *load
	if need > engine.MemoryTokens {
		var possible bool
		holders, possible = s.holders(now, service, scores, request)
		if !possible {
			return refuse(request, TooLarge, defaultRetryAfter), true
		}
		if len(holders) > 0 {
			lead = holders[0]
		}
	} else {
		lead = s.lead(now, service, scores, need)
	}
	if lead == nil {
		return Decision{}, false
	}
	wanted := max(len(holders), parts(engine, request.PromptTokens, s.config.PartMs, min(s.config.MaxParts, len(scores))))
	helpers := s.helpers(now, engine, scores, lead, holders, wanted)
	part := readMs(engine, request.PromptTokens) / float64(1+len(helpers))
	if wanted > 1 && s.mustPace(now, request, lead, helpers, part) {
		return Decision{}, false
	}
	return s.place(now, request, service, lead, helpers, holders), true
}

// helpers are the engines that read with the lead: those that hold a part, and the
// best of the others.
func (s *Scheduler) helpers(now time.Duration, engine *fleet.Engine, scores []scored, lead *load, holders []*load, wanted int) []*load {
	var helpers []*load
	if len(holders) > 0 {
		helpers = append(helpers, holders[1:]...)
		// The lead's own reservation takes one of the places.
		wanted = min(wanted, s.config.MaxParts-1)
	}
	for _, candidate := range scores {
		if len(helpers) >= wanted-1 {
			break
		}
		l := candidate.load
		if l != lead && !slices.Contains(helpers, l) && s.mayHelp(now, engine, l) {
			helpers = append(helpers, l)
		}
	}
	return helpers
}

func (s *Scheduler) mayHelp(now time.Duration, engine *fleet.Engine, l *load) bool {
	return l.totalHelping() < engine.Slots-1 && now >= l.avoidUntil && !l.entry.Cold(now)
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
func (s *Scheduler) holders(now time.Duration, service *fleet.Service, scores []scored, request *Request) ([]*load, bool) {
	engine := service.Engine
	usable := int(float64(engine.MemoryTokens) * (1 - memoryMargin))
	if request.PromptTokens+request.AnswerTokens > usable*min(maxHolders, len(scores)) {
		return nil, false
	}
	free := func(l *load) int { return usable - l.totalMemory() }
	var candidates []*load
	for _, candidate := range scores {
		if s.mayHelp(now, engine, candidate.load) {
			candidates = append(candidates, candidate.load)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *load) int { return free(b) - free(a) })
	most := min(maxHolders, len(candidates))
	for count := max(2, (request.PromptTokens+shareTokens-1)/shareTokens); count <= most; count++ {
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

type scored struct {
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

// scores are the expected ms until an engine would read the request.
func (s *Scheduler) scores(now time.Duration, engine *fleet.Engine, eligible []*load) []scored {
	list := make([]scored, 0, len(eligible))
	for _, l := range eligible {
		pass := passMs(engine, l.totalRunning(), l.totalMemory())
		score := (l.backlog(now)+pass)*l.paceNow(now) + l.failures(now)*failCostMs + s.config.Random.Float64()*jitterMs
		list = append(list, scored{load: l, score: score})
	}
	return list
}

// lead is the best engine with a free slot and enough memory.
func (s *Scheduler) lead(now time.Duration, service *fleet.Service, scores []scored, need int) *load {
	for _, candidate := range scores {
		l := candidate.load
		if l.occupied(now) < service.Engine.Slots && l.totalMemory()+need <= service.Engine.MemoryTokens && s.warm(now, l, service) {
			return l
		}
	}
	return nil
}

// mustPace holds a long prompt back while its engines have so much unread that
// streams beside it would pause too long, as long as it can still be on time.
func (s *Scheduler) mustPace(now time.Duration, request *Request, lead *load, helpers []*load, part float64) bool {
	if s.config.BacklogMs <= 0 {
		return false
	}
	total := lead.backlog(now)
	for _, l := range helpers {
		total += l.backlog(now)
	}
	mean := total / float64(1+len(helpers))
	if mean < idleBacklogMs || mean+part <= s.config.BacklogMs {
		return false
	}
	return now+time.Duration((mean+2*part)*float64(time.Millisecond))+beginSlack < request.Due
}

func (s *Scheduler) place(now time.Duration, request *Request, service *fleet.Service, lead *load, helpers, holders []*load) Decision {
	decision := Decision{ID: request.ID, Lead: lead.entry, BacklogMs: lead.backlog(now)}
	held := &placed{lead: lead}
	lead.warm(now, s.warmRate(service))
	if service.Engine != nil && request.PromptTokens > 0 {
		held.memory = request.PromptTokens + request.AnswerTokens
		held.partMs = readMs(service.Engine, request.PromptTokens) / float64(1+len(helpers))
		slowest := s.read(now, held, lead)
		for _, l := range helpers {
			slowest = max(slowest, s.read(now, held, l))
			l.helping++
			s.changed[l] = struct{}{}
			decision.Helpers = append(decision.Helpers, l.entry)
		}
		s.reserve(held, &decision, request, holders)
		slowest += passMs(service.Engine, lead.totalRunning(), lead.totalMemory())
		decision.Urgency = urgency(service.Engine, request.PromptTokens)
		decision.ExpectedFirst = time.Duration(slowest * float64(time.Millisecond))
	}
	lead.running++
	lead.memory += held.memory
	s.changed[lead] = struct{}{}
	s.running[request.ID] = held
	return decision
}

// reserve books the memory of a prompt that several engines hold, in even shares.
func (s *Scheduler) reserve(held *placed, decision *Decision, request *Request, holders []*load) {
	if len(holders) == 0 {
		return
	}
	share := request.PromptTokens/len(holders) + 1
	for i := range held.parts {
		part := &held.parts[i]
		if slices.Contains(holders, part.load) {
			part.memory = share
			part.load.memory += share
			decision.Reserve = append(decision.Reserve, Reservation{Upstream: part.load.entry, Tokens: share})
		}
	}
	held.memory = request.AnswerTokens
}

// read books the reading of a part and returns when it will be read, in ms.
func (s *Scheduler) read(now time.Duration, held *placed, l *load) float64 {
	l.addBacklog(now, held.partMs)
	l.toldMs += held.partMs
	held.parts = append(held.parts, part{load: l, addedMs: l.addedMs})
	return l.backlogMs * l.paceNow(now) / readShare
}

// urgency ranks a prompt by the time that reading it takes.
func urgency(engine *fleet.Engine, tokens int) int {
	rank := urgencyFirst
	for ms := readMs(engine, tokens); ms > urgencyStepMs && rank < urgencyLast; ms /= urgencyGrowth {
		rank++
	}
	return rank
}

const (
	// urgencyFirst is the rank of the shortest prompts, urgencyLast of the longest.
	urgencyFirst, urgencyLast = 1, 9
	// urgencyStepMs is the reading time of the first rank; each further rank's is
	// urgencyGrowth times as long.
	urgencyStepMs, urgencyGrowth = 50, 2
)
