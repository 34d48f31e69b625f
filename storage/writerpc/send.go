package writerpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// sendWrites sends a group as one transaction and completes its members.
func (n *Node) sendWrites(group []grouped.Pending) {
	defer n.wakeRun()
	members, late := splitExpired(group, time.Now())
	if len(members) == 0 {
		n.finishStoreCall(n.writes, group, nil, late)
		return
	}
	n.recordGroup(n.writes, members)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := n.config.Table.Transact(ctx, grouped.Writes(members))
	if !errors.Is(err, storage.ErrConflict) {
		n.finishStoreCall(n.writes, group, commonResults(members, err), late)
		return
	}
	conflicting, again, err := n.resolve(ctx, members)
	if err != nil {
		// The transaction had no effect.
		n.finishStoreCall(n.writes, group, commonResults(members, storage.ErrUnavailable), late)
		return
	}
	n.requeue(again)
	n.finishStoreCall(n.writes, group, commonResults(conflicting, storage.ErrConflict), late)
}

// sendReads reads the rows of a group in one call and completes its members.
func (n *Node) sendReads(group []grouped.Pending) {
	defer n.wakeRun()
	n.recordGroup(n.reads, group)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, err := n.config.Table.BatchGet(ctx, grouped.Keys(group))
	if err != nil {
		n.finishStoreCall(n.reads, group, commonResults(group, err), nil)
		return
	}
	found := map[string]storage.Row{}
	for _, row := range rows {
		found[row.Key] = row
	}
	var results []memberResult
	for _, p := range group {
		results = append(results, memberResult{pending: p, result: result{row: found[p.Write.Key]}})
	}
	n.finishStoreCall(n.reads, group, results, nil)
}

// splitExpired separates the members that must no longer be sent: the process may
// have been paused after Queue.Next.
func splitExpired(group []grouped.Pending, now time.Time) (members, late []grouped.Pending) {
	for _, p := range group {
		if now.Before(p.SendDeadline) {
			members = append(members, p)
			continue
		}
		late = append(late, p)
	}
	return members, late
}

// resolve finds the members that met a conflict by reading their rows. A group of
// one needs no read.
func (n *Node) resolve(ctx context.Context, members []grouped.Pending) (conflicting, again []grouped.Pending, err error) {
	if len(members) == 1 {
		return members, nil, nil
	}
	n.config.Metrics.Count("wigeontiller_claim_group_conflicts_total", 1)
	n.takeReadToken()
	rows, err := n.config.Table.BatchGet(ctx, grouped.Keys(members))
	if err != nil {
		return nil, nil, err
	}
	conflicting, again = grouped.Resolve(members, rows)
	return conflicting, again, nil
}

// takeReadToken takes a token for a read that can't wait for one.
func (n *Node) takeReadToken() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reads.bucket.Take()
}

// requeue returns members of a group to the queue, for a later group.
func (n *Node) requeue(members []grouped.Pending) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.writes.storeQueue.Requeue(members)
}

// finishStoreCall completes a group's members after its call to the table.
func (n *Node) finishStoreCall(l *pipeline, group []grouped.Pending, results []memberResult, late []grouped.Pending) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l.storeCalls--
	l.storeQueue.Release(group)
	n.refuse(l, late, "late")
	var applied []grouped.Pending
	for _, o := range results {
		n.complete(o.pending, o.result)
		if l == n.writes && o.result.err == nil {
			applied = append(applied, o.pending)
		}
	}
	for _, p := range l.storeQueue.RemoveConflicting(applied) {
		n.complete(p, result{err: storage.ErrConflict})
	}
}

func (n *Node) recordGroup(l *pipeline, members []grouped.Pending) {
	now := time.Now()
	n.config.Metrics.Count(fmt.Sprintf("wigeontiller_claim_groups_total{kind=%q}", l.name), 1)
	n.config.Metrics.Count(fmt.Sprintf("wigeontiller_claim_group_rows_total{kind=%q}", l.name), int64(len(members)))
	for _, p := range members {
		n.config.Metrics.Observe(fmt.Sprintf("wigeontiller_claim_wait_seconds{kind=%q}", l.name), now.Sub(p.EnqueuedAt))
	}
}
