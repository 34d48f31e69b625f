package model

import (
	"time"

	"github.com/wigeontiller/wigeontiller/bench/virtual"
)

const (
	// ServiceSlots is how many calls a service process serves at once.
	ServiceSlots = 32
	// serviceTime is how long a warm process takes for a call.
	serviceTime = 50 * time.Millisecond
)

// Service is the model of one process of a plain service.
type Service struct {
	loop *virtual.Loop
	Warmth
	calls map[string]func(whole bool)
	order []string
	down  bool
	// FellOver counts how often a load too large for a cold start broke it.
	FellOver int
}

// NewService returns a warm, idle process.
func NewService(loop *virtual.Loop) *Service {
	return &Service{loop: loop, calls: map[string]func(bool){}}
}

// Submit starts a call, or returns ErrFull or ErrDown. End is called once.
func (s *Service) Submit(id string, end func(whole bool)) error {
	if s.down {
		return ErrDown
	}
	if len(s.calls) >= ServiceSlots {
		return ErrFull
	}
	s.calls[id] = end
	s.order = append(s.order, id)
	if len(s.calls) > s.bearable(s.loop.Now(), ServiceSlots) {
		s.FellOver++
		s.Crash()
		return nil
	}
	taken := time.Duration(float64(serviceTime) / s.speed(s.loop.Now()))
	s.loop.After(taken, func() { s.finish(id, true) })
	return nil
}

// Crash breaks all calls; the process restarts and is cold for a while.
func (s *Service) Crash() {
	s.down = true
	s.loop.After(RestartTime, func() {
		s.down = false
		s.GoCold(s.loop.Now())
	})
	for len(s.order) > 0 {
		s.finish(s.order[0], false)
	}
}

func (s *Service) finish(id string, whole bool) {
	end, ok := s.calls[id]
	if !ok {
		return
	}
	delete(s.calls, id)
	for i, other := range s.order {
		if other == id {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
	end(whole)
}
