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
	// reserveTTL is how long a member engine keeps a reservation without a renewal.
	reserveTTL = 2 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval  = reserveTTL / 4
	reserveTimeout = time.Second
	pathReserve    = "/v1/kv/reserve"
)

var errReserve = eris.New("memory not reserved")

// reservation is memory held here for an attempt that runs at another engine.
type reservation struct {
	tokens int
	until  time.Time
}

// reserveRequest is the body of a reserve call. With Renew it only extends an
// existing reservation.
type reserveRequest struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
	TTLMS   int    `json:"ttl_ms"`
	Renew   bool   `json:"renew"`
}

// expireReservations frees reservations that were not renewed in time. The caller
// holds the mutex.
func (e *Engine) expireReservations(now time.Time) {
	for id, held := range e.reservations {
		if !now.Before(held.until) {
			delete(e.reservations, id)
			e.kvTokens -= held.tokens
		}
	}
}

// reserve creates or renews a reservation. It reports whether the full amount is held.
func (e *Engine) reserve(wanted reserveRequest, slots int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.expireReservations(now)
	until := now.Add(time.Duration(wanted.TTLMS) * time.Millisecond)
	if held := e.reservations[wanted.Attempt]; held != nil {
		held.until = until
		return held.tokens == wanted.Tokens
	}
	isFull := len(e.streams)+len(e.reservations) >= slots || e.kvTokens+wanted.Tokens > e.config.KVTokens
	if wanted.Renew || wanted.Tokens <= 0 || isFull {
		return false
	}
	e.reservations[wanted.Attempt] = &reservation{wanted.Tokens, until}
	e.kvTokens += wanted.Tokens
	e.peakKVTokens = max(e.peakKVTokens, e.kvTokens)
	return true
}

// releaseReservation frees an attempt's reservation. It is idempotent.
func (e *Engine) releaseReservation(attempt string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if held := e.reservations[attempt]; held != nil {
		delete(e.reservations, attempt)
		e.kvTokens -= held.tokens
	}
}

// undoAdmission reverts an admission and counts it as rejected. Nothing has been
// executed yet.
func (e *Engine) undoAdmission(admitted *stream) {
	e.release(admitted)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.runs--
	e.rejected++
}

func (s *Server) reserveRoutes() {
	s.app.Post(pathReserve, s.reserve)
	s.app.Delete(pathReserve+"/:attempt", s.releaseReservation)
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

func (s *Server) releaseReservation(c *fiber.Ctx) error {
	s.engine.releaseReservation(c.Params("attempt"))
	return c.SendStatus(fiber.StatusOK)
}

// groupReservation is the memory that an attempt has reserved at other engines.
type groupReservation struct {
	server  *Server
	attempt string
	members []upstream.KVPart
	client  *http.Client
	done    chan struct{}
}

// reserveGroup reserves memory at each member engine, or at none.
func (s *Server) reserveGroup(attempt string, members []upstream.KVPart) (*groupReservation, error) {
	l := &groupReservation{server: s, attempt: attempt, members: members, client: &http.Client{Timeout: reserveTimeout}, done: make(chan struct{})}
	for _, member := range members {
		if err := l.reserve(member, false); err != nil {
			l.releaseMembers()
			return nil, err
		}
	}
	go l.renew()
	return l, nil
}

func (l *groupReservation) reserve(member upstream.KVPart, renew bool) error {
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

// renew renews the reservations until the attempt ends. It cancels the attempt if a
// member's reservation is lost.
func (l *groupReservation) renew() {
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

// release stops the renewals and frees the members' memory.
func (l *groupReservation) release() {
	close(l.done)
	l.releaseMembers()
}

// releaseMembers frees the memory at each member, also where the answer to the reserve
// call was lost. Reservations at members that it can't reach expire.
func (l *groupReservation) releaseMembers() {
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

// admit reserves memory at this engine and, for a group, at all members, or nowhere.
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
	if admitted.group, err = s.reserveGroup(id, parts[1:]); err != nil {
		s.engine.undoAdmission(admitted)
		return nil
	}
	return admitted
}

// release frees the members' memory first, so that an attempt which this engine no
// longer lists holds no memory anywhere.
func (s *Server) release(admitted *stream) {
	admitted.releaseGroup()
	s.engine.release(admitted)
}

// finish does the same for a stream, whose events may be retained.
func (s *Server) finish(admitted *stream) {
	admitted.releaseGroup()
	s.engine.finish(admitted)
}

func (s *stream) releaseGroup() {
	if s.group != nil {
		s.group.release()
	}
}

func (s *Server) slots() int {
	if s.control.Knobs().Cold {
		return coldSlots
	}
	return s.engine.config.Slots
}
