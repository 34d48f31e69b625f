package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/standin/engine"
)

// CallKind names a kind of request.
type CallKind string

// The kinds of request.
const (
	// Stream and Whole are completions.
	Stream CallKind = "stream"
	Whole  CallKind = "whole answer"
	// Keyed is a booking with an idempotency key.
	Keyed CallKind = "keyed booking"
	// Unkeyed is a booking without one.
	Unkeyed CallKind = "unkeyed booking"
	// Read is a read of a service.
	Read CallKind = "read"
)

// IsCompletion reports whether an engine answers it.
func (k CallKind) IsCompletion() bool {
	return k == Stream || k == Whole
}

// Leave says when a caller leaves.
type Leave string

// The times at which a caller leaves.
const (
	Stays Leave = ""
	// LeavesQueued leaves a few milliseconds after it sent.
	LeavesQueued Leave = "queued"
	// LeavesWaiting leaves before the first token of a long prompt.
	LeavesWaiting Leave = "before the first token"
	// LeavesInStream leaves after some tokens.
	LeavesInStream Leave = "in the stream"
)

// Arrival is one request of a plan.
type Arrival struct {
	Serial int
	At     time.Duration
	Kind   CallKind
	// PromptTokens and AnswerTokens are 0 for calls of a service.
	PromptTokens, AnswerTokens int
	// Mark is what each token of the own answer carries; a run sets it.
	Mark string
	// Salt makes the mark unique.
	Salt int
	// Timeout is the time that the caller gives it; 0 is the length class's.
	Timeout time.Duration
	Leave   Leave
	// LeaveAfter is the time, or for LeavesInStream the tokens, that it stays.
	LeaveAfter time.Duration
	LeaveToken int
	// Twins is how many times a keyed booking is sent at once, at several nodes.
	Twins int
	// Choice chooses the node.
	Choice uint32
}

// lengths are the prompts' lengths in tokens, with their share of a thousand.
var lengths = []struct{ share, shortest, longest int }{
	{850, 100, 4_000},
	{110, 4_000, 60_000},
	{33, 60_000, 300_000},
	{7, 450_000, 800_000},
}

const (
	// Most answers are short; those of a share of a hundred run for some seconds,
	// so that faults meet streams.
	shortAnswer     = 24
	longAnswer      = 400
	longAnswerShare = 10
	// The shares of a hundred of kinds, callers that leave and own timeouts.
	streamShare  = 60
	wholeShare   = 12
	keyedShare   = 15
	unkeyedShare = 8
	leaveShare   = 8
	timeoutShare = 10
	twinShare    = 30
	mostTwins    = 3

	longestQueuedStay  = 30 * time.Millisecond
	longestWaitingStay = 400 * time.Millisecond
	shortestTimeout    = 500 * time.Millisecond
	longestTimeout     = 5 * time.Second
)

func newArrivals(random *rand.Rand, duration time.Duration, rate float64) []Arrival {
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		next := drawArrival(random)
		next.Serial, next.At = len(arrivals), at
		arrivals = append(arrivals, next)
	}
}

func drawArrival(random *rand.Rand) Arrival {
	arrival := Arrival{Kind: drawKind(random.IntN(100)), Choice: random.Uint32(), Twins: 1}
	if arrival.Kind == Keyed && random.IntN(100) < twinShare {
		arrival.Twins += 1 + random.IntN(mostTwins-1)
	}
	if random.IntN(100) < timeoutShare {
		arrival.Timeout = between(random, shortestTimeout, longestTimeout)
	}
	if arrival.Kind.IsCompletion() {
		arrival.PromptTokens = drawLength(random)
		arrival.AnswerTokens = drawAnswer(random)
	}
	if random.IntN(100) < leaveShare {
		arrival.drawLeave(random)
	}
	return arrival
}

