package writerpc

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// Register adds the service that takes other nodes' writes to a server.
func (n *Node) Register(mux drpc.Mux) error {
	return DRPCRegisterWriter(mux, service{node: n})
}

// service answers other nodes. It writes what it is sent itself: nothing is
// handed on twice.
type service struct {
	node *Node
}

// Write implements DRPCWriterServer.
func (s service) Write(ctx context.Context, request *WriteRequest) (*WriteResponse, error) {
	s.node.receive(request.Tokens)
	response := &WriteResponse{Outcomes: make([]Outcome, len(request.Rows))}
	var group conc.WaitGroup
	for i, row := range request.Rows {
		group.Go(func() { response.Outcomes[i] = outcomeOf(s.write(ctx, row)) })
	}
	group.Wait()
	return response, nil
}

// Read implements DRPCWriterServer.
func (s service) Read(ctx context.Context, request *ReadRequest) (*ReadResponse, error) {
	response := &ReadResponse{Rows: make([]*Found, len(request.Keys))}
	var group conc.WaitGroup
	for i, key := range request.Keys {
		group.Go(func() { response.Rows[i] = s.read(ctx, key) })
	}
	group.Wait()
	return response, nil
}

func (n *Node) receive(lent *Tokens) {
	now := time.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.writes.bucket.Receive(now, float64(lent.GetWrites())/milli)
	n.reads.bucket.Receive(now, float64(lent.GetReads())/milli)
	if n.writes.store.Len()+n.reads.store.Len() > 0 {
		n.stir()
	}
}

func (s service) read(ctx context.Context, key *Key) *Found {
	now := time.Now()
	until := now.Add(waitOf(key.WaitMs))
	pending := grouped.Pending{
		Class:  classOf(key.Class),
		Write:  storage.Write{Key: key.Key},
		Before: until,
		Until:  until,
		Added:  now,
	}
	got := s.node.await(ctx, s.node.reads, s.node.reads.store, pending)
	return &Found{Known: got.err == nil, Version: got.row.Version, Value: got.row.Value}
}

func classOf(class uint32) grouped.Class {
	return grouped.Class(min(class, uint32(grouped.Upkeep))) //nolint:gosec // bounded in the line
}

func waitOf(milliseconds uint32) time.Duration {
	return min(time.Duration(milliseconds)*time.Millisecond, peerTimeout)
}

func (s service) write(ctx context.Context, row *Row) error {
	now := time.Now()
	remaining := time.Duration(min(row.RemainingMs, uint64(longestRemaining/time.Millisecond))) * time.Millisecond //nolint:gosec // bounded in the line
	pending := grouped.Pending{
		Class:  classOf(row.Class),
		Write:  row.write(),
		Before: grouped.LocalBefore(now, time.UnixMilli(row.BeforeMs), remaining),
		Until:  now.Add(waitOf(row.WaitMs)),
		Added:  now,
	}
	for _, further := range row.Also {
		pending.Also = append(pending.Also, further.write())
	}
	return s.node.await(ctx, s.node.writes, s.node.writes.store, pending).err
}

// longestRemaining bounds what a message may ask for. A claim that expires later
// is sent before that in any case.
const longestRemaining = 24 * time.Hour
