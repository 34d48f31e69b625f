package budget

import "slices"

// divide returns the max-min fair division of a total among demands: no share
// exceeds its demand, and none can grow without reducing a smaller one. A
// demand of zero gets zero. Remainders go to the earlier of equal demands.
func divide(total int, demands []int) []int {
	shares := make([]int, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return demands[a] - demands[b] })
	left := max(total, 0)
	for place, i := range order {
		others := len(order) - place
		even := (left + others - 1) / others
		shares[i] = min(max(demands[i], 0), even)
		left -= shares[i]
	}
	return shares
}

// divideAll divides a total by demand and then divides the surplus evenly. No
// share exceeds limit.
func divideAll(total, limit int, demands []int) []int {
	capped := make([]int, len(demands))
	for i, demand := range demands {
		capped[i] = min(demand, limit)
	}
	shares := divide(total, capped)
	headroom := make([]int, len(demands))
	left := total
	for i, share := range shares {
		headroom[i] = limit - share
		left -= share
	}
	for i, surplus := range divide(left, headroom) {
		shares[i] += surplus
	}
	return shares
}
