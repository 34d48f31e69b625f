package budgetrpc

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/storage"
)

// tableTimeout bounds one call to the table.
const tableTimeout = 5 * time.Second

// callTable starts the calls that are due for the leases, each concurrently.
func (n *Node) callTable(ctx context.Context) {
	for _, call := range n.tableCalls(time.Now()) {
		n.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, tableTimeout)
			defer cancel()
			if call.Write {
				n.writeLease(ctx, call)
				return
			}
			n.readLease(ctx, call)
		})
	}
}

func (n *Node) tableCalls(now time.Time) []budget.LeaseCall {
	owners := ownerLookup(n.members)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.allocator.Calls(now, func(row string) bool {
		lease, ok := n.leases[row]
		return ok && owners(lease).Name == n.name
	})
}

func (n *Node) readLease(ctx context.Context, call budget.LeaseCall) {
	row, err := n.table.Get(ctx, call.Lease)
	if errors.Is(err, storage.ErrNotFound) {
		row, err = storage.Row{}, nil
	}
	lease, decodeErr := decodeLease(row.Value)
	if err = errors.Join(err, decodeErr); err != nil {
		n.logger.Debug().Err(err).Str("lease", call.Lease).Msg("reading budget lease failed")
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		n.allocator.ReadFailed(call)
		return
	}
	n.allocator.ReadDone(time.Now(), call, row.Version, lease)
}

func (n *Node) writeLease(ctx context.Context, call budget.LeaseCall) {
	value, err := encodeLease(call.Row)
	if err == nil {
		err = n.table.Transact(ctx, []storage.Write{{Key: call.Lease, Value: value, IfVersion: call.IfVersion}})
	} else {
		err = errors.Join(storage.ErrUnavailable, err)
	}
	if err != nil {
		n.logger.Debug().Err(err).Str("lease", call.Lease).Msg("writing budget lease failed")
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.allocator.WriteDone(time.Now(), call, outcomeOf(err))
}

func outcomeOf(err error) budget.Outcome {
	switch {
	case err == nil:
		return budget.Written
	case errors.Is(err, storage.ErrConflict):
		return budget.Conflict
	case errors.Is(err, storage.ErrUnavailable):
		return budget.Refused
	}
	return budget.Unknown
}

func encodeLease(row budget.LeaseRow) ([]byte, error) {
	return proto.Marshal(&LeaseValue{
		Holder:     row.Holder,
		Epoch:      row.Epoch,
		Write:      row.WriteNumber,
		Length:     uint64((row.Duration + time.Millisecond - 1) / time.Millisecond),
		Registered: row.Registered,
	})
}

// decodeLease returns the row in a value. Errors: ErrMalformed.
func decodeLease(value []byte) (budget.LeaseRow, error) {
	decoded := &LeaseValue{}
	if err := proto.Unmarshal(value, decoded); err != nil {
		return budget.LeaseRow{}, eris.Wrap(ErrMalformed, err.Error())
	}
	return budget.LeaseRow{
		Holder:      decoded.Holder,
		Epoch:       decoded.Epoch,
		WriteNumber: decoded.Write,
		Duration:    time.Duration(decoded.Length) * time.Millisecond,
		Registered:  decoded.Registered,
	}, nil
}
