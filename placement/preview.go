package placement

import (
	"maps"
	"time"

	"github.com/wigeontiller/wigeontiller/admission"
)

// Preview is what the scheduler would decide on a request at this moment.
type Preview struct {
	// Decision is as of Submit: without a lead and a reason the request would wait.
	Decision Decision
	// Claims are the engines that it would claim while it waits.
	Claims []string
	// WaitingBefore counts this node's requests that the queue has before it.
	WaitingBefore int
	// ExpectedWait is the expected wait for a place, and Pressure what waits and arrives at all nodes.
	ExpectedWait time.Duration
	Pressure     admission.Pressure
	// Upstreams are all upstreams of the request's service, by ID.
	Upstreams []UpstreamPreview
}

// UpstreamPreview is what the scheduler knows of one upstream that a request may be placed on.
type UpstreamPreview struct {
	ID, Zone string
	// Exclusion says why the upstream may not take the request; empty is that it may.
	Exclusion Exclusion
	// Running and Slots are the requests of all nodes there, and how many run at the same time.
	Running, Slots int
	// MemoryTokens is what they may come to need, FreeMemoryTokens the rest; both are 0 for a plain service.
	MemoryTokens, FreeMemoryTokens int
	// PrefillBacklogMs is the prefill time that is left there.
	PrefillBacklogMs float64
	// SpeedFactor is how many times longer than its model it takes.
	SpeedFactor float64
	// FailureShare is the recent share of failed attempts.
	FailureShare float64
}

// Exclusion is a reason why an upstream may not take a request.
type Exclusion string

// The exclusions.
const (
	ExcludedDraining     Exclusion = "draining"
	ExcludedZone         Exclusion = "zone_out_of_service"
	ExcludedRegion       Exclusion = "region_not_allowed"
	ExcludedOwnRequest   Exclusion = "upstream_asked_for_a_pause"
	ExcludedStatedLimit  Exclusion = "request_limit"
	ExcludedFailedBefore Exclusion = "failed_recently"
	ExcludedLapsed       Exclusion = "entry_lapsed"
	ExcludedCold         Exclusion = "cold_rate"
	ExcludedSlots        Exclusion = "no_free_slot"
	ExcludedMemory       Exclusion = "no_free_memory"
)

// Preview returns what Submit would decide on a request, and why, and changes nothing but the random source.
func (s *Scheduler) Preview(now time.Duration, request *Request) Preview {
	preview := Preview{}
	s.queue.Each(func(item *admission.Item[*Request]) {
		if item.Class == classOf(request) && item.DueAt <= request.AnswerDue || item.Value.Service == request.Service && item.Value.Priority < request.Priority {
			preview.WaitingBefore++
		}
	})
	// The state is read before the decision, which takes a place that is given back below.
	for _, l := range s.ordered {
		if l.entry.Service == request.Service {
			preview.Upstreams = append(preview.Upstreams, s.previewUpstream(now, request, l))
		}
	}
	s.previewDecision(now, request, &preview)
	return preview
}

func (s *Scheduler) previewDecision(now time.Duration, request *Request, preview *Preview) {
	service, eligible, refused := s.candidates(now, request)
	if service == nil {
		preview.Decision = refused
		return
	}
	item := s.item(now, service, request)
	room := s.room(now, request, request.PromptTokens+request.AnswerTokens)
	action, wait := s.admission.Decide(now, &item.Arrival, room)
	preview.ExpectedWait, preview.Pressure = wait, s.admission.Pressure(now, item.Service, room)
	switch action {
	case admission.Refuse:
		forecast, _ := s.admission.Forecast(now, &item.Arrival, room)
		preview.Decision = refuse(request, NoRoomInTime, forecast.Clearing)
	case admission.Run:
		preview.Decision = s.tryPlace(request, preview, func() Decision {
			decision, _ := s.placeEligible(now, request, service, eligible, room)
			return decision
		})
	case admission.Wait:
	}
}

// tryPlace places a request and takes back what this has changed.
func (s *Scheduler) tryPlace(request *Request, preview *Preview, place func() Decision) Decision {
	loads := make(map[*load]load, len(s.ordered))
	for _, l := range s.ordered {
		loads[l] = *l
	}
	changed := maps.Clone(s.changed)
	decision := place()
	delete(s.running, request.ID)
	if c := s.claims[request.ID]; c != nil {
		for _, l := range c.engines {
			preview.Claims = append(preview.Claims, l.entry.ID)
		}
		delete(s.claims, request.ID)
	}
	for l, before := range loads {
		// The maps of a load are shared with its copy; no decision changes them.
		*l = before
	}
	s.changed = changed
	return decision
}

func (s *Scheduler) previewUpstream(now time.Duration, request *Request, l *load) UpstreamPreview {
	p := UpstreamPreview{
		ID: l.entry.ID, Zone: l.entry.Zone, Exclusion: s.exclusion(now, request, l), Running: l.totalRunning(), Slots: l.entry.Slots,
		SpeedFactor: l.currentSpeedFactor(now), FailureShare: l.currentFailureShare(now),
	}
	if l.engine != nil {
		p.Slots, p.MemoryTokens = l.engine.Slots, l.totalMemoryTokens()
		p.FreeMemoryTokens = max(0, l.engine.MemoryTokens-p.MemoryTokens)
		p.PrefillBacklogMs = l.backlogMs(now)
	}
	return p
}

// exclusion returns the first reason why an upstream may not take a request.
func (s *Scheduler) exclusion(now time.Duration, request *Request, l *load) Exclusion {
	service := s.configuration.Services[request.Service]
	_, held := s.held(now, l)
	need := request.PromptTokens + request.AnswerTokens
	engine := l.engine != nil && request.PromptTokens > 0
	for _, check := range []struct {
		excluded bool
		reason   Exclusion
	}{
		{l.entry.Draining, ExcludedDraining},
		{s.view.ZonesOutOfService[l.entry.Zone], ExcludedZone},
		{!s.inAllowedRegion(request, l.entry.Zone), ExcludedRegion},
		{held, ExcludedOwnRequest},
		{!s.limitAllows(now, l), ExcludedStatedLimit},
		{now < l.avoidUntil, ExcludedFailedBefore},
		{l.entry.Missing(), ExcludedLapsed},
		{!s.coldRateAllows(now, l, service), ExcludedCold},
		{engine && l.occupied(now) >= l.engine.Slots, ExcludedSlots},
		{!engine && l.entry.Slots > 0 && l.totalRunning() >= l.entry.Slots+maxPlainQueue, ExcludedSlots},
		{engine && need <= l.engine.MemoryTokens && l.totalMemoryTokens()+need > l.engine.MemoryTokens, ExcludedMemory},
	} {
		if check.excluded {
			return check.reason
		}
	}
	return ""
}
