package model

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/bench/virtual"
	"github.com/wigeontiller/wigeontiller/environment"
)

// The speed and size of an engine.
const (
	// EngineSlots is how many sequences an engine batches.
	EngineSlots = 32
	// EngineKVTokens is its KV memory.
	EngineKVTokens = 450_000
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond = 40_000
	// baseInterval is the time between tokens of an otherwise idle engine, and
	// chunkTokens is how much of the prompts is read in that time.
	baseInterval = 20 * time.Millisecond
	chunkTokens  = PrefillTokensPerSecond * int(baseInterval) / int(time.Second)
	// sequenceInterval is what each decoding sequence adds to a step.
	sequenceInterval = 100 * time.Microsecond
	// memoryInterval is what a thousand tokens in memory add to a step.
	memoryInterval = 10 * time.Microsecond
	// mixedPercent is the share of a chunk's time that decoding doesn't hide.
	mixedPercent = 25
)

// The errors of Submit.
var (
	// ErrFull is returned when there is no slot or no memory; the attempt has not run.
	ErrFull = eris.New("engine full")
	// ErrDown is returned when the engine does not answer.
	ErrDown = eris.New("engine down")
)

// Job is one attempt at an engine.
type Job struct {
	ID           string
	PromptTokens int
	// AnswerTokens is how many tokens it produces; MaxTokens is the most that
	// memory is kept for.
	AnswerTokens, MaxTokens int
	Priority                environment.Priority
	// Segments is the parts of the prompt that other prompts may begin with.
	Segments []Segment
	// Token is called for each token with the time since the one before, or 0.
	Token func(interval time.Duration)
	// End is called once, unless the job was canceled.
	End func(whole bool)

	// Members are other engines that hold part of the job's memory.
	Members []Part

	lead   *Engine
	unread int
	// pinned counts the segments that the cache holds for the job. matched says
	// that the job's first turn has come; cached is what it found then.
	pinned   int
	matched  bool
	cached   int
	produced int
	lastAt   time.Duration
}

func (j *Job) kvTokens() int {
	return j.PromptTokens + j.MaxTokens
}

// Load is an engine's report.
type Load struct {
	Running  int
	KVTokens int
	// Incarnation grows when the engine's process restarts.
	Incarnation uint64
}

// Engine is the model of one engine.
type Engine struct {
	loop *virtual.Loop
	Warmth
	// prefilling is in the order of the next turns; decoding in that of arrival.
	prefilling, decoding []*Job
	kvTokens             int
	peakKVTokens         int
	down                 bool
	stepping             bool
	stalledUntil         time.Duration
	incarnation          uint64
	cache                prefixCache
	// reserved is what jobs at other engines hold.
	reserved map[string]reservation
	// life tells the events of an earlier process from those of this one.
	life uint64
	// FellOver counts how often a load too large for a cold start broke it.
	FellOver int
}

// NewEngine returns a warm, idle engine.
func NewEngine(loop *virtual.Loop) *Engine {
	return &Engine{loop: loop, cache: newPrefixCache(), reserved: map[string]reservation{}}
}

// Submit starts a job, or returns ErrFull or ErrDown.
func (e *Engine) Submit(job *Job) error {
	if err := e.takes(job.memory()); err != nil {
		return err
	}
	if err := job.reserveAll(); err != nil {
		return err
	}
	job.lead = e
	job.unread = job.PromptTokens
	e.prefilling = append(e.prefilling, job)
	e.kvTokens += job.memory()
	e.peakKVTokens = max(e.peakKVTokens, e.kvTokens)
	e.pinCache(job)
	e.cache.shrink(EngineKVTokens - e.kvTokens)
	if e.Running() > e.bearable(e.loop.Now(), EngineSlots) {
		e.FellOver++
		e.Crash()
		return nil
	}
	e.wake()
	return nil
}

// Cancel ends a job without a call of its functions.
func (e *Engine) Cancel(id string) {
	match := func(job *Job) bool { return job.ID == id }
	for _, job := range slices.Concat(e.prefilling, e.decoding) {
		if match(job) {
			e.kvTokens -= job.memory()
			job.freeMembers()
			e.leaveCache(job)
		}
	}
	e.prefilling = slices.DeleteFunc(e.prefilling, match)
	e.decoding = slices.DeleteFunc(e.decoding, match)
}

