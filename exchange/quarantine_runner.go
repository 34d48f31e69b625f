package exchange

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/quarantine"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// QuarantineRunner runs the tracker of features that crash upstreams for concurrent requests: it holds
// the lock and the clock, and logs each block.
type QuarantineRunner struct {
	mutex   sync.Mutex
	tracker *quarantine.Tracker
	clock   func() time.Duration
	logger  zerolog.Logger
	metrics *telemetry.Metrics
	// onEvidence is called without the lock when there is evidence to send to other nodes.
	onEvidence func()
	// Trial is called without the lock when a request is refused whose block is due for a trial. It
	// must return at once. It is set before the first request.
	Trial func(block *quarantine.Block)
	// running holds the attempts that end if their request is blocked, by their cancel function.
	running map[*blockableAttempt]struct{}
	// granted holds until when one request may be sent as a trial, by block.
	granted map[string]time.Duration
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

// NewQuarantineRunner returns a runner without evidence.
func NewQuarantineRunner(clock func() time.Duration, logger zerolog.Logger, metrics *telemetry.Metrics, onEvidence func()) *QuarantineRunner {
	return &QuarantineRunner{
		tracker: quarantine.New(), clock: clock, logger: logger, metrics: metrics, onEvidence: onEvidence, Trial: func(*quarantine.Block) {},
		running: map[*blockableAttempt]struct{}{}, granted: map[string]time.Duration{}, changed: make(chan struct{}, 1),
	}
}

// Blocking returns the block that forbids to send a request with the features, or nil.
func (q *QuarantineRunner) Blocking(features []uint64) *quarantine.Block {
	if len(features) == 0 {
		return nil
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.Blocking(q.clock(), features)
}

// RetryAfter returns the time until a request that the block covers may be served again.
func (q *QuarantineRunner) RetryAfter(block *quarantine.Block) time.Duration {
	return block.RetryAfter(q.clock())
}

// TakeTrial reports whether this request may be sent although it is blocked, and takes the grant. If
// a trial is due and not granted, it asks for it.
func (q *QuarantineRunner) TakeTrial(block *quarantine.Block) bool {
	q.mutex.Lock()
	now := q.clock()
	until, granted := q.granted[block.Key]
	delete(q.granted, block.Key)
	due := block.TrialDue(now)
	q.mutex.Unlock()
	if granted && now < until {
		q.logger.Info().Str("block", block.Key).Msg(telemetry.LogTrialSent)
		return true
	}
	if due {
		q.Trial(block)
	}
	return false
}

// trialValidity is how long a granted trial waits for a request.
const trialValidity = 10 * time.Second

// GrantTrial lets one blocked request pass.
func (q *QuarantineRunner) GrantTrial(key string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.clock()
	maps.DeleteFunc(q.granted, func(_ string, until time.Duration) bool { return now >= until })
	q.granted[key] = now + trialValidity
}

// RecordEnd records that an upstream ended under an attempt, and when that was sent and cut.
func (q *QuarantineRunner) RecordEnd(upstream, attempt string, features []uint64, sent, ended time.Time) {
	if len(features) == 0 {
		return
	}
	q.update(func(now time.Duration) bool {
		q.tracker.RecordEnd(now, quarantine.End{
			Engine: quarantine.Hash(upstream), Attempt: quarantine.Hash(attempt), Features: features, SentAt: now - time.Since(sent), At: now - time.Since(ended),
		})
		return true
	})
}

// RecordAnswer records that an upstream outlived, at a time, a request with the features.
func (q *QuarantineRunner) RecordAnswer(features []uint64, at time.Time) {
	if len(features) == 0 {
		return
	}
	q.update(func(now time.Duration) bool {
		before := q.tracker.Blocks()
		if !q.tracker.RecordAnswer(now, features, now-time.Since(at)) {
			return false
		}
		for _, block := range before {
			if !slices.ContainsFunc(q.tracker.Blocks(), func(b *quarantine.Block) bool { return b.Key == block.Key }) {
				q.released = append(q.released, block.Key)
			}
		}
		return true
	})
}

// Apply merges evidence of another node.
func (q *QuarantineRunner) Apply(evidence *quarantine.Evidence, forward bool) {
	q.update(func(now time.Duration) bool { return q.tracker.Apply(now, evidence, forward) && q.tracker.HasUnsent() })
}

// Evidence returns the evidence to send.
func (q *QuarantineRunner) Evidence(scope quarantine.Scope) quarantine.Evidence {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.tracker.Suspects() || scope == quarantine.Unsent && !q.tracker.HasUnsent() {
		return quarantine.Evidence{}
	}
	return q.tracker.Evidence(q.clock(), scope)
}

// OwnBlocks returns the blocks whose last witness this node saw, with times relative to now.
func (q *QuarantineRunner) OwnBlocks() []quarantine.Block {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var own []quarantine.Block
	for _, block := range q.tracker.Blocks() {
		if block.OwnLast {
			own = append(own, quarantine.Block{Key: block.Key, Features: block.Features, Witnesses: q.Witnesses(block)})
		}
	}
	return own
}

// HasBlock reports whether a block is in force.
func (q *QuarantineRunner) HasBlock(key string) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return slices.ContainsFunc(q.tracker.Blocks(), func(b *quarantine.Block) bool { return b.Key == key })
}

// Witnesses returns the witnesses of a block, with times relative to now and without the features
// that the block leaves out.
func (q *QuarantineRunner) Witnesses(block *quarantine.Block) []quarantine.End {
	evidence := quarantine.Evidence{Ends: slices.Clone(block.Witnesses)}
	evidence.Shift(-q.clock())
	for i := range evidence.Ends {
		evidence.Ends[i].Features = block.Features
	}
	return evidence.Ends
}

// TakeReleased returns the keys of the blocks that an answer to this node has ended since the last
// call.
func (q *QuarantineRunner) TakeReleased() []string {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	released := q.released
	q.released = nil
	return released
}

// Changed is signaled when blocks began or ended.
func (q *QuarantineRunner) Changed() <-chan struct{} { return q.changed }

// update changes the evidence, logs the blocks that begin and end, and cancels the attempts that a
// new block covers. change reports whether there is evidence to send to other nodes.
func (q *QuarantineRunner) update(change func(now time.Duration) bool) {
	q.mutex.Lock()
	now := q.clock()
	before := q.tracker.Blocks()
	send := change(now)
	after := q.tracker.Blocks()
	var cancel []func()
	changed := q.logChanges(now, before, after)
	if changed {
		for attempt := range q.running {
			if q.tracker.Blocking(now, attempt.features) != nil {
				cancel = append(cancel, attempt.cancel)
			}
		}
	}
	q.mutex.Unlock()
	for _, f := range cancel {
		f()
	}
	if changed {
		select {
		case q.changed <- struct{}{}:
		default:
		}
	}
	if send {
		q.onEvidence()
	}
}

// logChanges logs the blocks that differ and reports whether there are any; the mutex is held.
func (q *QuarantineRunner) logChanges(now time.Duration, before, after []*quarantine.Block) bool {
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
		q.logger.Warn().Str("block", block.Key).Strs("features", formatFeatures(block.Features)).Int("upstreams_ended", len(block.Witnesses)).
			Dur("last_end_age_ms", now-block.LastEnd()).Dur("next_trial_ms", block.RetryAfter(now)).Msg(telemetry.LogRequestsBlocked)
	}
	for key := range known {
		changed = true
		q.logger.Info().Str("block", key).Msg(telemetry.LogRequestsReleased)
	}
	q.metrics.Gauge("wigeontiller_blocked_prompt_parts", int64(len(after)))
	return changed
}

// watch calls cancel if the request of an attempt is blocked before the returned function is called.
func (q *QuarantineRunner) watch(features []uint64, cancel func()) (stop func()) {
	if len(features) == 0 {
		return func() {}
	}
	attempt := &blockableAttempt{features: features, cancel: cancel}
	q.mutex.Lock()
	q.running[attempt] = struct{}{}
	q.mutex.Unlock()
	return func() {
		q.mutex.Lock()
		delete(q.running, attempt)
		q.mutex.Unlock()
	}
}
