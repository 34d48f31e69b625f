package membership

import (
	"net/netip"
	"testing"

	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"
)

// FuzzDecode feeds arbitrary decrypted bytes to the decoder, as a holder of the key
// could.
func FuzzDecode(f *testing.F) {
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	codec, err := NewCodec("fuzz-key")
	if err != nil {
		f.Fatal(err)
	}
	message := Message{
		Kind: Sync, From: "entry-a", DataCentre: "dc-a", Target: address,
		Updates:   []Member{{Name: "entry-b", DataCentre: "dc-b", Region: "r", Address: address, Incarnation: 1}},
		Summaries: []Summary{{DataCentre: "dc-b", Heartbeat: 1, Hash: 2}},
	}
	packed, err := msgpack.Marshal(&message)
	if err != nil {
		f.Fatal(err)
	}
	for range 20 {
		message.Updates = append(message.Updates, message.Updates[0])
	}
	compressed, err := codec.encode(message)
	if err != nil {
		f.Fatal(err)
	}
	if compressed[0] != encodingS2 {
		f.Fatal("a sync page was not compressed")
	}
	for _, whole := range [][]byte{append([]byte{encodingPlain}, packed...), compressed} {
		f.Add(whole)
		f.Add(whole[:len(whole)/2])
	}
	f.Add([]byte{})
	// 16 MiB of zeros in a small compressed message.
	f.Add(append([]byte{encodingS2}, s2.Encode(nil, make([]byte, 16<<20))...))
	// An array header that claims 2^32-1 entries, alone and as the summaries.
	f.Add([]byte{encodingPlain, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{encodingPlain, 0x9a, 0x07, 0x00, 0xa1, 'a', 0xa1, 'b', 0x00, 0x00, 0xc0, 0xa0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := codec.decode(data)
		if err == nil && !message.valid() {
			t.Fatal("a message with fields out of bounds was accepted")
		}
	})
}
