package scheduling

import "github.com/rotisserie/eris"

// Check compares the books with each other. It returns an error that wraps
// ErrInvariant, or nil. It looks at everything: call it seldom.
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

type sum struct{ requests, kvTokens, long, prefills, reading int }

func (s *Scheduler) checkUpstreams() error {
	sums := map[*upstreamState]sum{}
	for _, run := range s.running {
		total := sums[run.state]
		total.requests++
		total.kvTokens += run.kvTokens
		if run.long {
			total.long++
		}
		if run.reads {
			total.reading += run.tokens
		}
		if run.prefill {
			total.prefills++
		}
		sums[run.state] = total
		for _, one := range run.members {
			total := sums[one.state]
			total.requests++
			total.long++
			total.kvTokens += one.kvTokens
			sums[one.state] = total
		}
	}
	for id, u := range s.upstreams {
		if have := (sum{u.requests, u.kvTokens, u.long, u.prefills, u.reading}); have != sums[u] {
			return eris.Wrapf(ErrInvariant, "upstream %s: booked %+v, running %+v", id, have, sums[u])
		}
		delete(sums, u)
	}
	if len(sums) > 0 {
		return eris.Wrap(ErrInvariant, "requests run at an upstream that is not known")
	}
	return nil
}

func (s *Scheduler) checkPrefills() error {
	counts := map[prefillKey]int{}
	for _, run := range s.running {
		if run.prefill {
			counts[run.key]++
		}
	}
	if len(counts) != len(s.prefills) {
		return eris.Wrap(ErrInvariant, "long prefills are counted that don't run")
	}
	for key, count := range counts {
		if s.prefills[key] != count {
			return eris.Wrapf(ErrInvariant, "long prefills in %s: booked %d, running %d", key.dataCentre, s.prefills[key], count)
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
			return eris.Wrap(ErrInvariant, "an empty queue has a backlog")
		}
	}
	if err := s.checkGroupBacklogs(); err != nil {
		return err
	}
	if queued != len(s.waiting) || queued != counted || queued != len(s.timers) {
		return eris.Wrapf(ErrInvariant, "%d queued, %d counted, %d waiting, %d timers", queued, counted, len(s.waiting), len(s.timers))
	}
	return nil
}

func (s *Scheduler) checkGroupBacklogs() error {
	costs := map[*pool]float64{}
	for _, w := range s.waiting {
		if w.grouped {
			costs[w.pool] += w.entry.Cost
		}
	}
	for _, p := range s.pools {
		if p.groupBacklog != costs[p] {
			return eris.Wrapf(ErrInvariant, "groups wait with %v tokens, booked %v", costs[p], p.groupBacklog)
		}
	}
	return nil
}
