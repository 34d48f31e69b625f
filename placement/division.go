package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// Where parts of the longest prompts do not fit between two events of a stream, over however many
// engines they are split, the engines of a service are divided. Short prompts go to the front: as many
// engines as their streams and their reading need. The longest prompts go to the back, each to engines
// without streams. All nodes order the engines by hash and know the load of each, so that they divide
// alike without a message.
const (
	// longPromptShare is the share of an engine's memory that a prompt must take up to decide whether
	// a service is divided: where only longer prompts do not fit, their few parts delay fewer streams
	// than a division would.
	longPromptShare = 0.6
	// divisionInterval is how often the division is computed again.
	divisionInterval = 20 * time.Millisecond
	// divisionShrinkTime is the time constant with which the needs of front and back fall. They rise at
	// once.
	divisionShrinkTime = 500 * time.Millisecond
	// minLongChunkMs is the prefill time from which what a node adds to an engine counts as a part of
	// one of the longest prompts.
	minLongChunkMs = 300
	// frontPrefillShare is the share of the front's time that goes to prefill. With it the prefill of
	// two prompts rarely meets in one pass.
	frontPrefillShare = 0.25
	// frontSlotShare is the share of the front's slots that streams occupy.
	frontSlotShare = 0.6
	// backBusyShare is the share of the back's engines that long prompts occupy.
	backBusyShare = 0.65
	// scarceFrontShare is the part of its need that the front keeps where there are too few engines for
	// both.
	scarceFrontShare = 0.85
	// minFrontShare and minBackShare are the least needs of front and back, as shares of the engines.
	minFrontShare, minBackShare = 0.25, 0.15
	// minDividedEngines is the number of engines from which a service is divided: in smaller fleets one long
	// prompt takes a large part of the engines, and the burst of one kind leaves none to the other.
	minDividedEngines = 32
	// minEnginesInService is the least number of them in service: with fewer, long prompts would wait for
	// the few moments without a stream.
	minEnginesInService = 4
	// minReservedShare is the share of the engines that short prompts never use, however few long ones
	// there are, and reserveTime the time constant with which a larger reserve falls: long prompts come in
	// bursts, and those that find no engine do not show in the load.
	minReservedShare = 0.05
	reserveTime      = 10 * time.Second
)

// Division says how the engines of a service are divided.
type Division struct {
	Service string
	// Front is the number of engines for short prompts, Back that for the longest.
	Front, Back int
	// Streaming and Reading are the engines of the back that run streams or read a part of a prompt.
	Streaming, Reading int
}

// division is a node's division of a service's engines.
type division struct {
	// engine and pauseTargetMs are what partsExceedPauses was derived from.
	engine            *fleet.Engine
	pauseTargetMs     float64
	partsExceedPauses bool
	// computedAt is when the rest was computed.
	computedAt time.Duration
	// front and back are the numbers of engines that they need, with decay.
	front, back float64
	// known is the number of engines, in service or not.
	known int
	// recentLong is the number of engines that long prompts needed, with the decay of the reserve.
	recentLong float64
	// backStart and reservedStart are the positions from which engines belong to the back, and from
	// which short prompts never use them.
	backStart, reservedStart float64
	counts                   Division
}

// divisionOf returns the division of a service's engines, or nil where they are not divided.
func (s *Scheduler) divisionOf(now time.Duration, service *fleet.Service) *division {
	d := s.divisions[service.Name]
	if d == nil {
		maps.DeleteFunc(s.divisions, func(name string, _ *division) bool { return s.configuration.Services[name] == nil })
		d = &division{computedAt: -divisionInterval}
		s.divisions[service.Name] = d
	}
	if pauseTargetMs := s.pauseTargetMs(service); d.engine != service.Engine || d.pauseTargetMs != pauseTargetMs {
		d.engine, d.pauseTargetMs, d.partsExceedPauses = service.Engine, pauseTargetMs, s.needsDivision(service, pauseTargetMs)
	}
	if !d.partsExceedPauses {
		return nil
	}
	if now-d.computedAt >= divisionInterval {
		s.divide(now, service, d)
	}
	if !d.divided() {
		return nil
	}
	return d
}

// divided reports whether the engines are divided, as of computedAt.
func (d *division) divided() bool {
	return d.partsExceedPauses && d.known >= minDividedEngines && d.counts.Front+d.counts.Back >= minEnginesInService
}

