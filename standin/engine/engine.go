// Package engine is a stand-in for a model engine. It batches requests, prefills
// prompts in chunks, streams tokens, lists and cancels streams and reports its load.
package engine

import (
	"sync"
	"time"
)

// Config sets an engine's speed and size.
type Config struct {
	// Slots is the number of sequences in a batch; KVTokens is the KV memory in tokens.
	Slots    int
	KVTokens int
	// PrefillTokensPerSecond is the rate of prefill.
	PrefillTokensPerSecond int
	// TokenInterval is the time between two tokens of one answer.
	TokenInterval time.Duration
	// Grace is how long a stream without a reader goes on, and how long the events
	// of a complete answer are retained. The default is 15 s.
	Grace time.Duration
	// ColdStart is how long after a start the engine can bear only one request at a
	// time.
	ColdStart time.Duration
	// PrefixCacheTokens is the size of the prefix cache in tokens; 0 disables it.
	PrefixCacheTokens int
	// VaryEvents varies the form of the events by package eventform.
	VaryEvents bool
	// Orders configures how the engine handles orders.
	Orders OrdersConfig
}

// stream is one attempt that runs at the engine.
type stream struct {
	id             string
	owner          string
	admittedAt     time.Time
	promptTokens   int
	answerTokens   int
	producedTokens int
	canceled       bool
	// prefixBlocks are the hashes of the prompt's blocks. cachedTokens is the number of
	// prompt tokens that need no prefill.
	prefixBlocks []uint64
	cachedTokens int
	// kvTokens is the memory held at this engine. group is set if other engines hold
	// the other parts.
	kvTokens int
	group    *groupReservation
	// formKey determines the form of events that vary.
	formKey string
	// events are the events produced so far by a streamed attempt; changed wakes its
	// readers. detachments counts the readers that have disconnected.
	events      [][]byte
	changed     *sync.Cond
	readers     int
	detachments int
	ended       bool
	// prefillStarted is true from the first prefill chunk on.
	prefillStarted bool
}

// Engine holds the running streams. mutex guards the fields below it. prefillMutex is
// held for one prefill chunk at a time and is locked before mutex.
type Engine struct {
	config       Config
	prefillMutex sync.Mutex

	mutex   sync.Mutex
	streams map[string]*stream
	// retained holds the streams with complete answers that can still be read.
	retained map[string]*stream
	// kvTokens is the memory in use; peakKVTokens is its maximum so far.
	kvTokens     int
	peakKVTokens int
	// reservations is the memory held for attempts that run at other engines, by attempt.
	reservations map[string]*reservation
	// runs counts the admitted attempts, and rejected those that were not admitted.
	runs     int
	rejected int
	// unloaded counts the attempts for models that were not loaded.
	unloaded int
	// prefillTokens and cachedTokens count the prompt tokens that were computed and
	// those found in the prefix cache, since the process started.
	prefillTokens, cachedTokens int
	prefixes                    prefixCache
	incarnation                 incarnation
	history                     history
	models                      models
}

// prefillChunkTokens is the size of a prefill chunk. Prompts take turns by chunk.
const prefillChunkTokens = 2048

// New returns an idle engine.
func New(config Config) *Engine {
	if config.Grace == 0 {
		config.Grace = defaultGrace
	}
	e := &Engine{
		config:       config,
		streams:      map[string]*stream{},
		retained:     map[string]*stream{},
		reservations: map[string]*reservation{},
	}
	e.restart(time.Now(), config.ColdStart)
	return e
}

// admit reserves need tokens of memory and returns the attempt's stream, or nil if
// memory or slots are used up. A second attempt during a cold start restarts the engine.
func (e *Engine) admit(id, owner string, promptTokens, answerTokens, need, slots int) *stream {
	now := time.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.expireReservations(now)
	if e.isCold(now) && len(e.streams) >= coldSlots {
		e.restart(now, e.incarnation.coldStart)
		e.rejected++
		return nil
	}
	_, running := e.streams[id]
	if running || len(e.streams)+len(e.reservations) >= slots || e.kvTokens+need > e.config.KVTokens {
		e.rejected++
		return nil
	}
	admitted := &stream{
		id:           id,
		owner:        owner,
		admittedAt:   now,
		promptTokens: promptTokens,
		answerTokens: answerTokens,
		kvTokens:     need,
		changed:      sync.NewCond(&e.mutex),
	}
	e.streams[id] = admitted
	e.kvTokens += need
	e.peakKVTokens = max(e.peakKVTokens, e.kvTokens)
	e.runs++
	e.recordSnapshot(now)
	return admitted
}

// release frees an attempt's memory, unless the engine has restarted meanwhile.
func (e *Engine) release(ended *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.streams[ended.id] != ended {
		return
	}
	delete(e.streams, ended.id)
	e.kvTokens -= ended.kvTokens
	e.recordSnapshot(time.Now())
}

// runPrefill spends the time of the prompt's prefill, chunk by chunk in turn with other
// prompts. It returns false if the attempt was canceled.
func (e *Engine) runPrefill(s *stream) bool {
	e.applyPrefixCache(s)
	for left := s.promptTokens - s.cachedTokens; left > 0; left -= prefillChunkTokens {
		if e.isCanceled(s) {
			return false
		}
		tokens := min(left, prefillChunkTokens)
		e.prefillMutex.Lock()
		e.recordPrefillChunk(s, tokens)
		time.Sleep(time.Duration(tokens) * time.Second / time.Duration(e.config.PrefillTokensPerSecond))
		e.prefillMutex.Unlock()
	}
	e.cachePrefix(s)
	return !e.isCanceled(s)
}

// decodeToken spends the time of one token. It returns false if the answer is complete
// or the attempt was canceled.
func (e *Engine) decodeToken(s *stream) bool {
	if s.producedTokens > 0 {
		time.Sleep(e.config.TokenInterval)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if s.canceled || s.producedTokens >= s.answerTokens {
		return false
	}
	s.producedTokens++
	return true
}

func (e *Engine) recordPrefillChunk(s *stream, tokens int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s.prefillStarted = true
	e.prefillTokens += tokens
}

func (e *Engine) isCanceled(s *stream) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return s.canceled
}

// cancel marks an attempt as canceled. It reports whether the attempt was running.
func (e *Engine) cancel(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found, ok := e.streams[id]
	if ok {
		found.canceled = true
		found.changed.Broadcast()
	}
	delete(e.retained, id)
	return ok
}
