package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// updateBudgetBytes bounds the updates in one datagram.
	updateBudgetBytes = 600
	// summaryBudgetBytes bounds those in a note to another data centre.
	summaryBudgetBytes = 250
	// updateFixedBytes is what an update takes beside its strings.
	updateFixedBytes = 33
	// sendsPerDoubling is how often an update is sent for each doubling of the
	// data centre's size.
	sendsPerDoubling = 2
)

// updates is the queue of news to send on: a name and how often it is still due.
type updates struct {
	left map[string]int
}

func newUpdates() updates {
	return updates{left: map[string]int{}}
}

func (u *updates) add(name string, size int) {
	u.left[name] = sendsPerDoubling * bits.Len(uint(size))
}

// order returns the queued names, the least sent first.
func (u *updates) order() []string {
	if len(u.left) == 0 {
		return nil
	}
	names := make([]string, 0, len(u.left))
	for name := range u.left {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(u.left[b], u.left[a]), cmp.Compare(a, b))
	})
	return names
}

// take returns the next updates to send and counts them as sent.
func (u *updates) take(t *table) []Member {
	var taken []Member
	budget := updateBudgetBytes
	for _, name := range u.order() {
		known := t.records[name]
		if known == nil {
			delete(u.left, name)
			continue
		}
		budget -= sizeOf(known.Member)
		if budget < 0 {
			break
		}
		taken = append(taken, known.Member)
		u.left[name]--
		if u.left[name] <= 0 {
			delete(u.left, name)
		}
	}
	return taken
}

// peek returns the freshest updates about one data centre without counting them.
func (u *updates) peek(t *table, dataCentre string) []Member {
	var found []Member
	budget := summaryBudgetBytes
	for _, name := range u.order() {
		known := t.records[name]
		if known == nil || known.DataCentre != dataCentre {
			continue
		}
		budget -= sizeOf(known.Member)
		if budget < 0 {
			break
		}
		found = append(found, known.Member)
	}
	return found
}

func sizeOf(member Member) int {
	return updateFixedBytes + len(member.Name) + len(member.DataCentre) + len(member.Region)
}
