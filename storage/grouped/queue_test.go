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
		ID: uint64(id), Class: class, SendDeadline: start.Add(time.Hour), QueueDeadline: start.Add(time.Hour),
		Write: storage.Write{Key: key, IfVersion: version, Value: []byte(key)},
	}
}

func TestQueueReservesRowsForOutcomesAndSendsUpkeepLast(t *testing.T) {
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
	is.Equal(len(group), MaxGroupRows)
	is.Equal(counts, map[Class]int{Claim: MaxGroupRows - reservedOutcomeRows, Outcome: reservedOutcomeRows})
	for q.Len() > each {
		q.Release(q.Next())
	}
	is.Equal(len(q.waiting[Upkeep]), each) // sent last
	is.Equal(q.Next()[0].Class, Upkeep)
}

func TestQueueKeepsSizeLimits(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	for i := range 10 {
		p := pending(i, Outcome, fmt.Sprint("row", i), 0)
		p.Write.Value = make([]byte, maxGroupBytes/4)
		is.True(q.Add(p))
	}
	is.Equal(len(q.Next()), 3) // keys count towards the size
	large := pending(20, Claim, "large", 0)
	large.Write.Value = make([]byte, 2*maxGroupBytes)
	is.True(q.Add(large))
	is.Equal(q.Next()[0].ID, uint64(20)) // sent alone instead of waiting forever
	for i := range maxWaiting {
		q.Add(pending(100+i, Claim, fmt.Sprint(i), 0))
	}
	is.True(!q.Add(pending(1, Claim, "over", 0)))
	is.True(MaxGroupRows <= storage.MaxTransactRows && maxGroupBytes <= storage.MaxTransactBytes)
}

func TestQueueExpiresWritesPastDeadline(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	late := pending(1, Claim, "late", 0)
	late.SendDeadline = start
	waited := pending(2, Claim, "waited", 0)
	waited.QueueDeadline = start
	q.Add(late)
	q.Add(waited)
	q.Add(pending(3, Claim, "in time", 0))
	is.Equal(len(q.Expire(start)), 2)
	is.Equal(q.Next()[0].ID, uint64(3))
	// A message was in transit for ten minutes, by the clocks.
	before := LocalDeadline(start.Add(10*time.Minute), start.Add(time.Minute), time.Minute)
	is.True(!start.Add(10 * time.Minute).Before(before))
	// A sender's clock that is behind by less than the margin expires nothing.
	is.True(start.Before(LocalDeadline(start, start.Add(-20*time.Second), time.Minute)))
	// A sender's clock that is ahead doesn't extend the remaining time.
	is.Equal(LocalDeadline(start, start.Add(time.Hour), time.Minute), start.Add(time.Minute))
}

// faultyTable is a table whose calls fail and whose answers get lost at random.
type faultyTable struct {
	*memory.Platform
	random *rand.Rand
}

func (f faultyTable) transact(writes []storage.Write) error {
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

// TestAnswersMatchAppliedWritesUnderFaults sends random writes of few rows, so that
// most groups meet conflicts, and compares the answer to each write with the row. An
// answer must not contradict what was applied.
func TestAnswersMatchAppliedWritesUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, seed))
		table := faultyTable{Platform: memory.New(), random: random}
		answers := map[uint64]error{}
		q := NewQueue()
		var inFlight [][]Pending
		for id := 1; id <= 2000 || q.Len()+len(inFlight) > 0; id++ {
			if id <= 2000 {
				p := pending(id, Class(random.IntN(int(classes))), fmt.Sprint(random.IntN(200)), uint64(random.IntN(3)))
				p.Write.Value = fmt.Append(nil, id)
				p.Write.Delete = random.IntN(10) == 0
				is.True(q.Add(p))
			}
			if id > 2000 || random.IntN(20) == 0 {
				inFlight = startNext(is, q, inFlight)
			}
			if len(inFlight) > 0 && (id > 2000 || random.IntN(20) == 0) {
				sendAndCheck(q, table, inFlight[0], answers)
				inFlight = inFlight[1:]
			}
		}
		is.Equal(len(answers), 2000) // each was answered once, see sendAndCheck
	}
}

// startNext appends the next group to those in flight.
func startNext(is *is.I, q *Queue, inFlight [][]Pending) [][]Pending {
	group := q.Next()
	if group == nil {
		return inFlight
	}
	checkKeysDisjoint(is, append(inFlight, group))
	return append(inFlight, group)
}

// checkKeysDisjoint checks that no key is in flight twice.
func checkKeysDisjoint(is *is.I, inFlight [][]Pending) {
	seen := map[string]bool{}
	for _, group := range inFlight {
		for _, p := range group {
			is.True(!seen[p.Write.Key])
			seen[p.Write.Key] = true
		}
	}
}

// sendAndCheck sends a group as package writerpc does, and checks the answers
// against the rows.
func sendAndCheck(q *Queue, table faultyTable, group []Pending, answers map[uint64]error) {
	answer := func(p Pending, err error) {
		if _, twice := answers[p.ID]; twice {
			panic("write answered twice")
		}
		answers[p.ID] = err
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
			panic(fmt.Sprintf("answer %v contradicts the table: write %+v, row %+v", err, p, row))
		}
	}
	defer q.Release(group)
	err := table.transact(Writes(group))
	if !errors.Is(err, storage.ErrConflict) {
		for _, p := range group {
			answer(p, err)
		}
		if err == nil {
			for _, p := range q.RemoveConflicting(group) {
				answer(p, storage.ErrConflict)
			}
		}
		return
	}
	rows, _ := table.BatchGet(context.Background(), Keys(group))
	conflicting, again := Resolve(group, rows)
	q.Requeue(again)
	for _, p := range conflicting {
		answer(p, storage.ErrConflict)
	}
}

func TestResolveSendsMembersAloneWhenNoRowShowsConflict(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.Add(pending(1, Claim, "a", 0))
	q.Add(pending(2, Claim, "b", 0))
	group := q.Next()
	conflicting, again := Resolve(group, nil) // both conditions hold again
	is.Equal(len(conflicting), 0)
	q.Release(group)
	q.Requeue(again)
	is.Equal(len(q.Next()), 1)
	is.Equal(len(q.Next()), 1)
}
