package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// updateBudgetBytes limits the piggybacked updates in one datagram.
	updateBudgetBytes = 600
	// summaryBudgetBytes limits the updates in a summary to another data centre.
	summaryBudgetBytes = 250
	// updateOverheadBytes is the encoded size assumed for an update besides its strings.
	updateOverheadBytes = 33
	// sendsPerDoubling is how many times an update is sent per doubling of the
	// data centre's size.
	sendsPerDoubling = 2
)

// updateQueue holds the updates to piggyback: member names and the number of
// sends that remain for each.
type updateQueue struct {
	remaining map[string]int
}

func newUpdateQueue() updateQueue {
	return updateQueue{remaining: map[string]int{}}
}

func (u *updateQueue) add(name string, size int) {
	u.remaining[name] = sendsPerDoubling * bits.Len(uint(size))
}

// sortedNames returns the queued names, those with the most remaining sends first.
func (u *updateQueue) sortedNames() []string {
	if len(u.remaining) == 0 {
		return nil
	}
	names := make([]string, 0, len(u.remaining))
	for name := range u.remaining {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(u.remaining[b], u.remaining[a]), cmp.Compare(a, b))
	})
	return names
}

// take returns the next updates that fit in a datagram and counts them as sent.
func (u *updateQueue) take(t *table) []Member {
	var taken []Member
	budget := updateBudgetBytes
	for _, name := range u.sortedNames() {
		known := t.records[name]
		if known == nil {
			delete(u.remaining, name)
			continue
		}
		budget -= encodedBytes(known.Member)
		if budget < 0 {
			break
		}
		taken = append(taken, known.Member)
		u.remaining[name]--
		if u.remaining[name] <= 0 {
			delete(u.remaining, name)
		}
	}
	return taken
}

// peek returns the least sent updates of one data centre's members without
// counting them as sent.
func (u *updateQueue) peek(t *table, dataCentre string) []Member {
	var found []Member
	budget := summaryBudgetBytes
	for _, name := range u.sortedNames() {
		known := t.records[name]
		if known == nil || known.DataCentre != dataCentre {
			continue
		}
		budget -= encodedBytes(known.Member)
		if budget < 0 {
			break
		}
		found = append(found, known.Member)
	}
	return found
}

func encodedBytes(member Member) int {
	return updateOverheadBytes + len(member.Name) + len(member.DataCentre) + len(member.Region)
}
