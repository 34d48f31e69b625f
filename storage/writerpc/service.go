package writerpc

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/wigeontiller/wigeontiller/storage"
	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// Register registers the service that receives other nodes' writes and reads.
func (n *Node) Register(mux drpc.Mux) error {
	return DRPCRegisterWriter(mux, service{node: n})
}

// service serves other nodes. It sends what it receives to the table itself: nothing
// is forwarded twice.
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
	n.writes.bucket.Receive(now, float64(lent.GetWrites())/unitsPerToken)
	n.reads.bucket.Receive(now, float64(lent.GetReads())/unitsPerToken)
	if n.writes.storeQueue.Len()+n.reads.storeQueue.Len() > 0 {
		n.wakeRun()
	}
}

func (s service) read(ctx context.Context, key *Key) *Found {
	now := time.Now()
	deadline := now.Add(waitOf(key.WaitMs))
	pending := grouped.Pending{
		Class:         classOf(key.Class),
		Write:         storage.Write{Key: key.Key},
		SendDeadline:  deadline,
		QueueDeadline: deadline,
		EnqueuedAt:    now,
	}
	got := s.node.enqueueAndWait(ctx, s.node.reads, s.node.reads.storeQueue, pending)
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
	remaining := time.Duration(min(row.RemainingMs, uint64(maxRemaining/time.Millisecond))) * time.Millisecond //nolint:gosec // bounded in the line
	pending := grouped.Pending{
		Class:         classOf(row.Class),
		Write:         row.write(),
		SendDeadline:  grouped.LocalDeadline(now, time.UnixMilli(row.BeforeMs), remaining),
		QueueDeadline: now.Add(waitOf(row.WaitMs)),
		EnqueuedAt:    now,
	}
	for _, further := range row.Also {
		pending.FurtherWrites = append(pending.FurtherWrites, further.write())
	}
	return s.node.enqueueAndWait(ctx, s.node.writes, s.node.writes.storeQueue, pending).err
}

// maxRemaining bounds the time in a message. A claim that expires later is sent
// before that in any case.
const maxRemaining = 24 * time.Hour
