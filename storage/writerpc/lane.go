package writerpc

import (
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// lane is the writes or the reads of a node. The node's mutex guards it.
type lane struct {
	name string
	// store holds what this node sends to the table, outbox what it hands to the
	// writer.
	store  *grouped.Queue
	outbox *grouped.Queue
	bucket grouped.Bucket
	// storing and handing count the groups that are on their way.
	storing int
	handing int
	// send makes one call to the table for a group, hand one to the writer.
	send func(group []grouped.Pending)
	hand func(writer Peer, group []grouped.Pending)
}

func newLane(name string, limit float64, newQueue func() *grouped.Queue) *lane {
	return &lane{
		name:   name,
		store:  newQueue(),
		outbox: newQueue(),
		bucket: grouped.NewBucket(time.Now(), limit),
	}
}

// waiting returns how many writes or reads wait.
func (l *lane) waiting() int {
	return l.store.Len() + l.outbox.Len()
}

// spare takes the tokens that nothing of this node waits for.
func (l *lane) spare(now time.Time) float64 {
	if l.store.Len() > 0 {
		return 0
	}
	return l.bucket.Lend(now)
}

// result is what became of a write or read.
type result struct {
	row storage.Row
	err error
}

// outcome is the result of one member of a group.
type outcome struct {
	pending grouped.Pending
	result  result
}

func outcomes(members []grouped.Pending, err error) []outcome {
	all := make([]outcome, 0, len(members))
	for _, p := range members {
		all = append(all, outcome{pending: p, result: result{err: err}})
	}
	return all
}

// tokens are lent with a message.
type tokens struct {
	writes, reads float64
}
