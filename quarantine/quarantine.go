// Package quarantine finds the features of requests that crash upstreams, by which upstreams ended
// under which requests, and says which requests must not be sent. It does no I/O and reads no clock.
// A Tracker is not safe for concurrent use; package exchange holds the lock.
//
// Evidence is a set of ends and of answers. Merging it is commutative and idempotent, so that all
// nodes that have received the same evidence, over whichever path, block the same features.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockAfter is the number of upstreams after whose ends a feature is blocked. One request accounts
	// for up to MaxEndsPerRequest of them.
	blockAfter = 3
	// calmBlockAfter is the same for the digest of a whole request that no node remembers as answered,
	// if no other upstream ended meanwhile or within calmTime before: two ends have then no other
	// explanation.
	calmBlockAfter = 2
	calmTime       = 10 * time.Second
	// calmMinGap is the least time between these two ends: the upstreams of one rack end within less,
	// and a request may have been sent to both in between.
	calmMinGap = 30 * time.Millisecond
	// answeredBlockAfter is the same for a part of prompts that were answered before the ends: sound parts that many prompts
	// share are under way wherever upstreams end for other reasons.
	answeredBlockAfter = 5
	// unansweredBlockAfter is the number of upstreams after which a part is blocked if no prompt with it was answered
	// to its end meanwhile, however far the answers came.
	unansweredBlockAfter = 5
	// MaxEndsPerRequest is the number of ends after which a request is not sent again.
	MaxEndsPerRequest = 2
	// simultaneousWithin is the time in which several ends of attempts that were sent before the first
	// of them count as one: upstreams that fail together, such as those of one rack, have a common
	// cause other than their requests.
	simultaneousWithin = 100 * time.Millisecond
	// suspicionTTL is how long an end is kept that supports no block.
	suspicionTTL = 10 * time.Minute
	// BlockTTL is how long a block is kept after its last end. It is longer than maxTrialDelay.
	BlockTTL = 2 * time.Hour
	// repeatTime is how long evidence that no block rests on is sent again: three messages of a relay with all that it knows.
	repeatTime = 6 * time.Second
	// maxEndAge is the age from which evidence of other nodes is ignored.
	maxEndAge = 24 * time.Hour
	// maxEnds bounds the ends that are kept, and maxFeatures the features of each.
	maxEnds     = 256
	maxFeatures = 64
)

// End is the end of an upstream under an attempt.
type End struct {
	// Engine identifies the incarnation of the upstream, and Attempt the attempt.
	Engine, Attempt uint32
	// Features are those of the attempt's request that may be to blame.
	Features []uint64
	// Events is the number of events of the attempt's answer that had arrived.
	Events int
	// SentAt is when the attempt was sent, and At when the upstream ended.
	SentAt, At time.Duration
}

// Evidence is what nodes send each other. Times are on the clock of the node that holds it.
type Evidence struct {
	Ends    []End
	Answers []Answer
}

// Shift moves all times by an offset between two clocks.
func (e *Evidence) Shift(offset time.Duration) {
	for i := range e.Ends {
		e.Ends[i].SentAt += offset
		e.Ends[i].At += offset
	}
	for i := range e.Answers {
		e.Answers[i].At += offset
	}
}

// Empty reports whether there are neither ends nor answers.
func (e *Evidence) Empty() bool { return len(e.Ends)+len(e.Answers) == 0 }

// requestFeature marks the features that are digests of whole requests.
const requestFeature = 1 << 63

// PartFeature returns the feature of prompts with a feature.
func PartFeature(id uint64) uint64 { return id &^ requestFeature }

// RequestFeature returns the feature of requests with a digest.
func RequestFeature(digest uint64) uint64 { return digest | requestFeature }

func isRequestFeature(feature uint64) bool { return feature&requestFeature != 0 }

