package writerpc

import (
	"context"
	"errors"
	"time"

	"github.com/wigeontiller/wigeontiller/peer"
	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// milli is how many of a message's units are one token.
const milli = 1000

// handWrites sends a group to the writer and answers its members.
func (n *Node) handWrites(writer Peer, group []grouped.Pending) {
	defer n.stir()
	members, late := split(group, time.Now())
	var response *WriteResponse
	err := n.call(writer, func(ctx context.Context, client DRPCWriterClient) (err error) {
		response, err = client.Write(ctx, request(members))
		return err
	})
	if errors.Is(err, peer.ErrUnreachable) {
		n.handAgain(n.writes, group, members, late)
		return
	}
	if err != nil || len(response.Outcomes) != len(members) {
		n.handed(n.writes, group, outcomes(members, storage.ErrUnknown), late)
		return
	}
	var ended []outcome
	for i, p := range members {
		ended = append(ended, outcome{pending: p, result: result{err: response.Outcomes[i].err()}})
	}
	n.handed(n.writes, group, ended, late)
}

// handReads does the same for reads.
func (n *Node) handReads(writer Peer, group []grouped.Pending) {
	defer n.stir()
	var response *ReadResponse
	err := n.call(writer, func(ctx context.Context, client DRPCWriterClient) (err error) {
		response, err = client.Read(ctx, readRequest(group))
		return err
	})
	if errors.Is(err, peer.ErrUnreachable) {
		n.handAgain(n.reads, group, group, nil)
		return
	}
	if err != nil || len(response.Rows) != len(group) {
		n.handed(n.reads, group, outcomes(group, storage.ErrUnknown), nil)
		return
	}
	var ended []outcome
	for i, p := range group {
		ended = append(ended, outcome{pending: p, result: response.Rows[i].result(p.Write.Key)})
	}
	n.handed(n.reads, group, ended, nil)
}

// call makes one call to a peer. A peer that fails is avoided for a while. The
// error is peer.ErrUnreachable when nothing was sent.
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
	n.config.Logger.Debug().Err(err).Str("writer", to.Name).Msg("claims' writer did not answer")
	return err
}

// handAgain lets a group that was not sent wait for the next writer.
func (n *Node) handAgain(l *lane, group, members, late []grouped.Pending) {
	n.mutex.Lock()
	l.outbox.Again(members)
	n.mutex.Unlock()
	n.handed(l, group, nil, late)
}

func (n *Node) handed(l *lane, group []grouped.Pending, ended []outcome, late []grouped.Pending) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	l.handing--
	l.outbox.Done(group)
	n.refuse(l, late, "late")
	for _, o := range ended {
		n.answer(o.pending, o.result)
	}
}

// lend hands tokens on. Those that are lost on their way are not made again.
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
	return &Tokens{Writes: uint32(t.writes * milli), Reads: uint32(t.reads * milli)}
}

func request(members []grouped.Pending) *WriteRequest {
	now := time.Now()
	made := &WriteRequest{}
	for _, p := range members {
		row := rowOf(p.Write)
		row.Class = uint32(p.Class)
		row.BeforeMs = p.Before.UnixMilli()
		row.RemainingMs = milliseconds(p.Before.Sub(now))
		row.WaitMs = uint32(milliseconds(p.Until.Sub(now))) //nolint:gosec // at most a second
		for _, write := range p.Also {
			row.Also = append(row.Also, rowOf(write))
		}
		made.Rows = append(made.Rows, row)
	}
	return made
}

func rowOf(write storage.Write) *Row {
	return &Row{Key: write.Key, Value: write.Value, IfVersion: write.IfVersion, Delete: write.Delete}
}

func (r *Row) write() storage.Write {
	return storage.Write{Key: r.Key, Value: r.Value, IfVersion: r.IfVersion, Delete: r.Delete}
}

func readRequest(members []grouped.Pending) *ReadRequest {
	now := time.Now()
	made := &ReadRequest{}
	for _, p := range members {
		made.Keys = append(made.Keys, &Key{
			Key:    p.Write.Key,
			Class:  uint32(p.Class),
			WaitMs: uint32(milliseconds(p.Until.Sub(now))), //nolint:gosec // at most a second
		})
	}
	return made
}

func milliseconds(period time.Duration) uint64 {
	return uint64(max(period, 0).Milliseconds()) //nolint:gosec // not negative
}

// err turns an outcome into the error of a write.
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

// result returns what a peer read.
func (f *Found) result(key string) result {
	if !f.Known {
		return result{err: storage.ErrUnavailable}
	}
	return result{row: storage.Row{Key: key, Version: f.Version, Value: f.Value}}
}

// outcomeOf turns the error of a write into an outcome.
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
