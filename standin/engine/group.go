package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	// reserveTTL is how long a member keeps memory without a renewal.
	reserveTTL = 2 * time.Second
	// renewInterval is how often the lead renews.
	renewInterval  = reserveTTL / 4
	reserveTimeout = time.Second
	pathReserve    = "/v1/kv/reserve"
)

var errReserve = eris.New("memory not reserved")

// reservation is memory that another engine's attempt holds here.
type reservation struct {
	tokens int
	until  time.Time
}

// reserveRequest is the body of a reserve call. Renew only extends one that is held.
type reserveRequest struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
	TTLMS   int    `json:"ttl_ms"`
	Renew   bool   `json:"renew"`
}

// lapse frees what was not renewed; the mutex is held.
func (e *Engine) lapse(now time.Time) {
	for id, held := range e.reserved {
		if !now.Before(held.until) {
			delete(e.reserved, id)
			e.kvTokens -= held.tokens
		}
	}
}

// reserve takes or renews memory; it reports whether all of it is held.
func (e *Engine) reserve(wanted reserveRequest, slots int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.lapse(now)
	until := now.Add(time.Duration(wanted.TTLMS) * time.Millisecond)
	if held := e.reserved[wanted.Attempt]; held != nil {
		held.until = until
		return held.tokens == wanted.Tokens
	}
	isFull := len(e.streams)+len(e.reserved) >= slots || e.kvTokens+wanted.Tokens > e.config.KVTokens
	if wanted.Renew || wanted.Tokens <= 0 || isFull {
		return false
	}
	e.reserved[wanted.Attempt] = &reservation{wanted.Tokens, until}
	e.kvTokens += wanted.Tokens
	e.peak = max(e.peak, e.kvTokens)
	return true
}

// unreserve frees an attempt's memory. A repeat changes nothing.
func (e *Engine) unreserve(attempt string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if held := e.reserved[attempt]; held != nil {
		delete(e.reserved, attempt)
		e.kvTokens -= held.tokens
	}
}

// refuse takes an admission back before anything ran.
func (e *Engine) refuse(admitted *stream) {
	e.release(admitted)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.runs--
	e.rejected++
}

func (s *Server) reserveRoutes() {
	s.app.Post(pathReserve, s.reserve)
	s.app.Delete(pathReserve+"/:attempt", s.unreserve)
}

func (s *Server) reserve(c *fiber.Ctx) error {
	var wanted reserveRequest
	if json.Unmarshal(c.Body(), &wanted) != nil || wanted.Attempt == "" {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	if !s.engine.reserve(wanted, s.slots()) {
		c.Set(upstream.HeaderNotRun, "true")
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStatus(fiber.StatusOK)
}

func (s *Server) unreserve(c *fiber.Ctx) error {
	s.engine.unreserve(c.Params("attempt"))
	return c.SendStatus(fiber.StatusOK)
}

// lead is an attempt's hold on the memory of other engines.
type lead struct {
	server  *Server
	attempt string
	members []upstream.KVPart
	client  *http.Client
	done    chan struct{}
}

// form reserves at each member, or at none.
func (s *Server) form(attempt string, members []upstream.KVPart) (*lead, error) {
	l := &lead{server: s, attempt: attempt, members: members, client: &http.Client{Timeout: reserveTimeout}, done: make(chan struct{})}
	for _, member := range members {
		if err := l.reserve(member, false); err != nil {
			l.free()
			return nil, err
		}
	}
	go l.renew()
	return l, nil
}

func (l *lead) reserve(member upstream.KVPart, renew bool) error {
	body, err := json.Marshal(reserveRequest{l.attempt, member.Tokens, int(reserveTTL.Milliseconds()), renew})
	if err != nil {
		return eris.Wrap(errReserve, err.Error())
	}
	response, err := l.client.Post("http://"+member.Address+pathReserve, fiber.MIMEApplicationJSON, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(errReserve, err.Error())
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errReserve
	}
	return nil
}

// renew keeps the memory until the attempt ends. An attempt that lost a member
// is canceled.
func (l *lead) renew() {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		if l.server.control.Knobs().Frozen {
			continue
		}
		for _, member := range l.members {
			if l.reserve(member, true) != nil {
				l.server.engine.cancel(l.attempt)
				return
			}
		}
	}
}

// end stops the renewals and frees the members.
func (l *lead) end() {
	close(l.done)
	l.free()
}

// free also frees where the answer to a reserve call was lost; what it can't
// reach lapses.
func (l *lead) free() {
	for _, member := range l.members {
		request, err := http.NewRequest(http.MethodDelete, "http://"+member.Address+pathReserve+"/"+l.attempt, nil)
		if err != nil {
			continue
		}
		if response, err := l.client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
}

// admit takes memory here and, for a group, at all members, or nowhere.
func (s *Server) admit(c *fiber.Ctx, promptTokens, answerTokens int) *stream {
	id := string(append([]byte(nil), c.Get(upstream.HeaderAttempt)...))
	parts, err := upstream.ParseKVParts(c.Get(upstream.HeaderKVEngines))
	if err != nil {
		return nil
	}
	own, total := promptTokens+answerTokens, 0
	for _, one := range parts {
		total += one.Tokens
	}
	if len(parts) > 0 && total < own {
		return nil
	}
	if len(parts) > 0 {
		own = parts[0].Tokens
	}
	admitted := s.engine.admit(id, c.Get(upstream.HeaderOwner), promptTokens, answerTokens, own, s.slots())
	if admitted == nil || len(parts) < 2 {
		return admitted
	}
	if admitted.lead, err = s.form(id, parts[1:]); err != nil {
		s.engine.refuse(admitted)
		return nil
	}
	return admitted
}

// release frees the members first, so that an attempt that this engine no
// longer lists holds memory nowhere.
func (s *Server) release(admitted *stream) {
	admitted.endLead()
	s.engine.release(admitted)
}

// end does the same for a stream, whose events may be kept.
func (s *Server) end(admitted *stream) {
	admitted.endLead()
	s.engine.end(admitted)
}

func (s *stream) endLead() {
	if s.lead != nil {
		s.lead.end()
	}
}

func (s *Server) slots() int {
	if s.control.Knobs().Cold {
		return coldSlots
	}
	return s.engine.config.Slots
}
