package writerpc

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/wigeontiller/wigeontiller/storage/grouped"
)

// FuzzRows checks that the service bounds whatever a peer sends.
func FuzzRows(f *testing.F) {
	whole, err := proto.Marshal(&WriteRequest{Rows: []*Row{{Key: "k", Value: []byte("v"), Class: 1, WaitMs: 5, RemainingMs: 6}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		request := new(WriteRequest)
		if proto.Unmarshal(data, request) != nil {
			return
		}
		for _, row := range request.Rows {
			if class := classOf(row.Class); class > grouped.Upkeep {
				t.Fatalf("class %d is out of range", class)
			}
			if wait := waitOf(row.WaitMs); wait < 0 || wait > peerTimeout {
				t.Fatalf("wait of %v is out of range", wait)
			}
			if row.write().Key != row.Key {
				t.Fatal("decoded write has a different key")
			}
		}
	})
}
