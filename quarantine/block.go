package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Block is a set of parts that crash engines, or one of which does: a request that holds all of them
// is not sent. It has several parts where the evidence can't tell them apart.
type Block struct {
	// Key identifies the parts.
	Key   string
	Parts []uint64
	// Witnesses are the ends that count, by time.
	Witnesses []End
	// OwnLast is true if this node saw the last witness.
	OwnLast bool
}

// LastEnd is the time of the last witness.
func (b *Block) LastEnd() time.Duration { return b.Witnesses[len(b.Witnesses)-1].At }

func (b *Block) covers(parts []uint64) bool {
	for _, part := range b.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// Blocks returns the blocks in force. They must not be changed.
func (t *Tracker) Blocks() []*Block { return t.blocks }

// Blocking returns the block that keeps a request with the parts from being sent, or nil.
func (t *Tracker) Blocking(now time.Duration, parts []uint64) *Block {
	for _, block := range t.blocks {
		if now-block.LastEnd() < BlockTTL && block.covers(parts) {
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
	suspect := map[uint64][]*knownEnd{}
	for part, ends := range t.byPart {
		if len(ends) < blockAfter {
			continue
		}
		answer := t.answers[part]
		for _, end := range ends {
			if answer == nil || answer.at <= end.At {
				suspect[part] = append(suspect[part], end)
			}
		}
	}
	for {
		block, ends := strongest(suspect)
		if block == nil {
			break
		}
		for _, end := range ends {
			end.block = block
		}
		t.blocks = append(t.blocks, block)
		removeExplained(suspect, ends)
	}
	t.expire(now)
}

// removeExplained removes from the ends of other parts those that a block with more of them
// explains: prompts that held both, and other prompts at the same engines.
func removeExplained(suspect map[uint64][]*knownEnd, explaining []*knownEnd) {
	engines := map[uint32]bool{}
	for _, end := range explaining {
		engines[end.Engine] = true
	}
	for part, ends := range suspect {
		weaker := len(ends) < len(explaining)
		suspect[part] = slices.DeleteFunc(ends, func(e *knownEnd) bool { return e.block != nil || weaker && engines[e.Engine] })
	}
}

// strongest returns the block with the most ends, and those ends, or nil if no part has enough.
func strongest(suspect map[uint64][]*knownEnd) (*Block, []*knownEnd) {
	var ends, witnesses []*knownEnd
	var parts []uint64
	for part, candidate := range suspect {
		if len(candidate) < max(blockAfter, len(ends)) {
			continue
		}
		slices.SortFunc(candidate, func(a, b *knownEnd) int {
			return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Attempt, b.Attempt))
		})
		counted := distinct(candidate)
		switch {
		case len(counted) < blockAfter:
		case len(candidate) > len(ends) || earlier(candidate, ends):
			ends, parts, witnesses = candidate, []uint64{part}, counted
		case slices.Equal(candidate, ends):
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return nil, nil
	}
	slices.Sort(parts)
	block := &Block{Key: keyOf(parts), Parts: parts, OwnLast: witnesses[len(witnesses)-1].own}
	for _, end := range witnesses {
		block.Witnesses = append(block.Witnesses, end.End)
	}
	return block, slices.Clone(ends)
}

// earlier orders two lists of as many ends in the same way on all nodes.
func earlier(a, b []*knownEnd) bool {
	return slices.CompareFunc(a, b, func(x, y *knownEnd) int {
		return cmp.Or(cmp.Compare(x.Engine, y.Engine), cmp.Compare(x.Attempt, y.Attempt))
	}) < 0
}

// distinct returns one end of each engine, without those that are simultaneous with an earlier one.
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

func keyOf(parts []uint64) string {
	var b []byte
	for _, part := range parts {
		b = binary.BigEndian.AppendUint64(b, part)
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}

const (
	// firstTrialDelay is the time from the last end to the first trial: one request that is sent to
	// learn whether the parts still crash engines. It doubles with each failed trial.
	firstTrialDelay = time.Minute
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
			delay = min(2*delay, maxTrialDelay)
		}
	}
	return delay
}

// RetryAfter is the time until a request with the parts may be served again.
func (b *Block) RetryAfter(now time.Duration) time.Duration {
	return max(minRetryAfter, b.LastEnd()+b.TrialDelay()-now)
}

// TrialDue reports whether enough time has passed since the last end.
func (b *Block) TrialDue(now time.Duration) bool { return now >= b.LastEnd()+b.TrialDelay() }