// Hash identifies an upstream's incarnation or an attempt.
func Hash(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

type endID struct{ engine, attempt uint32 }

type knownEnd struct {
	End
	// own is true if this node had the attempt.
	own bool
	// unsent is true until the end is in an Evidence.
	unsent bool
	// heard is when this node learned of it.
	heard time.Duration
	// block is the block that the end supports; nil is none.
	block *Block
}

// Tracker holds the evidence that a node knows and the blocks that follow from it.
type Tracker struct {
	ends map[endID]*knownEnd
	// byFeature holds the ends by the features of their requests.
	byFeature map[uint64][]*knownEnd
	answers   map[uint64]knownAnswers
	// remembered holds when the last whole answers of this node began, by features; olderRemembered is what it held until it was
	// full.
	remembered, olderRemembered map[uint64]time.Duration
	blocks                      []*Block
}

// New returns a tracker without evidence.
func New() *Tracker {
	return &Tracker{ends: map[endID]*knownEnd{}, byFeature: map[uint64][]*knownEnd{}, answers: map[uint64]knownAnswers{}, remembered: map[uint64]time.Duration{}}
}

// RecordEnd records an end that this node has seen.
func (t *Tracker) RecordEnd(now time.Duration, end End) {
	if t.addEnd(now, end, true, true) {
		t.evaluate(now)
	}
}

// Apply merges evidence of another node, and reports whether any was new. With forward, what is
// new is sent on to further nodes.
func (t *Tracker) Apply(now time.Duration, evidence *Evidence, forward bool) bool {
	changed := false
	for i := range evidence.Ends {
		changed = t.addEnd(now, evidence.Ends[i], false, forward) || changed
	}
	for _, answer := range evidence.Answers {
		changed = t.addAnswer(now, answer, false, forward) || changed
	}
	if changed {
		t.evaluate(now)
	}
	return changed
}

func (t *Tracker) addEnd(now time.Duration, end End, own, send bool) bool {
	id := endID{end.Engine, end.Attempt}
	known := t.ends[id]
	if known == nil {
		if len(end.Features) == 0 || end.At < now-maxEndAge {
			return false
		}
		features := end.Features
		end.Features = nil
		end.At = min(end.At, now)
		end.SentAt = min(end.SentAt, end.At)
		known = &knownEnd{End: end, heard: now}
		t.ends[id], end.Features = known, features
	}
	known.own = known.own || own
	added := t.addFeatures(now, known, end.Features)
	known.unsent = known.unsent || added && send
	return added
}

// addFeatures adds the features that an end does not have yet, and reports whether there are any: what
// is stored of an end leaves out those that its block does.
func (t *Tracker) addFeatures(now time.Duration, end *knownEnd, features []uint64) bool {
	added := false
	for _, feature := range features {
		if len(end.Features) >= maxFeatures || slices.Contains(end.Features, feature) {
			continue
		}
		added = true
		// The list may be part of evidence that is being sent.
		end.Features = append(slices.Clone(end.Features), feature)
		t.byFeature[feature] = append(t.byFeature[feature], end)
		if at, found := t.recall(feature); found {
			t.addAnswer(now, Answer{Feature: feature, At: at}, true, true)
			t.addAnswer(now, Answer{Feature: feature, Point: Earlier, At: at}, true, true)
		}
	}
	return added
}

func (t *Tracker) removeEnd(end *knownEnd) {
	delete(t.ends, endID{end.Engine, end.Attempt})
	for _, feature := range end.Features {
		left := slices.DeleteFunc(t.byFeature[feature], func(e *knownEnd) bool { return e == end })
		if t.byFeature[feature] = left; len(left) == 0 {
			delete(t.byFeature, feature)
			delete(t.answers, feature)
		}
	}
}

// Suspects reports whether there is any evidence; without, answers need not be recorded.
func (t *Tracker) Suspects() bool { return len(t.ends) > 0 }

// HasUnsent reports whether there is evidence that was not yet in an Evidence.
func (t *Tracker) HasUnsent() bool {
	for _, end := range t.ends {
		if end.unsent {
			return true
		}
	}
	for _, answers := range t.answers {
		for _, answer := range answers {
			if answer.unsent {
				return true
			}
		}
	}
	return false
}

// Scope says which evidence is sent.
type Scope int

// The scopes: what was not sent yet, all that this node has seen itself, and all that it knows.
const (
	Unsent Scope = iota
	Own
	All
)

// maxEndsPerMessage and maxAnswersPerMessage bound one message: it fits into a datagram with the load.
const (
	maxEndsPerMessage    = 24
	maxAnswersPerMessage = 256
)

// Evidence returns the evidence of a scope: of the ends first those that support blocks, and then
// the latest ones. Own and All leave out what was heard long ago and has no part in a block.
func (t *Tracker) Evidence(now time.Duration, scope Scope) Evidence {
	if t.expire(now) {
		t.evaluate(now)
	}
	var selected []*knownEnd
	for _, end := range t.ends {
		if end.unsent || (scope == All || scope == Own && end.own) && (end.priority() > 0 || now-end.heard < repeatTime) {
			selected = append(selected, end)
		}
	}
	slices.SortFunc(selected, func(a, b *knownEnd) int {
		return cmp.Or(cmp.Compare(b.priority(), a.priority()), cmp.Compare(b.At, a.At), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Attempt, b.Attempt))
	})
	var evidence Evidence
	for _, end := range selected[:min(len(selected), maxEndsPerMessage)] {
		end.unsent = false
		evidence.Ends = append(evidence.Ends, end.End)
	}
	evidence.Answers = t.answersOf(now, scope)
	return evidence
}

// priority ranks the ends for a message: witnesses of blocks come first.
func (e *knownEnd) priority() int {
	if e.block != nil && slices.ContainsFunc(e.block.Witnesses, func(w End) bool { return w.Engine == e.Engine && w.Attempt == e.Attempt }) {
		return 1
	}
	return 0
}

// expire drops evidence that is too old, or too much. It reports whether a block has lost some.
func (t *Tracker) expire(now time.Duration) bool {
	blockChanged := false
	for _, end := range t.ends {
		lastAt, ttl := end.At, suspicionTTL
		if end.block != nil {
			lastAt, ttl = end.block.LastEnd(), BlockTTL
		}
		if now-lastAt > ttl {
			blockChanged = blockChanged || end.block != nil
			t.removeEnd(end)
		}
	}
	excess := len(t.ends) - maxEnds
	if excess <= 0 {
		return blockChanged
	}
	list := slices.SortedFunc(maps.Values(t.ends), func(a, b *knownEnd) int {
		return cmp.Or(cmp.Compare(a.priority(), b.priority()), cmp.Compare(a.At, b.At))
	})
	for _, end := range list[:excess] {
		blockChanged = blockChanged || end.block != nil
		t.removeEnd(end)
	}
	return blockChanged
}
