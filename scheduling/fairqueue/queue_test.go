package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func push(q *Queue[int], id, organisation string, weight, cost float64, level int) {
	q.Push(&Entry[int]{ID: id, Organisation: organisation, Weight: weight, Cost: cost, Level: level})
}

func TestQueueSharesTokensByWeight(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	for i := range 3000 {
		push(q, fmt.Sprint("a", i), "a", 1, 100, 1)
		push(q, fmt.Sprint("b", i), "b", 3, 1000, 1)
	}
	served := map[string]float64{}
	for range 2000 {
		entry := q.Head(1, 0)
		served[entry.Organisation] += entry.Cost
		q.Take(entry.ID)
	}
	ratio := served["b"] / served["a"]
	is.True(ratio > 2.9 && ratio < 3.1) // tokens, not requests, follow the weights
}

func TestIdleOrganisationAccumulatesNoCredit(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	push(q, "b", "b", 1, 10, 1)
	q.Take("b")
	for i := range 100 {
		push(q, fmt.Sprint("a", i), "a", 1, 10, 1)
		q.Take(fmt.Sprint("a", i))
	}
	for i := range 100 {
		push(q, fmt.Sprint("x", i), "a", 1, 10, 1)
		push(q, fmt.Sprint("y", i), "b", 1, 10, 1)
	}
	served := map[string]int{}
	for range 100 {
		entry := q.Head(1, 0)
		served[entry.Organisation]++
		q.Take(entry.ID)
	}
	is.True(served["a"] >= 49 && served["a"] <= 51)
}

func TestEvictionCandidateIsOfLargestBacklogAndNoHigherLevel(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	for i := range 10 {
		push(q, fmt.Sprint("a", i), "a", 1, 10, 1)
	}
	push(q, "u", "a", 1, 10, 2)
	push(q, "b", "b", 1, 10, 1)
	is.Equal(q.EvictionCandidate(q.Get("b")).ID, "a9")
	is.Equal(q.EvictionCandidate(q.Get("a3")), nil)
	push(q, "low", "c", 1, 10, 0)
	is.Equal(q.EvictionCandidate(q.Get("low")), nil) // never an entry of a higher level
}

func TestChargeDelaysOrganisation(t *testing.T) {
	is := is.New(t)
	q := New[int]()
	push(q, "a", "a", 1, 10, 1)
	push(q, "b", "b", 1, 10, 1)
	q.Charge("a", 1, 500)
	is.Equal(q.Head(1, 0).ID, "b")
}

func TestRandomOperationsKeepTotalsConsistent(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		q := New[int]()
		costs := map[string]float64{}
		for step := range 3000 {
			id := fmt.Sprint(random.IntN(200))
			switch {
			case costs[id] == 0:
				costs[id] = 1 + float64(random.IntN(50))
				push(q, id, fmt.Sprint(random.IntN(20)), 1+float64(random.IntN(3)), costs[id], random.IntN(Levels))
			case step%3 == 0:
				q.Raise(id, Levels-1)
			case step%3 == 1:
				q.Remove(id)
				delete(costs, id)
			default:
				q.Take(id)
				delete(costs, id)
			}
			total, linked := 0.0, 0
			for _, cost := range costs {
				total += cost
			}
			for level := range Levels {
				for _, sub := range q.heaps[level][0] {
					linked += sub.entries.Len()
				}
			}
			is.Equal(q.Len(), len(costs))
			is.Equal(linked, len(costs))
			is.True(q.Backlog() == total)
			waiting := 0
			for _, owner := range q.byBacklog {
				waiting += owner.waiting
			}
			is.Equal(waiting, len(costs))
		}
	}
}
