package admission

import (
	"testing"

	"github.com/matryer/is"
)

func TestSumLessOwnIsTheOthers(t *testing.T) {
	is := is.New(t)
	urgent, other := Class{Service: 1}, Class{Service: 1, Priority: 5}
	own := []Demand{{Class: other, OnTime: 2, Late: 1, ArrivalsPerSecond: 3, PlaceMs: 100}}
	theirs := []Demand{{Class: other, OnTime: 4, ArrivalsPerSecond: 1, PlaceMs: 500}, {Class: urgent, OnTime: 7}}
	sum := Sum(own, theirs)
	is.Equal(sum, []Demand{{Class: urgent, OnTime: 7}, {Class: other, OnTime: 6, Late: 1, ArrivalsPerSecond: 4, PlaceMs: 200}})
	left := Less(sum, own)
	is.Equal(left[0], sum[0])
	is.Equal(left[1], Demand{Class: other, OnTime: 4, ArrivalsPerSecond: 1, PlaceMs: 200})
	is.Equal(Less(theirs, sum)[0].OnTime, 0) // never below zero
	is.Equal(len(Sum()), 0)
}
