package scheduling

import "github.com/rotisserie/eris"

// Check verifies that the counters agree with the requests they count. It returns
// an error that wraps ErrInvariant, or nil. It visits all requests and upstreams,
// so call it rarely.
func (s *Scheduler) Check() error {
	if s.violation != nil {
		return s.violation
	}
	if err := s.checkUpstreams(); err != nil {
		return err
	}
	if err := s.checkPrefills(); err != nil {
		return err
	}
	return s.checkWaiting()
}

type usageTotals struct{ requests, kvTokens, longRequests, longPrefills, prefillTokens int }

func (s *Scheduler) checkUpstreams() error {
	sums := map[*upstreamState]usageTotals{}
	for _, run := range s.running {
		total := sums[run.state]
		total.requests++
		total.kvTokens += run.kvTokens
		if run.isLong {
			total.longRequests++
		}
		if run.inPrefillTokens {
			total.prefillTokens += run.promptTokens
		}
		if run.inLongPrefills {
			total.longPrefills++
		}
		sums[run.state] = total
		for _, part := range run.otherParts {
			total := sums[part.state]
			total.requests++
			total.longRequests++
			total.kvTokens += part.kvTokens
			sums[part.state] = total
		}
	}
	for id, u := range s.upstreams {
		if counted := (usageTotals{u.requests, u.kvTokens, u.longRequests, u.longPrefills, u.prefillTokens}); counted != sums[u] {
			return eris.Wrapf(ErrInvariant, "upstream %s: counted %+v, running requests use %+v", id, counted, sums[u])
		}
		delete(sums, u)
	}
	if len(sums) > 0 {
		return eris.Wrap(ErrInvariant, "requests run at an unknown upstream")
	}
	return nil
}

func (s *Scheduler) checkPrefills() error {
	counts := map[longPrefillKey]int{}
	for _, run := range s.running {
		if run.inLongPrefills {
			counts[run.prefillKey]++
		}
	}
	if len(counts) != len(s.longPrefills) {
		return eris.Wrap(ErrInvariant, "long prefill counters do not match the running long prefills")
	}
	for key, count := range counts {
		if s.longPrefills[key] != count {
			return eris.Wrapf(ErrInvariant, "long prefills in %s: counted %d, running %d", key.dataCentre, s.longPrefills[key], count)
		}
	}
	return nil
}

func (s *Scheduler) checkWaiting() error {
	queued, counted := 0, 0
	for _, count := range s.queued {
		counted += count
	}
	for _, p := range s.pools {
		queued += p.queue.Len()
		if p.queue.Len() == 0 && p.queue.Backlog() != 0 {
			return eris.Wrap(ErrInvariant, "empty queue has a backlog")
		}
	}
	if err := s.checkGroupBacklogs(); err != nil {
		return err
	}
	if queued != len(s.waiting) || queued != counted || queued != len(s.timers) {
		return eris.Wrapf(ErrInvariant, "waiting requests: %d in queues, %d in lane counters, %d in the index, %d timers", queued, counted, len(s.waiting), len(s.timers))
	}
	return nil
}

func (s *Scheduler) checkGroupBacklogs() error {
	costs := map[*pool]float64{}
	for _, w := range s.waiting {
		if w.neededGroup {
			costs[w.pool] += w.entry.Cost
		}
	}
	for _, p := range s.pools {
		if p.groupBacklog != costs[p] {
			return eris.Wrapf(ErrInvariant, "group backlog: waiting requests cost %v tokens, counted %v", costs[p], p.groupBacklog)
		}
	}
	return nil
}
