// Package blocklist says which requests must not be sent because they crash upstreams: it runs a
// quarantine.Tracker for concurrent requests.
//
// Lock order: Blocklist.mutex is a leaf.
package blocklist

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/quarantine"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// Blocklist holds the lock and the clock of a tracker, and logs each block. It is safe for concurrent use.
type Blocklist struct {
	mutex   sync.Mutex
	tracker *quarantine.Tracker
	// suspects is whether the tracker has evidence.
	suspects atomic.Bool
	clock    func() time.Duration
	logger   zerolog.Logger
	metrics  *telemetry.Metrics
	// onEvidence is called without the lock when there is evidence to send to other nodes.
	onEvidence func()
	// Trial is called without the lock when a request is refused whose block is due for a trial. It
	// must return at once. It is set before the first request.
	Trial func(block *quarantine.Block)
	// running holds the attempts that end if their request is blocked, by their cancel function.
	running map[*blockableAttempt]struct{}
	// granted holds until when one request may be sent as a trial, by block.
	granted map[string]time.Duration
	// silent are attempts without a response whose upstream may have ended, oldest first.
	silent []silentAttempt
	// released are the blocks that ended by an answer to this node, until TakeReleased.
	released []string
	// changed is signaled when blocks began or ended.
	changed chan struct{}
}

// blockableAttempt is an attempt whose answer has not begun.
type blockableAttempt struct {
	features []uint64
	cancel   func()
}

// New returns a list without evidence.
func New(clock func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics, onEvidence func()) *Blocklist {
	return &Blocklist{
		tracker: quarantine.New(), clock: clock, logger: logger, metrics: metrics, onEvidence: onEvidence, Trial: func(*quarantine.Block) {},
		running: map[*blockableAttempt]struct{}{}, granted: map[string]time.Duration{}, changed: make(chan struct{}, 1),
	}
}

// Blocking returns the block that forbids to send a request with the features, or nil.
func (b *Blocklist) Blocking(features []uint64) *quarantine.Block {
	if len(features) == 0 {
		return nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tracker.Blocking(b.clock(), features)
}

// RetryAfter returns the time until a request that the block covers may be served again.
func (b *Blocklist) RetryAfter(block *quarantine.Block) time.Duration {
	return block.RetryAfter(b.clock())
}

// TakeTrial reports whether this request may be sent although it is blocked, and takes the grant. If
// a trial is due and not granted, it asks for it.
func (b *Blocklist) TakeTrial(block *quarantine.Block) bool {
	b.mutex.Lock()
	now := b.clock()
	until, granted := b.granted[block.Key]
	delete(b.granted, block.Key)
	due := block.TrialDue(now)
	b.mutex.Unlock()
	if granted && now < until {
		b.logger.Info().Str("block", block.Key).Msg(telemetry.LogTrialSent)
		return true
	}
	if due {
		b.Trial(block)
	}
	return false
}

// trialValidity is how long a granted trial waits for a request.
const trialValidity = 10 * time.Second

// GrantTrial lets one blocked request pass.
func (b *Blocklist) GrantTrial(key string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock()
	maps.DeleteFunc(b.granted, func(_ string, until time.Duration) bool { return now >= until })
	b.granted[key] = now + trialValidity
}

// RecordEnd records that an upstream ended under an attempt, how many events of its answer had arrived, and when it was sent
// and cut.
func (b *Blocklist) RecordEnd(upstream, attempt string, features []uint64, events int, sent, ended time.Time) {
	if len(features) == 0 {
		return
	}
	b.update(func(now time.Duration) bool {
		b.tracker.RecordEnd(now, quarantine.End{
			Engine: quarantine.Hash(upstream), Attempt: quarantine.Hash(attempt), Features: features, Events: events,
			SentAt: now - time.Since(sent), At: now - time.Since(ended),
		})
		return true
	})
}

// RecordAnswer records that an upstream answered a request with the features, and when the answer began.
func (b *Blocklist) RecordAnswer(features []uint64, began time.Time) {
	b.recordOutlived(features, func(now time.Duration) bool {
		return b.tracker.RecordAnswer(now, features, now-time.Since(began))
	})
}

// RecordStream is RecordAnswer for a stream that is complete now.
func (b *Blocklist) RecordStream(features []uint64, began time.Time) {
	b.recordOutlived(features, func(now time.Duration) bool {
		return b.tracker.RecordStream(now, features, now-time.Since(began))
	})
}

// RecordProgress records that a stream with the features went on after a number of events and one more, and when that one
// arrived. It costs nothing while no upstream has ended.
func (b *Blocklist) RecordProgress(features []uint64, events int, at time.Time) {
	if !b.suspects.Load() {
		return
	}
	b.recordOutlived(features, func(now time.Duration) bool {
		return b.tracker.RecordProgress(now, features, events, now-time.Since(at))
	})
}

// recordOutlived records that an upstream outlived a request with the features; record reports whether that counts.
func (b *Blocklist) recordOutlived(features []uint64, record func(now time.Duration) bool) {
	if len(features) == 0 {
		return
	}
	b.update(func(now time.Duration) bool {
		before := b.tracker.Blocks()
		if !record(now) {
			return false
		}
		for _, block := range before {
			if !slices.ContainsFunc(b.tracker.Blocks(), func(other *quarantine.Block) bool { return other.Key == block.Key }) {
				b.released = append(b.released, block.Key)
			}
		}
		return true
	})
}

// Apply merges evidence of another node.
func (b *Blocklist) Apply(evidence *quarantine.Evidence, forward bool) {
	b.update(func(now time.Duration) bool { return b.tracker.Apply(now, evidence, forward) && b.tracker.HasUnsent() })
}

// Evidence returns the evidence to send.
func (b *Blocklist) Evidence(scope quarantine.Scope) quarantine.Evidence {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.tracker.Suspects() || scope == quarantine.Unsent && !b.tracker.HasUnsent() {
		return quarantine.Evidence{}
	}
	return b.tracker.Evidence(b.clock(), scope)
}

// OwnBlocks returns the blocks whose last witness this node saw, with times relative to now.
func (b *Blocklist) OwnBlocks() []quarantine.Block {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var own []quarantine.Block
	for _, block := range b.tracker.Blocks() {
		if block.OwnLast {
			own = append(own, quarantine.Block{Key: block.Key, Features: block.Features, Witnesses: b.Witnesses(block)})
		}
	}
	return own
}

// HasBlock reports whether a block is in force.
func (b *Blocklist) HasBlock(key string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.ContainsFunc(b.tracker.Blocks(), func(block *quarantine.Block) bool { return block.Key == key })
}

// Witnesses returns the witnesses of a block, with times relative to now and without the features
// that the block leaves out.
func (b *Blocklist) Witnesses(block *quarantine.Block) []quarantine.End {
	evidence := quarantine.Evidence{Ends: slices.Clone(block.Witnesses)}
	evidence.Shift(-b.clock())
	for i := range evidence.Ends {
		evidence.Ends[i].Features = block.Features
	}
	return evidence.Ends
}

// TakeReleased returns the keys of the blocks that an answer to this node has ended since the last
// call.
func (b *Blocklist) TakeReleased() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	released := b.released
	b.released = nil
	return released
}

