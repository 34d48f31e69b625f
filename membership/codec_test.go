package membership

import (
	"net/netip"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzDecode feeds the decoder behind the seal, as a holder of the key could.
func FuzzDecode(f *testing.F) {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	whole, err := msgpack.Marshal(&Message{
		Kind: Sync, From: "entry-a", DataCentre: "dc-a", Target: address,
		Updates:   []Member{{Name: "entry-b", DataCentre: "dc-b", Region: "r", Address: address, Incarnation: 1}},
		Summaries: []Summary{{DataCentre: "dc-b", Beat: 1, Hash: 2}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{})
	// An array that claims four thousand million entries.
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x9a, 0x07, 0x00, 0xa1, 'a', 0xa1, 'b', 0x00, 0x00, 0xc0, 0xa0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := decode(data)
		if err == nil && !message.valid() {
			t.Fatal("a message out of bounds was let in")
		}
	})
}
