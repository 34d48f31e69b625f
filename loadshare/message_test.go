package loadshare

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/placement"
)

func sampleMessage() *message {
	return &message{
		Node: "edge-1", Incarnation: 42, Sequence: 7, Full: true, ShuttingDown: true, SentAt: 90 * time.Second, Relayed: true, HasClaims: true,
		Announced: &Node{Name: "edge-1", Zone: "z1", Capacity: 0.192},
		Claims:    [2]fleet.Watermark{{LastChange: 12, Revision: 15, FreshAt: 88 * time.Second}, {LastChange: 1 << 40, Revision: 1 << 40, FreshAt: 90 * time.Second}},
		Shares: []placement.LoadUpdate{
			{Hash: 1, Totals: placement.Totals{Running: 3, MemoryTokens: 150_000, HelperPrompts: 2}, AddedPrefillMs: 110.5, SpeedFactor: 1, Unattributed: 2},
			{Hash: 0xffffffff, AddedPrefillMs: -20, AvoidFor: time.Second},
		},
		Update: &fleet.Update{Table: fleet.UpstreamTable, PreviousChange: 10, LastChange: 12, Revision: 15, FreshAt: 89 * time.Second, Changes: []fleet.Change{
			{Removed: "i-1"},
			{Upstream: &fleet.Upstream{
				ID: "i-2", Service: "llm", Address: "10.1.0.4:80", Zone: "z0", Slots: 16, Draining: true,
				StartedMs: 1_781_877_452_028, ColdFor: 3 * time.Second,
			}},
			{Upstream: &fleet.Upstream{ID: "i-3", Service: "llm", Address: "10.1.0.5:80", Zone: "z1"}},
		}},
		Bundle: &bundle{Nodes: 59, Members: []memberLoad{
			{Hash: 9, Shares: []placement.LoadUpdate{{Hash: 4, Totals: placement.Totals{Running: 1}}}},
			{Hash: 10, ShuttingDown: true},
		}},
		Zones: []zoneLoad{{Zone: "z2", Relay: 3, Incarnation: 4, Sequence: 5, Full: true, Nodes: 6, Shares: []placement.LoadUpdate{{Hash: 1, SpeedFactor: 2.5}}}},
	}
}

func TestDecodeReturnsEncodedMessage(t *testing.T) {
	is := is.New(t)
	decoded, err := decode(sampleMessage().encode())
	is.NoErr(err)
	is.Equal(decoded, sampleMessage())
}

func TestDecodeRejectsTruncatedMessage(t *testing.T) {
	encoded := sampleMessage().encode()
	for length := range len(encoded) {
		if _, err := decode(encoded[:length]); err == nil {
			t.Fatalf("a message truncated to %d bytes was accepted", length)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sampleMessage().encode())
	f.Add([]byte{formatVersion, 0, 1, 'a', 1, 1, 1, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decode(data)
		if err != nil {
			return
		}
		for _, share := range m.Shares {
			if share.Totals.Running < 0 || share.Totals.MemoryTokens < 0 || share.AvoidFor < 0 {
				t.Fatalf("negative totals: %+v", share)
			}
		}
	})
}
