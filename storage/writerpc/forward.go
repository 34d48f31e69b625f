package writerpc

import (
	"context"
	"errors"
	"time"

	"github.com/wigeontiller/wigeontiller/peer"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// unitsPerToken is the number of a message's units in one token.
const unitsPerToken = 1000

// forwardWrites sends a group to the writer and completes its members.
func (n *Node) forwardWrites(writer Peer, group []grouped.Pending) {
	defer n.wakeRun()
	members, late := splitExpired(group, time.Now())
	var response *WriteResponse
	err := n.call(writer, func(ctx context.Context, client DRPCWriterClient) (err error) {
		response, err = client.Write(ctx, writeRequest(members))
		return err
	})
	if errors.Is(err, peer.ErrUnreachable) {
		n.requeueForwarded(n.writes, group, members, late)
		return
	}
	if err != nil || len(response.Outcomes) != len(members) {
		n.finishForward(n.writes, group, commonResults(members, storage.ErrUnknown), late)
		return
	}
	var results []memberResult
	for i, p := range members {
		results = append(results, memberResult{pending: p, result: result{err: response.Outcomes[i].err()}})
	}
	n.finishForward(n.writes, group, results, late)
}

// forwardReads does the same as forwardWrites for reads.
func (n *Node) forwardReads(writer Peer, group []grouped.Pending) {
	defer n.wakeRun()
	var response *ReadResponse
	err := n.call(writer, func(ctx context.Context, client DRPCWriterClient) (err error) {
		response, err = client.Read(ctx, readRequest(group))
		return err
	})
	if errors.Is(err, peer.ErrUnreachable) {
		n.requeueForwarded(n.reads, group, group, nil)
		return
	}
	if err != nil || len(response.Rows) != len(group) {
		n.finishForward(n.reads, group, commonResults(group, storage.ErrUnknown), nil)
		return
	}
	var results []memberResult
	for i, p := range group {
		results = append(results, memberResult{pending: p, result: response.Rows[i].result(p.Write.Key)})
	}
	n.finishForward(n.reads, group, results, nil)
}

// call makes one call to a peer. A peer that fails is not called for avoidPeriod.
// The error is peer.ErrUnreachable if nothing was sent.
func (n *Node) call(to Peer, run func(context.Context, DRPCWriterClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	conn := n.config.Dial(ctx, to.Address)
	defer func() { _ = conn.Close() }()
	err := run(ctx, NewDRPCWriterClient(conn))
	if err == nil {
		return nil
	}
	n.avoid(to)
	n.config.Metrics.Count("wigeontiller_claim_writer_failures_total", 1)
	n.config.Logger.Debug().Err(err).Str("writer", to.Name).Msg("call to the data centre's claim writer failed")
	return err
}

// requeueForwarded returns a group that was not sent to the queue, for the next writer.
func (n *Node) requeueForwarded(l *pipeline, group, members, late []grouped.Pending) {
	n.mutex.Lock()
	l.forwardQueue.Requeue(members)
	n.mutex.Unlock()
	n.finishForward(l, group, nil, late)
}

func (n *Node) finishForward(l *pipeline, group []grouped.Pending, results []memberResult, late []grouped.Pending) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l.forwards--
	l.forwardQueue.Release(group)
	n.refuse(l, late, "late")
	for _, o := range results {
		n.complete(o.pending, o.result)
	}
}

// lend sends tokens to the writer. Tokens lost in transit are not replaced.
func (n *Node) lend(writer Peer, lent tokens) {
	_ = n.call(writer, func(ctx context.Context, client DRPCWriterClient) error {
		_, err := client.Write(ctx, &WriteRequest{Tokens: lent.message()})
		return err
	})
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lending = false
}

func (t tokens) message() *Tokens {
	return &Tokens{Writes: uint32(t.writes * unitsPerToken), Reads: uint32(t.reads * unitsPerToken)}
}

func writeRequest(members []grouped.Pending) *WriteRequest {
	now := time.Now()
	message := &WriteRequest{}
	for _, p := range members {
		row := rowOf(p.Write)
		row.Class = uint32(p.Class)
		row.BeforeMs = p.SendDeadline.UnixMilli()
		row.RemainingMs = milliseconds(p.SendDeadline.Sub(now))
		row.WaitMs = uint32(milliseconds(p.QueueDeadline.Sub(now))) //nolint:gosec // at most a second
		for _, write := range p.FurtherWrites {
			row.Also = append(row.Also, rowOf(write))
		}
		message.Rows = append(message.Rows, row)
	}
	return message
}

func rowOf(write storage.Write) *Row {
	return &Row{Key: write.Key, Value: write.Value, IfVersion: write.IfVersion, Delete: write.Delete}
}

func (r *Row) write() storage.Write {
	return storage.Write{Key: r.Key, Value: r.Value, IfVersion: r.IfVersion, Delete: r.Delete}
}

func readRequest(members []grouped.Pending) *ReadRequest {
	now := time.Now()
	message := &ReadRequest{}
	for _, p := range members {
		message.Keys = append(message.Keys, &Key{
			Key:    p.Write.Key,
			Class:  uint32(p.Class),
			WaitMs: uint32(milliseconds(p.QueueDeadline.Sub(now))), //nolint:gosec // at most a second
		})
	}
	return message
}

func milliseconds(period time.Duration) uint64 {
	return uint64(max(period, 0).Milliseconds()) //nolint:gosec // not negative
}

// err converts an outcome to the error of a write.
func (o Outcome) err() error {
	switch o {
	case Outcome_APPLIED:
		return nil
	case Outcome_CONFLICT:
		return storage.ErrConflict
	case Outcome_REFUSED:
		return storage.ErrUnavailable
	}
	return storage.ErrUnknown
}

// result converts what a peer read; key is the row's.
func (f *Found) result(key string) result {
	if !f.Known {
		return result{err: storage.ErrUnavailable}
	}
	return result{row: storage.Row{Key: key, Version: f.Version, Value: f.Value}}
}

// outcomeOf converts the error of a write to an outcome.
func outcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Outcome_APPLIED
	case errors.Is(err, storage.ErrConflict):
		return Outcome_CONFLICT
	case errors.Is(err, storage.ErrUnavailable):
		return Outcome_REFUSED
	}
	return Outcome_UNKNOWN
}
