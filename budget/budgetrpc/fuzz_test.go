package budgetrpc

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeontiller/wigeontiller/budget"
)

// FuzzDecodeReport feeds the decoder arbitrary bytes from a peer.
func FuzzDecodeReport(f *testing.F) {
	names := NewResourceNames([]string{"a", "b"})
	report := budget.Report{Node: "n", Sequence: 2, Allocator: "k", Echo: time.Second, Usages: []budget.Usage{
		{Resource: "a", Running: budget.Amount{Slots: 1, KVTokens: 4096}, Idle: true},
		{Resource: "b", Unchanged: true, Start: budget.Start{Number: 3, Age: time.Minute}},
	}}
	whole, err := proto.Marshal(EncodeReport(report))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		request := new(ReportRequest)
		if proto.Unmarshal(data, request) != nil {
			return
		}
		decoded, err := DecodeReport(request, names)
		if err != nil {
			return
		}
		for _, usage := range decoded.Usages {
			for _, amount := range []budget.Amount{usage.Running, usage.Waiting, usage.Next, usage.Held, usage.Fallback, usage.Standby} {
				if amount.Slots < 0 || amount.KVTokens < 0 {
					t.Fatalf("negative amount %+v", amount)
				}
			}
		}
	})
}
