// Package fault holds the fault settings that the stand-ins share, and the HTTP
// endpoint that reads and sets them.
package fault

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// PathControl is the path at which the knobs are read (GET) and replaced (PUT).
const PathControl = "/control"

// Knobs are the faults that a stand-in injects. The zero value injects none.
type Knobs struct {
	// Down rejects every call with status 503.
	Down bool `json:"down"`
	// DelayMS is the delay before every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of calls that take effect and whose connection is then
	// closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseWrites does the same for this many transactions of the platform's table.
	LoseWrites int `json:"lose_writes"`
	// Frozen accepts calls and holds them unanswered until it is cleared.
	Frozen bool `json:"frozen"`
	// Cold makes an engine run one request at a time and reject the others.
	Cold bool `json:"cold"`
	// LoadLagMS is the age of an engine's load report, in milliseconds.
	LoadLagMS int `json:"load_lag_ms"`
	// Crash restarts an engine once: its streams and memory are lost.
	Crash bool `json:"crash"`
	// ColdStartMS is how long an engine can bear only one request at a time after the
	// Crash and each later restart, in milliseconds.
	ColdStartMS int `json:"cold_start_ms"`
	// LoseCancels is the number of cancel calls that are acknowledged and ignored.
	LoseCancels int `json:"lose_cancels"`
	// Draining makes the stand-in report that it is draining.
	Draining bool `json:"leaving"`
	// BreakStreams is the number of streams that are canceled after three tokens.
	BreakStreams int `json:"break_streams"`
	// CutStreams is the number of streams whose connection is closed after three
	// tokens; the streams themselves go on.
	CutStreams int `json:"cut_streams"`
}

// Control holds the knobs of one stand-in. It is safe for concurrent use.
type Control struct {
	mutex sync.Mutex
	knobs Knobs
	onSet func(Knobs)
}

// OnSet registers a callback that gets the knobs each time they are replaced. Call it
// before the first Set.
func (c *Control) OnSet(call func(Knobs)) {
	c.onSet = call
}

// Knobs returns the current knobs.
func (c *Control) Knobs() Knobs {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.knobs
}

// Set replaces the knobs.
func (c *Control) Set(knobs Knobs) {
	c.mutex.Lock()
	c.knobs = knobs
	c.mutex.Unlock()
	if c.onSet != nil {
		c.onSet(knobs)
	}
}

// Take decrements the counter that field selects and reports whether it was positive.
func (c *Control) Take(field func(*Knobs) *int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counter := field(&c.knobs)
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// Routes adds the control endpoint and a middleware that applies the common faults
// to every route added later.
func (c *Control) Routes(app *fiber.App) {
	app.Get(PathControl, func(ctx *fiber.Ctx) error { return ctx.JSON(c.Knobs()) })
	app.Put(PathControl, c.putKnobs)
	app.Use(c.applyFaults)
}

func (c *Control) putKnobs(ctx *fiber.Ctx) error {
	var knobs Knobs
	if err := json.Unmarshal(ctx.Body(), &knobs); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	c.Set(knobs)
	return ctx.JSON(knobs)
}

const frozenPollInterval = 20 * time.Millisecond

func (c *Control) applyFaults(ctx *fiber.Ctx) error {
	for c.Knobs().Frozen {
		time.Sleep(frozenPollInterval)
	}
	knobs := c.Knobs()
	if knobs.Down {
		return ctx.SendStatus(fiber.StatusServiceUnavailable)
	}
	time.Sleep(time.Duration(knobs.DelayMS) * time.Millisecond)
	if err := ctx.Next(); err != nil {
		return err
	}
	if c.Take(func(k *Knobs) *int { return &k.LoseAnswers }) {
		return ctx.Context().Conn().Close()
	}
	return nil
}
