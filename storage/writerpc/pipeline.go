package writerpc

import (
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// pipeline handles either the writes or the reads of a node. The node's mutex guards
// it.
type pipeline struct {
	name string
	// storeQueue holds what this node sends to the table, forwardQueue what it
	// forwards to the writer.
	storeQueue   *grouped.Queue
	forwardQueue *grouped.Queue
	bucket       grouped.Bucket
	// storeCalls and forwards count the groups in flight.
	storeCalls int
	forwards   int
	// send makes one call to the table for a group, forward one to the writer.
	send    func(group []grouped.Pending)
	forward func(writer Peer, group []grouped.Pending)
}

func newPipeline(name string, limit float64, newQueue func() *grouped.Queue) *pipeline {
	return &pipeline{
		name:         name,
		storeQueue:   newQueue(),
		forwardQueue: newQueue(),
		bucket:       grouped.NewBucket(time.Now(), limit),
	}
}

// queued returns how many writes or reads are waiting.
func (l *pipeline) queued() int {
	return l.storeQueue.Len() + l.forwardQueue.Len()
}

// takeUnusedTokens takes all tokens if nothing on this node waits for them, else
// none.
func (l *pipeline) takeUnusedTokens(now time.Time) float64 {
	if l.storeQueue.Len() > 0 {
		return 0
	}
	return l.bucket.Lend(now)
}

// result is the result of a write or read.
type result struct {
	row storage.Row
	err error
}

// memberResult is the result of one member of a group.
type memberResult struct {
	pending grouped.Pending
	result  result
}

func commonResults(members []grouped.Pending, err error) []memberResult {
	all := make([]memberResult, 0, len(members))
	for _, p := range members {
		all = append(all, memberResult{pending: p, result: result{err: err}})
	}
	return all
}

// tokens are the tokens that a message lends.
type tokens struct {
	writes, reads float64
}
