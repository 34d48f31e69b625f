package grouped

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

var start = time.Unix(1000, 0)

func pending(id int, class Class, key string, version uint64) Pending {
	return Pending{
		ID: uint64(id), Class: class, Before: start.Add(time.Hour), Until: start.Add(time.Hour),
		Write: storage.Write{Key: key, IfVersion: version, Value: []byte(key)},
	}
}

func TestOutcomesAreNotStarvedAndUpkeepWaits(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	const each = 960 // whole groups
	for i := range each {
		is.True(q.Add(pending(i, Claim, fmt.Sprint("claim", i), 0)))
		is.True(q.Add(pending(1000+i, Outcome, fmt.Sprint("outcome", i), 0)))
		is.True(q.Add(pending(2000+i, Upkeep, fmt.Sprint("upkeep", i), 0)))
	}
	counts := map[Class]int{}
	group := q.Next()
	for _, p := range group {
		counts[p.Class]++
	}
	is.Equal(len(group), GroupRows)
	is.Equal(counts, map[Class]int{Claim: GroupRows - outcomeRows, Outcome: outcomeRows})
	for q.Len() > each {
		q.Done(q.Next())
	}
	is.Equal(len(q.waiting[Upkeep]), each) // the last to go
	is.Equal(q.Next()[0].Class, Upkeep)
}

func TestGroupsKeepToTheLimits(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	for i := range 10 {
		p := pending(i, Outcome, fmt.Sprint("row", i), 0)
		p.Write.Value = make([]byte, groupBytes/4)
		is.True(q.Add(p))
	}
	is.Equal(len(q.Next()), 3) // the keys count too
	large := pending(20, Claim, "large", 0)
	large.Write.Value = make([]byte, 2*groupBytes)
	is.True(q.Add(large))
	is.Equal(q.Next()[0].ID, uint64(20)) // goes alone, and is not stuck
	for i := range waitingRows {
		q.Add(pending(100+i, Claim, fmt.Sprint(i), 0))
	}
	is.True(!q.Add(pending(1, Claim, "over", 0)))
	is.True(GroupRows <= storage.MaxTransactRows && groupBytes <= storage.MaxTransactBytes)
}

func TestNothingIsSentLate(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	late := pending(1, Claim, "late", 0)
	late.Before = start
	waited := pending(2, Claim, "waited", 0)
	waited.Until = start
	q.Add(late)
	q.Add(waited)
	q.Add(pending(3, Claim, "in time", 0))
	is.Equal(len(q.Expire(start)), 2)
	is.Equal(q.Next()[0].ID, uint64(3))
	// A message that was on its way for ten minutes, by the clock.
	before := LocalBefore(start.Add(10*time.Minute), start.Add(time.Minute), time.Minute)
	is.True(!start.Add(10 * time.Minute).Before(before))
	// A sender's clock that is behind by less than the margin refuses nothing.
	is.True(start.Before(LocalBefore(start, start.Add(-20*time.Second), time.Minute)))
	// A sender's clock that is ahead doesn't lengthen what remains.
	is.Equal(LocalBefore(start, start.Add(time.Hour), time.Minute), start.Add(time.Minute))
}

// faults is a table whose calls fail at random, and whose answers get lost.
type faults struct {
	*memory.Platform
	random *rand.Rand
}

func (f faults) transact(writes []storage.Write) error {
	switch f.random.IntN(12) {
	case 0:
		return storage.ErrUnavailable
	case 1:
		return storage.ErrUnknown
	case 2:
		_ = f.Transact(context.Background(), writes)
		return storage.ErrUnknown
	}
	return f.Transact(context.Background(), writes)
}

// TestEveryAnswerIsTrue sends random writes of few rows, so that most groups
// meet conflicts, and compares what each was told with the writes that took
// effect.
func TestEveryAnswerIsTrue(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, seed))
		table := faults{Platform: memory.New(), random: random}
		told := map[uint64]error{}
		q := NewQueue()
		var out [][]Pending
		for id := 1; id <= 2000 || q.Len()+len(out) > 0; id++ {
			if id <= 2000 {
				p := pending(id, Class(random.IntN(int(classes))), fmt.Sprint(random.IntN(200)), uint64(random.IntN(3)))
				p.Write.Value = fmt.Append(nil, id)
				p.Write.Delete = random.IntN(10) == 0
				is.True(q.Add(p))
			}
			if id > 2000 || random.IntN(20) == 0 {
				out = sendNext(is, q, out)
			}
			if len(out) > 0 && (id > 2000 || random.IntN(20) == 0) {
				settle(q, table, out[0], told)
				out = out[1:]
			}
		}
		is.Equal(len(told), 2000) // each was told once, see settle
	}
}

// sendNext puts the next group on its way.
func sendNext(is *is.I, q *Queue, out [][]Pending) [][]Pending {
	group := q.Next()
	if group == nil {
		return out
	}
	isApart(is, append(out, group))
	return append(out, group)
}

// isApart checks that no key is twice on its way.
func isApart(is *is.I, out [][]Pending) {
	seen := map[string]bool{}
	for _, group := range out {
		for _, p := range group {
			is.True(!seen[p.Write.Key])
			seen[p.Write.Key] = true
		}
	}
}

// settle sends a group as package writerpc does, and checks the answers.
func settle(q *Queue, table faults, group []Pending, told map[uint64]error) {
	answer := func(p Pending, err error) {
		if _, twice := told[p.ID]; twice {
			panic("told twice")
		}
		told[p.ID] = err
		row, _ := table.Get(context.Background(), p.Write.Key)
		applied := string(row.Value) == fmt.Sprint(p.ID)
		if p.Write.Delete {
			applied = row.Version == 0
		}
		wrong := err == nil && !applied
		if errors.Is(err, storage.ErrUnavailable) {
			wrong = applied && !p.Write.Delete
		}
		if errors.Is(err, storage.ErrConflict) {
			wrong = applied && !p.Write.Delete || row.Version == p.Write.IfVersion
		}
		if wrong {
			panic(fmt.Sprintf("%v is false: %+v, row %+v", err, p, row))
		}
	}
	defer q.Done(group)
	err := table.transact(Writes(group))
	if !errors.Is(err, storage.ErrConflict) {
		for _, p := range group {
			answer(p, err)
		}
		if err == nil {
			for _, p := range q.Overtaken(group) {
				answer(p, storage.ErrConflict)
			}
		}
		return
	}
	rows, _ := table.BatchGet(context.Background(), Keys(group))
	conflicting, again := Resolve(group, rows)
	q.Again(again)
	for _, p := range conflicting {
		answer(p, storage.ErrConflict)
	}
}

func TestMembersGoAloneWhenNoRowShowsTheConflict(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.Add(pending(1, Claim, "a", 0))
	q.Add(pending(2, Claim, "b", 0))
	group := q.Next()
	conflicting, again := Resolve(group, nil) // both conditions hold by now
	is.Equal(len(conflicting), 0)
	q.Done(group)
	q.Again(again)
	is.Equal(len(q.Next()), 1)
	is.Equal(len(q.Next()), 1)
}
