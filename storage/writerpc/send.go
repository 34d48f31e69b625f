package writerpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// sendWrites makes one transaction of a group and answers its members.
func (n *Node) sendWrites(group []grouped.Pending) {
	defer n.stir()
	members, late := split(group, time.Now())
	if len(members) == 0 {
		n.sent(n.writes, group, nil, late)
		return
	}
	n.measure(n.writes, members)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := n.config.Table.Transact(ctx, grouped.Writes(members))
	if !errors.Is(err, storage.ErrConflict) {
		n.sent(n.writes, group, outcomes(members, err), late)
		return
	}
	conflicting, again, err := n.resolve(ctx, members)
	if err != nil {
		// The transaction had no effect.
		n.sent(n.writes, group, outcomes(members, storage.ErrUnavailable), late)
		return
	}
	n.sendAgain(again)
	n.sent(n.writes, group, outcomes(conflicting, storage.ErrConflict), late)
}

// sendReads reads the rows of a group in one call and answers its members.
func (n *Node) sendReads(group []grouped.Pending) {
	defer n.stir()
	n.measure(n.reads, group)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, err := n.config.Table.BatchGet(ctx, grouped.Keys(group))
	if err != nil {
		n.sent(n.reads, group, outcomes(group, err), nil)
		return
	}
	found := map[string]storage.Row{}
	for _, row := range rows {
		found[row.Key] = row
	}
	var ended []outcome
	for _, p := range group {
		ended = append(ended, outcome{pending: p, result: result{row: found[p.Write.Key]}})
	}
	n.sent(n.reads, group, ended, nil)
}

// split takes out the members that must not be sent any more: the process may
// have been paused since they were chosen.
func split(group []grouped.Pending, now time.Time) (members, late []grouped.Pending) {
	for _, p := range group {
		if now.Before(p.Before) {
			members = append(members, p)
			continue
		}
		late = append(late, p)
	}
	return members, late
}

// resolve finds the members that met a conflict. It reads nothing for a group
// of one.
func (n *Node) resolve(ctx context.Context, members []grouped.Pending) (conflicting, again []grouped.Pending, err error) {
	if len(members) == 1 {
		return members, nil, nil
	}
	n.config.Metrics.Count("wigeontiller_claim_group_conflicts_total", 1)
	n.payRead()
	rows, err := n.config.Table.BatchGet(ctx, grouped.Keys(members))
	if err != nil {
		return nil, nil, err
	}
	conflicting, again = grouped.Resolve(members, rows)
	return conflicting, again, nil
}

// payRead takes the token of a read that can't wait for one.
func (n *Node) payRead() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reads.bucket.Take()
}

// sendAgain lets members of a group wait for another one.
func (n *Node) sendAgain(members []grouped.Pending) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.writes.store.Again(members)
}

// sent ends a group's call.
func (n *Node) sent(l *lane, group []grouped.Pending, ended []outcome, late []grouped.Pending) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l.storing--
	l.store.Done(group)
	n.refuse(l, late, "late")
	var applied []grouped.Pending
	for _, o := range ended {
		n.answer(o.pending, o.result)
		if l == n.writes && o.result.err == nil {
			applied = append(applied, o.pending)
		}
	}
	for _, p := range l.store.Overtaken(applied) {
		n.answer(p, result{err: storage.ErrConflict})
	}
}

func (n *Node) measure(l *lane, members []grouped.Pending) {
	now := time.Now()
	n.config.Metrics.Count(fmt.Sprintf("wigeontiller_claim_groups_total{kind=%q}", l.name), 1)
	n.config.Metrics.Count(fmt.Sprintf("wigeontiller_claim_group_rows_total{kind=%q}", l.name), int64(len(members)))
	for _, p := range members {
		n.config.Metrics.Observe(fmt.Sprintf("wigeontiller_claim_wait_seconds{kind=%q}", l.name), now.Sub(p.Added))
	}
}