func drawKind(draw int) CallKind {
	for _, one := range []struct {
		share int
		kind  CallKind
	}{{streamShare, Stream}, {wholeShare, Whole}, {keyedShare, Keyed}, {unkeyedShare, Unkeyed}} {
		if draw < one.share {
			return one.kind
		}
		draw -= one.share
	}
	return Read
}

func drawLength(random *rand.Rand) int {
	draw := random.IntN(1000)
	for _, class := range lengths {
		if draw < class.share {
			return class.shortest + random.IntN(class.longest-class.shortest)
		}
		draw -= class.share
	}
	return lengths[0].shortest
}

func drawAnswer(random *rand.Rand) int {
	if random.IntN(100) < longAnswerShare {
		return shortAnswer + random.IntN(longAnswer-shortAnswer)
	}
	return 1 + random.IntN(shortAnswer)
}

func (a *Arrival) drawLeave(random *rand.Rand) {
	a.Leave, a.LeaveAfter = LeavesQueued, between(random, 0, longestQueuedStay)
	switch draw := random.IntN(3); {
	case draw == 1:
		a.Leave, a.LeaveAfter = LeavesWaiting, between(random, longestQueuedStay, longestWaitingStay)
	case draw == 2 && a.Kind == Stream:
		a.Leave, a.LeaveToken = LeavesInStream, 1+random.IntN(a.AnswerTokens)
	}
}

func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// markAll gives each completion a mark that no other has.
func markAll(arrivals []Arrival) {
	taken := map[string]bool{}
	for number := range arrivals {
		arrivals[number].mark(taken)
	}
}

// mark chooses the salt whose mark no other arrival has.
func (a *Arrival) mark(taken map[string]bool) {
	if !a.Kind.IsCompletion() {
		return
	}
	for {
		a.Mark = engine.Mark([]byte(a.body()))
		if !taken[a.Mark] {
			taken[a.Mark] = true
			return
		}
		a.Salt++
	}
}

const bytesPerToken = 4

// body is the request's body; each differs from all others.
func (a *Arrival) body() string {
	if !a.Kind.IsCompletion() {
		return fmt.Sprintf(`{"serial":%d}`, a.Serial)
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":%s}`,
		modelName, a.Kind == Stream, a.AnswerTokens, a.messages())
}

// messages is the prompt in JSON, of the arrival's length.
func (a *Arrival) messages() string {
	const before, after = `[{"role":"user","content":"`, `"}]`
	text := fmt.Sprintf("arrival %d salt %d ", a.Serial, a.Salt)
	missing := a.PromptTokens*bytesPerToken - len(before) - len(text) - len(after)
	return before + text + strings.Repeat("a", max(0, missing)) + after
}

const (
	// The deadlines of the length classes in the document.
	shortDeadline   = 10 * time.Second
	longDeadline    = 20 * time.Second
	archiveDeadline = 30 * time.Second

	shortTokens = 16_000
	longTokens  = 120_000
)

// allowed is the time that the arrival has until its deadline.
func (a *Arrival) allowed() time.Duration {
	switch {
	case a.Timeout > 0:
		return a.Timeout
	case a.PromptTokens <= shortTokens:
		return shortDeadline
	case a.PromptTokens <= longTokens:
		return longDeadline
	}
	return archiveDeadline
}

// path is the callers' path, and servedPath what the service sees of it.
func (a *Arrival) path() string {
	if a.Kind.IsCompletion() {
		return "/v1/chat/completions"
	}
	return "/services/" + serviceName + a.servedPath()
}

func (a *Arrival) servedPath() string {
	switch a.Kind {
	case Keyed:
		return confirmPath
	case Unkeyed:
		return fmt.Sprintf("%s/unkeyed-%d", confirmPath, a.Serial)
	case Read, Stream, Whole:
	}
	return fmt.Sprintf("/slots/%d", a.Serial)
}

// ran is the name under which the service counts the call's runs.
func (a *Arrival) ran() string {
	if a.Kind == Keyed {
		return fmt.Sprintf("key-%d", a.Serial)
	}
	return a.servedPath()
}