// Changed is signaled when blocks began or ended.
func (b *Blocklist) Changed() <-chan struct{} { return b.changed }

// update changes the evidence, logs the blocks that begin and end, and cancels the attempts that a
// new block covers. change reports whether there is evidence to send to other nodes.
func (b *Blocklist) update(change func(now time.Duration) bool) {
	b.mutex.Lock()
	now := b.clock()
	before := b.tracker.Blocks()
	send := change(now)
	after := b.tracker.Blocks()
	b.suspects.Store(b.tracker.Suspects())
	var cancel []func()
	changed := b.logChanges(now, before, after)
	if changed {
		for attempt := range b.running {
			if b.tracker.Blocking(now, attempt.features) != nil {
				cancel = append(cancel, attempt.cancel)
			}
		}
	}
	b.mutex.Unlock()
	for _, f := range cancel {
		f()
	}
	if changed {
		select {
		case b.changed <- struct{}{}:
		default:
		}
	}
	if send {
		b.onEvidence()
	}
}

// logChanges logs the blocks that differ and reports whether there are any; the mutex is held.
func (b *Blocklist) logChanges(now time.Duration, before, after []*quarantine.Block) bool {
	changed := false
	known := make(map[string]int, len(before))
	for _, block := range before {
		known[block.Key] = len(block.Witnesses)
	}
	for _, block := range after {
		witnesses, found := known[block.Key]
		delete(known, block.Key)
		if found && witnesses == len(block.Witnesses) {
			continue
		}
		changed = true
		b.logger.Warn().Str("block", block.Key).Strs("features", FormatFeatures(block.Features)).
			Int("whole_requests", block.WholeRequests()).Int("upstreams_ended", len(block.Witnesses)).
			Dur("last_end_age_ms", now-block.LastEnd()).Dur("next_trial_ms", block.RetryAfter(now)).Msg(telemetry.LogRequestsBlocked)
	}
	for key := range known {
		changed = true
		b.logger.Info().Str("block", key).Msg(telemetry.LogRequestsReleased)
	}
	b.metrics.Gauge("wigeontiller_blocked_prompt_parts", int64(len(after)))
	return changed
}

// Watch calls cancel if the request of an attempt is blocked before the returned function is called.
func (b *Blocklist) Watch(features []uint64, cancel func()) (stop func()) {
	if len(features) == 0 {
		return func() {}
	}
	attempt := &blockableAttempt{features: features, cancel: cancel}
	b.mutex.Lock()
	b.running[attempt] = struct{}{}
	b.mutex.Unlock()
	return func() {
		b.mutex.Lock()
		delete(b.running, attempt)
		b.mutex.Unlock()
	}
}

// maxLoggedFeatures bounds the features in a log line.
const maxLoggedFeatures = 16

// FormatFeatures returns the first maxLoggedFeatures features, or parts of a prompt, in hexadecimal.
func FormatFeatures(features []uint64) []string {
	list := make([]string, min(len(features), maxLoggedFeatures))
	for i := range list {
		list[i] = strconv.FormatUint(features[i], 16)
	}
	return list
}
