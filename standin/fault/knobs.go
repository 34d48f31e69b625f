// Package fault holds the fault knobs that stand-ins share and their control
// endpoint.
package fault

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// PathControl is where the knobs are read (GET) and set (PUT).
const PathControl = "/control"

// Knobs are the faults that a stand-in shows. The zero value shows none.
type Knobs struct {
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// DelayMS is added before every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers closes the connection after the call took effect, for this
	// many calls.
	LoseAnswers int `json:"lose_answers"`
	// LoseWrites does so after this many writes to the platform's table.
	LoseWrites int `json:"lose_writes"`
	// Frozen accepts calls and answers none until it is cleared.
	Frozen bool `json:"frozen"`
	// Cold lets an engine run one request at a time and refuse the others.
	Cold bool `json:"cold"`
	// LoadLagMS is how old an engine's load report is, in milliseconds.
	LoadLagMS int `json:"load_lag_ms"`
	// Crash restarts an engine once: its streams and memory are lost.
	Crash bool `json:"crash"`
	// ColdStartMS is how long an engine bears one request at a time after its
	// next starts, in milliseconds.
	ColdStartMS int `json:"cold_start_ms"`
	// LoseCancels ignores this many cancels.
	LoseCancels int `json:"lose_cancels"`
	// Leaving shows the stand-in as leaving.
	Leaving bool `json:"leaving"`
	// BreakStreams ends this many streams for good after three tokens.
	BreakStreams int `json:"break_streams"`
	// CutStreams cuts the connection of this many streams after three tokens;
	// the streams run on.
	CutStreams int `json:"cut_streams"`
}

// Control holds the knobs of one stand-in. It is safe for concurrent use.
type Control struct {
	mutex sync.Mutex
	knobs Knobs
	onSet func(Knobs)
}

// OnSet sets what is called with the knobs each time that they are replaced. It
// is set before the first Set.
func (c *Control) OnSet(call func(Knobs)) {
	c.onSet = call
}

// Knobs returns the knobs as they are.
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

// Take uses up one unit of the counter that field selects.
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

// Routes adds the control endpoint and applies the common faults to every
// route added after it.
func (c *Control) Routes(app *fiber.App) {
	app.Get(PathControl, func(ctx *fiber.Ctx) error { return ctx.JSON(c.Knobs()) })
	app.Put(PathControl, c.put)
	app.Use(c.apply)
}

func (c *Control) put(ctx *fiber.Ctx) error {
	var knobs Knobs
	if err := json.Unmarshal(ctx.Body(), &knobs); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	c.Set(knobs)
	return ctx.JSON(knobs)
}

const frozenPoll = 20 * time.Millisecond

func (c *Control) apply(ctx *fiber.Ctx) error {
	for c.Knobs().Frozen {
		time.Sleep(frozenPoll)
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