// needsDivision reports whether parts of long prompts exceed the tightest pause target that routes state.
func (s *Scheduler) needsDivision(service *fleet.Service, pauseTargetMs float64) bool {
	engine := service.Engine
	if _, stated := s.pauseTargets[service.Name]; !stated {
		return false
	}
	longMs := prefillMs(engine, int(float64(engine.MemoryTokens)*longPromptShare))
	return longMs/float64(s.config.MaxPrefillEngines) > pauseTargetMs-decodePassMs(engine, 1, 0)-chunkMarginMs
}

// divide computes the division from the load of the engines in service.
func (s *Scheduler) divide(now time.Duration, service *fleet.Service, d *division) {
	engine := service.Engine
	var inService []*load
	var streams, share, long float64
	d.known = 0
	for _, l := range s.ordered {
		if l.entry.Service != service.Name {
			continue
		}
		d.known++
		share += l.shortPrefillShare(now)
		if l.backlogMs(now) > minLongChunkMs || l.onlyLongStreams(s.longPromptTokens(engine)) {
			long++
		} else {
			streams += float64(l.totalRunning())
		}
		if s.usable(now, l) {
			inService = append(inService, l)
		}
	}
	slices.SortFunc(inService, func(a, b *load) int { return compare(a.position(), b.position()) })
	count := float64(len(inService))
	elapsed := now - d.computedAt
	decay := math.Exp(-float64(elapsed) / float64(divisionShrinkTime))
	d.front = decayingMax(d.front, max(streams/(frontSlotShare*float64(max(1, engine.Slots))), share/frontPrefillShare, count*minFrontShare), decay)
	d.back = decayingMax(d.back, max(long/backBusyShare, count*minBackShare), decay)
	d.computedAt, d.counts = now, Division{Service: service.Name}
	if len(inService) == 0 {
		return
	}
	d.recentLong = decayingMax(d.recentLong, long/backBusyShare, math.Exp(-float64(elapsed)/float64(reserveTime)))
	reserved := int(math.Ceil(max(count*minReservedShare, min(count*minBackShare, d.recentLong))))
	front := min(int(math.Ceil(max(scarceFrontShare*d.front, count*d.front/(d.front+d.back)))), len(inService)-reserved)
	d.backStart, d.reservedStart = positionAt(inService, front), positionAt(inService, len(inService)-reserved)
	d.counts = Division{Service: service.Name, Front: max(0, front), Back: len(inService) - max(0, front)}
	for _, l := range inService[d.counts.Front:] {
		switch {
		case l.totalRunning() == 0 && l.totalHelperPrompts() == 0:
		case l.backlogMs(now) > minLongChunkMs:
			d.counts.Reading++
		default:
			d.counts.Streaming++
		}
	}
}

// decayingMax follows a value that rises at once and falls with decay.
func decayingMax(before, value, decay float64) float64 {
	return max(value, value+(before-value)*decay)
}

// positionAt is the position of an engine in the common order, or behind all where there is none.
func positionAt(engines []*load, i int) float64 {
	if i < 0 || i >= len(engines) {
		return noLongPool
	}
	return engines[i].position()
}

// usable reports whether an engine takes requests of any kind now.
func (s *Scheduler) usable(now time.Duration, l *load) bool {
	_, held := s.held(now, l)
	return !held && !l.entry.Draining && !s.view.ZonesOutOfService[l.entry.Zone] && now >= l.avoidUntil && !l.entry.Missing()
}

// longPromptTokens is the length above which a prompt counts as long for streams and reading.
func (s *Scheduler) longPromptTokens(engine *fleet.Engine) int {
	return int(longPromptMs(s) * engine.PrefillTokensPerMs / 2)
}

// longPromptMs is the prefill time of one engine above which a prompt belongs to the back.
func longPromptMs(s *Scheduler) float64 {
	return float64(s.config.MaxPrefillEngines) * s.config.PrefillChunkMs
}

// onlyLongStreams reports whether the engine's streams are those of long prompts.
func (l *load) onlyLongStreams(tokens int) bool {
	return l.totalRunning() > 0 && l.totalMemoryTokens() > l.totalRunning()*tokens
}

// Divisions returns how the engines of the divided services are divided, as of the last decision there.
func (s *Scheduler) Divisions() []Division {
	var divisions []Division
	for _, d := range s.divisions {
		if d.divided() && s.configuration.Services[d.counts.Service] != nil {
			divisions = append(divisions, d.counts)
		}
	}
	return divisions
}
