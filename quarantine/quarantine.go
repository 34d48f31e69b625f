// Package quarantine finds the parts of prompts that crash engines, by which engines ended as they
// began to answer which prompts, and says which requests must not be sent. It does no I/O and reads
// no clock. A Tracker is not safe for concurrent use; package exchange holds the lock.
//
// Evidence is a set of ends and of answers. Merging it is commutative and idempotent, so that all
// nodes that have received the same evidence, over whichever path, block the same parts.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockAfter is the number of engines after whose ends a part is blocked. One request accounts
	// for up to MaxEndsPerRequest of them.
	blockAfter = 3
	// MaxEndsPerRequest is the number of ends after which a request is not sent again.
	MaxEndsPerRequest = 2
	// simultaneousWithin is the time in which several ends of attempts that were sent before the first
	// of them count as one: engines that fail together, such as those of one rack, have a common
	// cause other than their prompts.
	simultaneousWithin = 100 * time.Millisecond
	// suspicionTTL is how long an end is kept that is not part of a block.
	suspicionTTL = 10 * time.Minute
	// BlockTTL is how long a block is kept after its last end. It is longer than maxTrialDelay.
	BlockTTL = 2 * time.Hour
	// maxEndAge is the age from which evidence of other nodes is ignored.
	maxEndAge = 24 * time.Hour
	// maxEnds bounds the ends that are kept, and maxParts the parts of each.
	maxEnds  = 256
	maxParts = 64
)

// End is the end of an engine as it began to answer: the header of the response had arrived, and
// no event had.
type End struct {
	// Engine identifies the incarnation of the engine, and Attempt the attempt.
	Engine, Attempt uint32
	// Parts are the parts of the prompt that other prompts may share.
	Parts []uint64
	// SentAt is when the attempt was sent, and At when the engine ended.
	SentAt, At time.Duration
}

// Answer states that an engine outlived the start of its answer to a prompt with a part.
type Answer struct {
	Part uint64
	At   time.Duration
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

// Hash identifies an engine's incarnation or an attempt.
func Hash(text string) uint32 { return uint32(xxhash.Sum64String(text)) }

type endID struct{ engine, attempt uint32 }

type knownEnd struct {
	End
	// own is true if this node had the attempt.
	own bool
	// unsent is true until the end is part of an Evidence.
	unsent bool
	// block is the block that the end supports; nil is none.
	block *Block
}

type knownAnswer struct {
	at          time.Duration
	own, unsent bool
}

// Tracker holds the evidence that a node knows and the blocks that follow from it.
type Tracker struct {
	ends map[endID]*knownEnd
	// byPart holds the ends by the parts of their prompts.
	byPart  map[uint64][]*knownEnd
	answers map[uint64]*knownAnswer
	blocks  []*Block
}

// New returns a tracker without evidence.
func New() *Tracker {
	return &Tracker{ends: map[endID]*knownEnd{}, byPart: map[uint64][]*knownEnd{}, answers: map[uint64]*knownAnswer{}}
}

// RecordEnd records an end that this node has seen.
func (t *Tracker) RecordEnd(now time.Duration, end End) {
	if t.addEnd(now, end, true, true) {
		t.evaluate(now)
	}
}

// RecordAnswer records that the answer to a prompt with the parts began at a time and went on. It
// reports whether that clears any of them.
func (t *Tracker) RecordAnswer(now time.Duration, parts []uint64, at time.Duration) bool {
	changed := false
	for _, part := range parts {
		changed = t.addAnswer(Answer{Part: part, At: at}, true, true) || changed
	}
	if changed {
		t.evaluate(now)
	}
	return changed
}

// Apply merges evidence of another node, and reports whether any was new. With forward, what is
// new is sent on to further nodes.
func (t *Tracker) Apply(now time.Duration, evidence *Evidence, forward bool) bool {
	changed := false
	for i := range evidence.Ends {
		changed = t.addEnd(now, evidence.Ends[i], false, forward) || changed
	}
	for _, answer := range evidence.Answers {
		changed = t.addAnswer(answer, false, forward) || changed
	}
	if changed {
		t.evaluate(now)
	}
	return changed
}

func (t *Tracker) addEnd(now time.Duration, end End, own, send bool) bool {
	id := endID{end.Engine, end.Attempt}
	if known := t.ends[id]; known != nil {
		known.own = known.own || own
		return false
	}
	if len(end.Parts) == 0 || end.At < now-maxEndAge {
		return false
	}
	end.Parts = slices.Clone(end.Parts[:min(len(end.Parts), maxParts)])
	slices.Sort(end.Parts)
	end.Parts = slices.Compact(end.Parts)
	end.At = min(end.At, now)
	end.SentAt = min(end.SentAt, end.At)
	known := &knownEnd{End: end, own: own, unsent: send}
	t.ends[id] = known
	for _, part := range end.Parts {
		t.byPart[part] = append(t.byPart[part], known)
	}
	return true
}

func (t *Tracker) removeEnd(end *knownEnd) {
	delete(t.ends, endID{end.Engine, end.Attempt})
	for _, part := range end.Parts {
		left := slices.DeleteFunc(t.byPart[part], func(e *knownEnd) bool { return e == end })
		if t.byPart[part] = left; len(left) == 0 {
			delete(t.byPart, part)
			delete(t.answers, part)
		}
	}
}

// addAnswer merges an answer, if it clears a part of a known end.
func (t *Tracker) addAnswer(answer Answer, own, send bool) bool {
	known := t.answers[answer.Part]
	clears := false
	for _, end := range t.byPart[answer.Part] {
		clears = clears || end.At < answer.At && (known == nil || known.at <= end.At)
	}
	if !clears {
		return false
	}
	t.answers[answer.Part] = &knownAnswer{at: answer.At, own: own, unsent: send}
	return true
}

// Suspects reports whether there is any evidence; without, answers need not be recorded.
func (t *Tracker) Suspects() bool { return len(t.ends) > 0 }

// HasUnsent reports whether there is evidence that was not yet part of an Evidence.
func (t *Tracker) HasUnsent() bool {
	for _, end := range t.ends {
		if end.unsent {
			return true
		}
	}
	for _, answer := range t.answers {
		if answer.unsent {
			return true
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
// the latest ones.
func (t *Tracker) Evidence(now time.Duration, scope Scope) Evidence {
	if t.expire(now) {
		t.evaluate(now)
	}
	var selected []*knownEnd
	for _, end := range t.ends {
		if end.unsent || scope == All || scope == Own && end.own {
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
	evidence.Answers = t.answersOf(scope)
	return evidence
}

// answersOf returns the answers of a scope: those that were not sent yet first, and the latest ones.
func (t *Tracker) answersOf(scope Scope) []Answer {
	var selected []uint64
	for part, answer := range t.answers {
		if answer.unsent || scope == All || scope == Own && answer.own {
			selected = append(selected, part)
		}
	}
	slices.SortFunc(selected, func(a, b uint64) int {
		x, y := t.answers[a], t.answers[b]
		if x.unsent != y.unsent {
			if x.unsent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.at, x.at), cmp.Compare(a, b))
	})
	var answers []Answer
	for _, part := range selected[:min(len(selected), maxAnswersPerMessage)] {
		t.answers[part].unsent = false
		answers = append(answers, Answer{Part: part, At: t.answers[part].at})
	}
	return answers
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
