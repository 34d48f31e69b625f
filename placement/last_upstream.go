package placement

import (
	"slices"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// drainMargin is the part of Config.DrainTime that is not used: the time from the last check before a
// send until the request has reached the upstream, with a packet lost on the way.
const drainMargin = 500 * time.Millisecond

// lastUpstreams returns the draining upstreams that may take a request because their service has no
// other: those that will have answered it before they end.
func (s *Scheduler) lastUpstreams(now time.Duration, request *Request, service *fleet.Service, draining []*load) []*load {
	return slices.DeleteFunc(draining, func(l *load) bool {
		return now+executionTime(service.Engine, request) > s.drainEnd(l.entry) ||
			now < l.avoidUntil || l.entry.Missing() || slices.Contains(request.Avoid, l.entry.ID)
	})
}

// drainEnd is until when requests may be sent to a draining upstream; 0 is never.
func (s *Scheduler) drainEnd(entry *fleet.Upstream) time.Duration {
	if s.config.DrainTime <= drainMargin || entry.DrainingSince <= 0 {
		return 0
	}
	return entry.DrainingSince + s.config.DrainTime - drainMargin
}

// maySendDraining reports whether a request that was placed on an upstream as the last of its service may
// still be sent. One that was placed while the upstream was ready is placed again, since there may be others.
func (s *Scheduler) maySendDraining(now time.Duration, placed *fleet.Upstream, known *load) bool {
	return placed.Draining && now < s.drainEnd(known.entry)
}

// executionTime is the time in which an idle upstream answers a request, as far as it is known.
func executionTime(engine *fleet.Engine, request *Request) time.Duration {
	if engine == nil || request.PromptTokens <= 0 {
		return minExecutionTime
	}
	passes := float64(request.AnswerTokens) / float64(max(1, engine.StepsPerPass))
	return milliseconds(prefillMs(engine, request.PromptTokens) + passes*decodePassMs(engine, 1, request.PromptTokens))
}
