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
	if service.ColdRatePerSecond <= 0 {
		return true
	}
	l.refillWarm(now, s.warmRate(service))
	return l.warmTokens >= 1
}

func (s *Scheduler) warmRate(service *fleet.Service) float64 {
	return service.ColdRatePerSecond * s.config.ColdRateFactor / float64(s.nodes)
}

// placeEngine places a short prompt on one engine, and a long one on the engines
// that read it, and hold it, together.
func (s *Scheduler) placeEngine(now time.Duration, request *Request, service *fleet.Service, eligible []*load) (Decision, bool) {
	engine := service.Engine
	work := readMs(engine, request.PromptTokens)
	if work <= shortParts*s.config.PrefillChunkMs {
		lead := s.lead(now, service, s.scores(now, eligible), request)
		if lead == nil {
			return Decision{}, false
		}
		return s.place(now, request, service, lead, nil, nil), true
	}
	return s.placeLong(now, request, service, eligible, work)
}

const (
	// shortParts is the number of parts up to which a prompt is read by one engine.
	shortParts = 1.5
	// bigPartMs is the part up to which a prompt is split over as many engines as
	// can be: with a pass beside it, what a stream's pause target bears.
	bigPartMs = 200
	// aimShare is the part of the time left that reading a long prompt may take.
	aimShare = 0.8
)

// placeLong chooses the readers of a long prompt: so many that each part is read
// beside the events of other streams. Where the parts would still be long, the
// fewest that are in time read it, so that fewer streams pause.
func (s *Scheduler) placeLong(now time.Duration, request *Request, service *fleet.Service, eligible []*load, work float64) (Decision, bool) {
	engine := service.Engine
	readers := s.readers(now, engine, eligible)
	left := float64((request.AnswerDue-now).Milliseconds())*aimShare - passMs(engine, 1, request.PromptTokens)
	most := min(s.config.MaxPrefillEngines, len(readers))
	count := min(most, parts(engine, request.PromptTokens, s.config.PrefillChunkMs, most))
	count = s.soonest(now, readers, count, work)
	switch {
	case s.mayWait(now, request, readers[:count], work):
		return Decision{}, false
	case work/float64(most) > bigPartMs:
		s.fewestStopped(now, readers)
		for count = 2; count < most && s.readTime(now, readers, count, work) > left; {
			count++
		}
	}
	need := request.PromptTokens + request.AnswerTokens
	if need > engine.MemoryTokens {
		return s.placeHeld(now, request, service, readers, count)
	}
	for i, l := range readers {
		if l.occupied(now) < engine.Slots && l.totalMemory()+need <= engine.MemoryTokens && s.warm(now, l, service) {
			helpers := slices.Clone(readers[:min(count, len(readers))])
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

// readers are the engines that may read a part, those that read it first and stop
// the fewest streams in front.
func (s *Scheduler) readers(now time.Duration, engine *fleet.Engine, eligible []*load) []*load {
	var readers []*load
	for _, l := range eligible {
		if s.mayHelp(now, engine, l) {
			readers = append(readers, l)
		}
	}
	if len(readers) == 0 {
		readers = slices.Clone(eligible)
	}
	slices.SortFunc(readers, func(a, b *load) int {
		return compare(s.readScore(now, a), s.readScore(now, b))
	})
	return readers
}

// readScore is the time until an engine reads, with what its failures cost.
func (s *Scheduler) readScore(now time.Duration, l *load) float64 {
	return l.readAfter(now, 0) + l.failures(now)*failCostMs + float64(l.totalRunning())*writerMs
}

const (
	// stoppedMs is the score of each stream that a long part would stop.
	stoppedMs = 30
	// writerMs is the score of each stream that a read would stop.
	writerMs = 0.5
)

// soonest is the number of readers, of the first most, that have read a prompt first:
// one that has much to read itself would hold the others up.
func (s *Scheduler) soonest(now time.Duration, readers []*load, most int, work float64) int {
	best, bestTime := most, s.readTime(now, readers, most, work)
	for count := most - 1; count > 0; count-- {
		if taken := s.readTime(now, readers, count, work); taken < bestTime {
			best, bestTime = count, taken
		}
	}
	return best
}

// readTime is when the first count engines have read a prompt in even parts, in ms.
func (s *Scheduler) readTime(now time.Duration, readers []*load, count int, work float64) float64 {
	most := 0.0
	for _, l := range readers[:count] {
		most = max(most, l.readAfter(now, work/float64(count)))
	}
	return most
}

// mayWait reports whether a long prompt that would make the next pass of one of its
// readers too long for streams beside it can still be on time in the one after it.
func (s *Scheduler) mayWait(now time.Duration, request *Request, readers []*load, work float64) bool {
	part := work / float64(len(readers))
	crowded, latest := false, 0.0
	for _, l := range readers {
		after := l.readAfter(now, part)
		crowded = crowded || l.passes.pendingMs > idleBacklogMs && l.pass(now).takes(l.passes.pendingMs+part) > milliseconds(s.config.MaxPassMs)
		latest = max(latest, after)
	}
	return crowded && now+milliseconds(latest+s.config.MaxPassMs)+beginSlack < request.AnswerDue
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (s *Scheduler) mayHelp(now time.Duration, engine *fleet.Engine, l *load) bool {
	return l.totalHelping() < engine.Slots-1 && now >= l.avoidUntil && !l.entry.Cold(now)
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

// scores are the expected ms until an engine would read a short prompt, best first.
func (s *Scheduler) scores(now time.Duration, eligible []*load) []scored {
	list := make([]scored, 0, len(eligible))
	for _, l := range eligible {
		score := l.readAfter(now, 0) + l.failures(now)*failCostMs + s.config.Random.Float64()*jitterMs
		list = append(list, scored{load: l, score: score})
	}
	slices.SortFunc(list, func(a, b scored) int { return compare(a.score, b.score) })
	return list
}

// lead is the best engine with a free slot and enough memory.
func (s *Scheduler) lead(now time.Duration, service *fleet.Service, scores []scored, request *Request) *load {
	need := request.PromptTokens + request.AnswerTokens
	for _, candidate := range scores {
		l := candidate.load
		if l.occupied(now) < service.Engine.Slots && l.totalMemory()+need <= service.Engine.MemoryTokens && s.warm(now, l, service) {
			return l
		}
	}
	return nil
}

func (s *Scheduler) place(now time.Duration, request *Request, service *fleet.Service, lead *load, helpers, holders []*load) Decision {
	decision := Decision{ID: request.ID, Lead: lead.entry, BacklogMs: lead.unread(now)}
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
		decision.ExpectedFirstEvent = time.Duration(slowest * float64(time.Millisecond))
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
			decision.Reservations = append(decision.Reservations, Reservation{Upstream: part.load.entry, Tokens: share})
		}
	}
	held.memory = request.AnswerTokens
}

// read books the reading of a part and returns when it will be read, in ms.
func (s *Scheduler) read(now time.Duration, held *placed, l *load) float64 {
	after := l.readAfter(now, held.partMs)
	l.addBacklog(now, held.partMs)
	l.toldMs += held.partMs
	held.parts = append(held.parts, part{load: l, addedMs: l.addedMs})
	return after
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
