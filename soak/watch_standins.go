package soak

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/upstream"
)

const (
	completionPath = "/v1/chat/completions"
	reservePath    = "/v1/kv/reserve"
	headerKey      = "Idempotency-Key"
)

// standIn is where a stand-in stands, and what it has seen.
type standIn struct {
	name, vm, dataCentre, address string
	// refusing makes it refuse calls unrun.
	refusing atomic.Bool
	clock    *clock

	mutex sync.Mutex
	seen  []Seen
}

// watch keeps what arrives at an application, with the time of its arrival.
func (s *standIn) watch(app *fiber.App, classify func(*fasthttp.RequestCtx) (SeenKind, string)) {
	inner := app.Handler()
	app.Server().Handler = func(ctx *fasthttp.RequestCtx) {
		at := s.clock.now()
		kind, name := classify(ctx)
		if kind != "" && s.refusing.Load() {
			ctx.Response.Header.Set(upstream.HeaderNotRun, "true")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		} else {
			inner(ctx)
		}
		if kind == "" {
			return
		}
		ran := ctx.Response.StatusCode() == http.StatusOK && len(ctx.Response.Header.Peek(upstream.HeaderNotRun)) == 0
		s.keep(Seen{At: at, Kind: kind, Upstream: s.name, VM: s.vm, DataCentre: s.dataCentre, Name: name, Ran: ran})
	}
}

func (s *standIn) keep(seen Seen) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seen = append(s.seen, seen)
}

// all returns what it has seen.
func (s *standIn) all() []Seen {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Seen(nil), s.seen...)
}

// engineCall picks out new work at an engine. Renewals of memory are none.
func engineCall(ctx *fasthttp.RequestCtx) (SeenKind, string) {
	if !ctx.IsPost() {
		return "", ""
	}
	switch string(ctx.Path()) {
	case completionPath:
		return SeenCompletion, engine.Mark(ctx.PostBody())
	case reservePath:
		var wanted struct {
			Attempt string `json:"attempt"`
			Renew   bool   `json:"renew"`
		}
		if json.Unmarshal(ctx.PostBody(), &wanted) == nil && !wanted.Renew && wanted.Attempt != fillerAttempt {
			return SeenReservation, strings.Clone(wanted.Attempt)
		}
	}
	return "", ""
}

// serviceCall names a call as the service counts it.
func serviceCall(ctx *fasthttp.RequestCtx) (SeenKind, string) {
	if key := ctx.Request.Header.Peek(headerKey); len(key) > 0 {
		return SeenCall, string(key)
	}
	return SeenCall, string(ctx.Path())
}