// Crash breaks all jobs; the engine restarts and is cold for a while.
func (e *Engine) Crash() {
	broken := slices.Concat(e.prefilling, e.decoding)
	e.prefilling, e.decoding = nil, nil
	e.kvTokens = 0
	e.cache = newPrefixCache()
	e.down = true
	e.stepping = false
	e.life++
	life := e.life
	e.loop.After(RestartTime, func() { e.restart(life) })
	e.breakLed()
	for _, job := range broken {
		e.loop.After(reserveTTL, job.freeMembers)
		job.End(false)
	}
}

// Stall stops all progress for a time, without breaking a job.
func (e *Engine) Stall(lasting time.Duration) {
	e.stalledUntil = e.loop.Now() + lasting
}

func (e *Engine) restart(life uint64) {
	if e.life != life {
		return
	}
	e.down = false
	e.incarnation++
	e.GoCold(e.loop.Now())
}

// Load is the load at this moment. It reports false when the engine is down.
func (e *Engine) Load() (Load, bool) {
	return Load{Running: e.Running() + len(e.reserved), KVTokens: e.kvTokens, Incarnation: e.incarnation}, !e.down
}

// Running is the number of jobs.
func (e *Engine) Running() int {
	return len(e.prefilling) + len(e.decoding)
}

// Holds reports whether a job is at the engine.
func (e *Engine) Holds(id string) bool {
	match := func(job *Job) bool { return job.ID == id }
	return slices.ContainsFunc(e.prefilling, match) || slices.ContainsFunc(e.decoding, match)
}

// PeakKVTokens is the most memory that was ever in use.
func (e *Engine) PeakKVTokens() int {
	return e.peakKVTokens
}

func (e *Engine) wake() {
	if e.stepping || e.Running() == 0 {
		return
	}
	e.stepping = true
	read := e.readChunk()
	life := e.life
	stalled := max(0, e.stalledUntil-e.loop.Now())
	e.loop.After(stalled+e.stepTime(read), func() {
		if e.life == life {
			e.endStep()
		}
	})
}

// readChunk gives the step's prompt tokens to the highest priority, in turns
// within it, and returns how many were read.
func (e *Engine) readChunk() int {
	left := chunkTokens
	for left > 0 {
		job := e.nextPrefill()
		if job == nil {
			break
		}
		e.matchCache(job)
		tokens := min(left, job.unread)
		job.unread -= tokens
		left -= tokens
	}
	return chunkTokens - left
}

// nextPrefill takes the next turn and moves its job behind the others.
func (e *Engine) nextPrefill() *Job {
	best := -1
	for i, job := range e.prefilling {
		if job.unread > 0 && (best < 0 || job.Priority > e.prefilling[best].Priority) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	job := e.prefilling[best]
	e.prefilling = append(slices.Delete(e.prefilling, best, best+1), job)
	return job
}

func (e *Engine) stepTime(read int) time.Duration {
	step := time.Duration(read) * time.Second / PrefillTokensPerSecond
	if len(e.decoding) > 0 {
		step = step*mixedPercent/100 + baseInterval +
			time.Duration(len(e.decoding))*sequenceInterval +
			time.Duration(e.kvTokens/1000)*memoryInterval
	}
	return time.Duration(float64(step) / e.speed(e.loop.Now()))
}

func (e *Engine) endStep() {
	e.stepping = false
	for _, job := range slices.Clone(e.decoding) {
		e.produce(job)
	}
	for _, job := range slices.Clone(e.prefilling) {
		if job.unread == 0 {
			e.prefilling = slices.DeleteFunc(e.prefilling, func(j *Job) bool { return j == job })
			e.decoding = append(e.decoding, job)
			e.useCache(job)
			e.produce(job)
		}
	}
	e.wake()
}

func (e *Engine) produce(job *Job) {
	interval := time.Duration(0)
	if job.produced > 0 {
		interval = e.loop.Now() - job.lastAt
	}
	job.produced++
	job.lastAt = e.loop.Now()
	job.Token(interval)
	if job.produced >= job.AnswerTokens {
		e.Cancel(job.ID)
		job.End(true)
	}
}
