package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Load is an engine's report of its load.
type Load struct {
	// Incarnation grows with each start.
	Incarnation int64 `json:"incarnation"`
	// UptimeMS is the time since the start, in milliseconds.
	UptimeMS int64 `json:"uptime_ms"`
	// Queue is the attempts whose prompt is not being read yet; Running are
	// the others.
	Queue    int  `json:"queue"`
	Running  int  `json:"running"`
	KVTokens int  `json:"kv_tokens"`
	Leaving  bool `json:"leaving"`
	// PeakKVTokens, Runs and Rejected count since the process started.
	PeakKVTokens int `json:"peak_kv_tokens"`
	Runs         int `json:"runs"`
	Rejected     int `json:"rejected"`
	Unloaded     int `json:"unloaded"`
	// ReadTokens and CachedTokens count prompt tokens since the process started.
	ReadTokens   int `json:"read_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Models lists what is loaded; null when the engine takes no orders.
	Models []string `json:"models"`
	// Role is left out by an engine without roles.
	Role string `json:"role,omitempty"`
	// Fencing is the highest fencing number of an order taken; UnsignedOrders
	// counts the orders refused for their signature.
	Fencing        uint64 `json:"fencing"`
	UnsignedOrders int    `json:"unsigned_orders"`
	// Streams lists the attempts that run, by id.
	Streams []StreamLoad `json:"streams"`
}

// StreamLoad is one attempt in a report.
type StreamLoad struct {
	ID    string `json:"id"`
	Owner string `json:"owner"`
	// AgeMS is the time since it was admitted, in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// Load returns the engine's load as it is.
func (e *Engine) Load() Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.measure(time.Now())
}

// measure makes a report; the mutex is held.
func (e *Engine) measure(now time.Time) Load {
	e.lapse(now)
	load := Load{
		Incarnation:    e.life.incarnation,
		UptimeMS:       now.Sub(e.life.started).Milliseconds(),
		KVTokens:       e.kvTokens,
		PeakKVTokens:   e.peak,
		Runs:           e.runs,
		Rejected:       e.rejected,
		Unloaded:       e.unloaded,
		ReadTokens:     e.readTokens,
		CachedTokens:   e.cachedTokens,
		Models:         e.models.list(now),
		Role:           e.models.role,
		Fencing:        e.models.fencing,
		UnsignedOrders: e.models.unsigned,
		Streams:        make([]StreamLoad, 0, len(e.streams)),
	}
	load.Running = len(e.reserved)
	for _, s := range e.streams {
		if s.begun {
			load.Running++
		} else {
			load.Queue++
		}
		age := now.Sub(s.admitted).Milliseconds()
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

// load answers with the report as it was a lag ago. Whether the engine leaves is
// told as it is.
func (s *Server) load(c *fiber.Ctx) error {
	knobs := s.control.Knobs()
	load := s.engine.loadBefore(time.Now(), time.Duration(knobs.LoadLagMS)*time.Millisecond)
	load.Leaving = knobs.Leaving
	return c.JSON(load)
}

func (s *Server) list(c *fiber.Ctx) error {
	return c.JSON(s.engine.streamIDs())
}
