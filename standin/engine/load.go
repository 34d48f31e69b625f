package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Load is an engine's report of its load.
type Load struct {
	// Incarnation increases with each start.
	Incarnation int64 `json:"incarnation"`
	// UptimeMS is the time since the start, in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	// Queue is the number of attempts whose prefill has not started; Running is the
	// number of the others and of the reservations for other engines' attempts.
	Queue    int  `json:"queue"`
	Running  int  `json:"running"`
	KVTokens int  `json:"kv_tokens"`
	Leaving  bool `json:"leaving"`
	// PeakKVTokens, Runs, Rejected and Unloaded cover the time since the process started.
	PeakKVTokens int `json:"peak_kv_tokens"`
	Runs         int `json:"runs"`
	Rejected     int `json:"rejected"`
	Unloaded     int `json:"unloaded"`
	// ReadTokens and CachedTokens count the prompt tokens that were computed and those
	// found in the prefix cache, since the process started.
	ReadTokens   int `json:"read_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Models lists the loaded models; it is null if the engine takes no orders.
	Models []string `json:"models"`
	// Role is omitted by an engine without roles.
	Role string `json:"role,omitempty"`
	// Fencing is the highest fencing token of an accepted order. UnsignedOrders counts
	// the orders rejected for their signature.
	Fencing        uint64 `json:"fencing"`
	UnsignedOrders int    `json:"unsigned_orders"`
	// Streams lists the running attempts, sorted by id.
	Streams []StreamLoad `json:"streams"`
}

// StreamLoad is one running attempt in a load report.
type StreamLoad struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
	// AgeMS is the time since the attempt was admitted, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Load returns the engine's current load.
func (e *Engine) Load() Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.measure(time.Now())
}

// measure returns the current load report. The caller holds the mutex.
func (e *Engine) measure(now time.Time) Load {
	e.expireReservations(now)
	load := Load{
		Incarnation:    e.incarnation.id,
		UptimeMS:       now.Sub(e.incarnation.started).Milliseconds(),
		KVTokens:       e.kvTokens,
		PeakKVTokens:   e.peakKVTokens,
		Runs:           e.runs,
		Rejected:       e.rejected,
		Unloaded:       e.unloaded,
		ReadTokens:     e.prefillTokens,
		CachedTokens:   e.cachedTokens,
		Models:         e.models.list(now),
		Role:           e.models.role,
		Fencing:        e.models.fencing,
		UnsignedOrders: e.models.unsigned,
		Streams:        make([]StreamLoad, 0, len(e.streams)),
	}
	load.Running = len(e.reservations)
	for _, s := range e.streams {
		if s.prefillStarted {
			load.Running++
		} else {
			load.Queue++
		}
		age := now.Sub(s.admittedAt).Milliseconds()
		load.Streams = append(load.Streams, StreamLoad{ID: s.id, Owner: s.owner, AgeMS: age})
	}
	slices.SortFunc(load.Streams, func(a, b StreamLoad) int { return strings.Compare(a.ID, b.ID) })
	return load
}

func (e *Engine) streamIDs() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	ids := make([]string, 0, len(e.streams))
	for id := range e.streams {
		ids = append(ids, id)
	}
	return ids
}

// load answers with the load report, delayed by LoadLagMS. Only Leaving is current.
func (s *Server) load(c *fiber.Ctx) error {
	knobs := s.control.Knobs()
	load := s.engine.loadWithLag(time.Now(), time.Duration(knobs.LoadLagMS)*time.Millisecond)
	load.Leaving = knobs.Draining
	return c.JSON(load)
}

func (s *Server) listStreams(c *fiber.Ctx) error {
	return c.JSON(s.engine.streamIDs())
}
