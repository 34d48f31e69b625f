package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Block is a set of features of which one crashes upstreams: a request that has all of them is not
// sent. It has several where the evidence can't tell them apart.
type Block struct {
	// Key identifies the features.
	Key      string
	Features []uint64
	// Witnesses are the ends that count, by time.
	Witnesses []End
	// OwnLast is true if this node saw the last witness.
	OwnLast bool
}

// LastEnd is the time of the last witness.
func (b *Block) LastEnd() time.Duration { return b.Witnesses[len(b.Witnesses)-1].At }

// WholeRequests is the number of features that are digests of whole requests. The others are parts of prompts and
// digests of paths.
func (b *Block) WholeRequests() int {
	n := 0
	for _, feature := range b.Features {
		if isRequestFeature(feature) {
			n++
		}
	}
	return n
}

func (b *Block) covers(features []uint64) bool {
	for _, feature := range b.Features {
		if !slices.Contains(features, feature) {
			return false
		}
	}
	return true
}

// Blocks returns the blocks in force. They must not be changed.
func (t *Tracker) Blocks() []*Block { return t.blocks }

// Blocking returns the block that keeps a request with the features from being sent, or nil.
func (t *Tracker) Blocking(now time.Duration, features []uint64) *Block {
	for _, block := range t.blocks {
		if now-block.LastEnd() < BlockTTL && block.covers(features) {
			return block
		}
	}
	return nil
}

// evaluate derives the blocks from the evidence.
func (t *Tracker) evaluate(now time.Duration) {
	t.blocks = nil
	for _, end := range t.ends {
		end.block = nil
	}
	suspects := map[uint64]*suspect{}
	for feature, ends := range t.byFeature {
		if len(ends) < calmBlockAfter {
			continue
		}
		suspects[feature] = suspectOf(ends, t.answers[feature])
	}
	for {
		block, strongest := t.strongest(suspects)
		if block == nil {
			break
		}
		for _, end := range strongest.ends {
			end.block = block
		}
		t.blocks = append(t.blocks, block)
		removeExplained(suspects, strongest)
	}
	t.expire(now)
}

// suspect is a feature's ends that no answer has cleared and no block explains, by time.
type suspect struct {
	ends []*knownEnd
	// counted holds one end of each upstream, without simultaneous ones.
	counted []*knownEnd
	// engines are the upstreams of ends.
	engines map[uint32]bool
}

// suspectOf returns the ends of a feature that no answer has cleared, or all since a stream was last complete if there are
// enough upstreams among them.
func suspectOf(ends []*knownEnd, answers knownAnswers) *suspect {
	var uncleared, unanswered []*knownEnd
	for _, end := range ends {
		if !answers.clears(end) {
			uncleared = append(uncleared, end)
		}
		if !answers.endedAfter(end) && (answers[Whole] == nil || answers[Whole].at <= end.At) {
			unanswered = append(unanswered, end)
		}
	}
	s := newSuspect(uncleared)
	if since := newSuspect(unanswered); len(since.counted) >= unansweredBlockAfter && len(since.counted) > len(s.counted) {
		return since
	}
	return s
}

func newSuspect(ends []*knownEnd) *suspect {
	slices.SortFunc(ends, func(a, b *knownEnd) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Attempt, b.Attempt))
	})
	engines := make(map[uint32]bool, len(ends))
	for _, end := range ends {
		engines[end.Engine] = true
	}
	return &suspect{ends: ends, counted: distinct(ends), engines: engines}
}

func (s *suspect) endedUnder(engine uint32) bool {
	return s.engines[engine]
}

// compare orders suspects in the same way on all nodes: first the one that explains most upstreams' ends, then the one that
// had the fewest attempts there, as what many requests share is under way at any upstream.
func (s *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(len(other.counted), len(s.counted)), cmp.Compare(len(s.ends), len(other.ends)),
		slices.CompareFunc(s.ends, other.ends, func(x, y *knownEnd) int {
			return cmp.Or(cmp.Compare(x.Engine, y.Engine), cmp.Compare(x.Attempt, y.Attempt))
		}))
}

// removeExplained removes the ends that a block explains from those of other features: requests that
// had both, and other requests at the same upstreams.
func removeExplained(suspects map[uint64]*suspect, explaining *suspect) {
	for feature, other := range suspects {
		left := slices.DeleteFunc(slices.Clone(other.ends), func(e *knownEnd) bool { return explaining.endedUnder(e.Engine) })
		if len(left) < len(other.ends) {
			suspects[feature] = newSuspect(left)
		}
	}
}

// strongest returns the block that explains most upstreams' ends, and its ends, or nil if no feature
// has enough.
func (t *Tracker) strongest(suspects map[uint64]*suspect) (*Block, *suspect) {
	var best *suspect
	var features []uint64
	for feature, candidate := range suspects {
		if !t.isToBlame(feature, candidate, suspects) {
			continue
		}
		order := -1
		if best != nil {
			order = candidate.compare(best)
		}
		switch {
		case order < 0:
			best, features = candidate, []uint64{feature}
		case order == 0:
			features = append(features, feature)
		}
	}
	if best == nil {
		return nil, nil
	}
	slices.Sort(features)
	block := &Block{Key: keyOf(features), Features: features, OwnLast: best.counted[len(best.counted)-1].own}
	for _, end := range best.counted {
		block.Witnesses = append(block.Witnesses, end.End)
	}
	return block, best
}

