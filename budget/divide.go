package budget

import "slices"

// divide returns the max-min fair division of a total among wants: no share is
// over its want, and none could grow but at the cost of a smaller one. A want
// of zero gets zero. Remainders go to the earlier of equal wants.
func divide(total int, wants []int) []int {
	shares := make([]int, len(wants))
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return wants[a] - wants[b] })
	left := max(total, 0)
	for place, i := range order {
		others := len(order) - place
		even := (left + others - 1) / others
		shares[i] = min(max(wants[i], 0), even)
		left -= shares[i]
	}
	return shares
}

// spread divides a total by wants and what remains evenly, each share at most
// limit.
func spread(total, limit int, wants []int) []int {
	capped := make([]int, len(wants))
	for i, want := range wants {
		capped[i] = min(want, limit)
	}
	shares := divide(total, capped)
	room := make([]int, len(wants))
	left := total
	for i, share := range shares {
		room[i] = limit - share
		left -= share
	}
	for i, extra := range divide(left, room) {
		shares[i] += extra
	}
	return shares
}
