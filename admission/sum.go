package admission

import (
	"cmp"
	"slices"
)

// Sum returns the demand of several nodes together, by class, in the order of the classes.
func Sum(lists ...[]Demand) []Demand {
	var sum []Demand
	for _, list := range lists {
		for _, demand := range list {
			i, found := slices.BinarySearchFunc(sum, demand, compareClass)
			if !found {
				sum = slices.Insert(sum, i, Demand{Class: demand.Class})
			}
			sum[i].add(demand)
		}
	}
	return sum
}

// Less returns a sum without the part that a node has itself; nothing falls below zero.
func Less(sum, own []Demand) []Demand {
	left := slices.Clone(sum)
	for _, demand := range own {
		for i := range left {
			if left[i].Class == demand.Class {
				left[i].OnTime = max(0, left[i].OnTime-demand.OnTime)
				left[i].Late = max(0, left[i].Late-demand.Late)
				left[i].ArrivalsPerSecond = max(0, left[i].ArrivalsPerSecond-demand.ArrivalsPerSecond)
			}
		}
	}
	return left
}

func compareClass(a, b Demand) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
}