func (t *Tracker) isToBlame(feature uint64, candidate *suspect, suspects map[uint64]*suspect) bool {
	ended, answered := len(candidate.counted), t.answers[feature].wasSound()
	if !isRequestFeature(feature) && answered {
		return ended >= answeredBlockAfter && !t.isUniversal(feature, candidate) && 2*t.otherEnds(candidate) <= ended
	}
	if ended >= unansweredBlockAfter || ended >= blockAfter && t.otherEnds(candidate) <= ended {
		return true
	}
	return ended >= calmBlockAfter && isRequestFeature(feature) && !answered && t.isOnlyCause(candidate, suspects)
}

// isUniversal reports whether nearly all of many attempts at the upstreams that ended had the feature: it then tells no more
// than that upstreams end.
func (t *Tracker) isUniversal(feature uint64, candidate *suspect) bool {
	const many, nearlyAll = 3, 0.75 // attempts an upstream, share of them
	attempts, having := 0, 0
	for _, end := range t.ends {
		if candidate.endedUnder(end.Engine) {
			attempts++
		}
	}
	for _, end := range t.byFeature[feature] {
		if candidate.endedUnder(end.Engine) {
			having++
		}
	}
	return attempts >= many*len(candidate.counted) && float64(having) >= nearlyAll*float64(attempts)
}

// otherEnds counts the upstreams that ended between the candidate's first and last end, but not under it. Those that failed
// together count once.
func (t *Tracker) otherEnds(candidate *suspect) int {
	first, last := candidate.counted[0].At, candidate.counted[len(candidate.counted)-1].At
	var others []time.Duration
	for _, end := range t.ends {
		if end.At >= first && end.At <= last && !candidate.endedUnder(end.Engine) {
			others = append(others, end.At)
		}
	}
	slices.Sort(others)
	groups := 0
	for i, at := range others {
		if i == 0 || at-others[i-1] >= simultaneousWithin {
			groups++
		}
	}
	return groups
}

// isOnlyCause reports whether nothing but the candidate explains its ends: no other upstream ended
// meanwhile or shortly before, and no other request was under way at each of these upstreams.
func (t *Tracker) isOnlyCause(candidate *suspect, suspects map[uint64]*suspect) bool {
	first, last := candidate.counted[0].At, candidate.counted[len(candidate.counted)-1].At
	if last-first < calmMinGap {
		return false
	}
	for _, end := range t.ends {
		if end.At >= first-calmTime && end.At <= last && !candidate.endedUnder(end.Engine) {
			return false
		}
	}
	for _, other := range suspects {
		if slices.Equal(other.ends, candidate.ends) {
			continue
		}
		if !slices.ContainsFunc(candidate.counted, func(e *knownEnd) bool { return !other.endedUnder(e.Engine) }) {
			return false
		}
	}
	return true
}

// distinct returns one end of each upstream, without those that are simultaneous with an earlier one.
func distinct(ends []*knownEnd) []*knownEnd {
	var counted []*knownEnd
	engines := map[uint32]bool{}
	for _, end := range ends {
		if engines[end.Engine] {
			continue
		}
		if n := len(counted); n > 0 && end.At-counted[n-1].At < simultaneousWithin && end.SentAt < counted[n-1].At {
			continue
		}
		engines[end.Engine] = true
		counted = append(counted, end)
	}
	return counted
}

func keyOf(features []uint64) string {
	var b []byte
	for _, feature := range features {
		b = binary.BigEndian.AppendUint64(b, feature)
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}

const (
	// firstTrialDelay is the time from the last end to the first trial: one request that is sent to
	// learn whether the features still crash upstreams. It grows by trialBackoff with each failed trial, so that at most
	// three are sent in an hour.
	firstTrialDelay = time.Minute
	trialBackoff    = 4
	maxTrialDelay   = time.Hour
	minTrialGap     = firstTrialDelay / 2
	// minRetryAfter is the retry hint while a trial is due.
	minRetryAfter = 10 * time.Second
)

// TrialDelay is the time from the last end, or the last trial, to the next trial. An end that comes
// minTrialGap or more after the one before is that of a trial.
func (b *Block) TrialDelay() time.Duration {
	delay := firstTrialDelay
	for i := 1; i < len(b.Witnesses); i++ {
		if b.Witnesses[i].At-b.Witnesses[i-1].At >= minTrialGap {
			delay = min(trialBackoff*delay, maxTrialDelay)
		}
	}
	return delay
}

// RetryAfter is the time until a request with the features may be served again.
func (b *Block) RetryAfter(now time.Duration) time.Duration {
	return max(minRetryAfter, b.LastEnd()+b.TrialDelay()-now)
}

// TrialDue reports whether enough time has passed since the last end.
func (b *Block) TrialDue(now time.Duration) bool { return now >= b.LastEnd()+b.TrialDelay() }
