// Package engine is a stand-in for a model engine. It batches, prefills in
// chunks, streams tokens, lists and cancels streams and reports its load.
package engine

import (
	"sync"
	"time"
)

// Config sets an engine's speed and size.
type Config struct {
	// Slots is how many sequences it batches; KVTokens is its memory in tokens.
	Slots    int
	KVTokens int
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond int
	// TokenInterval is the time between two tokens of one answer.
	TokenInterval time.Duration
	// Grace is how long a stream without a reader runs on, and how long the
	// events of a whole answer are kept. Default 15s.
	Grace time.Duration
	// ColdStart is how long after a start it bears one request at a time.
	ColdStart time.Duration
	// PrefixCacheTokens is the memory for prompts that were read; 0 is none.
	PrefixCacheTokens int
	// Orders says how it takes orders.
	Orders OrdersConfig
}

// stream is one attempt that the engine runs.
type stream struct {
	id       string
	owner    string
	admitted time.Time
	prompt   int
	answer   int
	produced int
	canceled bool
	// blocks names the prompt's blocks; cached is the tokens that need no reading.
	blocks []uint64
	cached int
	// kvTokens is the memory held here; lead is set when others hold the rest.
	kvTokens int
	lead     *lead
	// events are what a streamed attempt has produced; changed wakes its
	// readers. left counts the readers that have gone.
	events  [][]byte
	changed *sync.Cond
	readers int
	left    int
	ended   bool
	// begun is true once the prompt is being read.
	begun bool
}

// Engine keeps the streams that run. mutex guards the fields below it; prefill
// is held for one chunk at a time and is taken before mutex.
type Engine struct {
	config  Config
	prefill sync.Mutex

	mutex   sync.Mutex
	streams map[string]*stream
	// kept holds the whole answers that may still be read.
	kept map[string]*stream
	// kvTokens is the memory in use; peak is the most there ever was.
	kvTokens int
	peak     int
	// reserved is what attempts led by other engines hold.
	reserved map[string]*reservation
	// runs counts the attempts by id, and rejected the attempts refused.
	runs     int
	rejected int
	// unloaded counts the attempts for a model that was not loaded.
	unloaded int
	// readTokens and cachedTokens count prompt tokens since the process started.
	readTokens, cachedTokens int
	prefixes                 prefixCache
	life                     life
	history                  history
	models                   models
}

// chunkTokens is how much of a prompt is read before another prompt's turn.
const chunkTokens = 2048

// New returns an idle engine.
func New(config Config) *Engine {
	if config.Grace == 0 {
		config.Grace = defaultGrace
	}
	e := &Engine{
		config:   config,
		streams:  map[string]*stream{},
		kept:     map[string]*stream{},
		reserved: map[string]*reservation{},
	}
	e.start(time.Now(), config.ColdStart)
	return e
}

// admit takes need tokens of memory for an attempt, or reports that there are
// none. A second attempt during a cold start makes the engine fall over.
func (e *Engine) admit(id, owner string, promptTokens, answerTokens, need, slots int) *stream {
	now := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lapse(now)
	if e.isCold(now) && len(e.streams) >= coldSlots {
		e.start(now, e.life.coldStart)
		e.rejected++
		return nil
	}
	_, running := e.streams[id]
	if running || len(e.streams)+len(e.reserved) >= slots || e.kvTokens+need > e.config.KVTokens {
		e.rejected++
		return nil
	}
	admitted := &stream{
		id:       id,
		owner:    owner,
		admitted: now,
		prompt:   promptTokens,
		answer:   answerTokens,
		kvTokens: need,
		changed:  sync.NewCond(&e.mutex),
	}
	e.streams[id] = admitted
	e.kvTokens += need
	e.peak = max(e.peak, e.kvTokens)
	e.runs++
	e.remember(now)
	return admitted
}

// release frees an attempt's memory, unless the engine restarted meanwhile.
func (e *Engine) release(ended *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[ended.id] != ended {
		return
	}
	delete(e.streams, ended.id)
	e.kvTokens -= ended.kvTokens
	e.remember(time.Now())
}

// read spends the time that the prompt takes, a chunk at a time in turn with
// other prompts. It reports false when the attempt was canceled.
func (e *Engine) read(s *stream) bool {
	e.matchPrefix(s)
	for left := s.prompt - s.cached; left > 0; left -= chunkTokens {
		if e.isCanceled(s) {
			return false
		}
		tokens := min(left, chunkTokens)
		e.prefill.Lock()
		e.begin(s, tokens)
		time.Sleep(time.Duration(tokens) * time.Second / time.Duration(e.config.PrefillTokensPerSecond))
		e.prefill.Unlock()
	}
	e.keepPrefix(s)
	return !e.isCanceled(s)
}

// next spends the time of one token. It reports false when the answer is whole
// or the attempt was canceled.
func (e *Engine) next(s *stream) bool {
	if s.produced > 0 {
		time.Sleep(e.config.TokenInterval)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s.canceled || s.produced >= s.answer {
		return false
	}
	s.produced++
	return true
}

func (e *Engine) begin(s *stream, tokens int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.begun = true
	e.readTokens += tokens
}

func (e *Engine) isCanceled(s *stream) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return s.canceled
}

// cancel marks an attempt; it reports whether the attempt was there.
func (e *Engine) cancel(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found, ok := e.streams[id]
	if ok {
		found.canceled = true
		found.changed.Broadcast()
	}
	delete(e.kept, id)
	return ok
}
