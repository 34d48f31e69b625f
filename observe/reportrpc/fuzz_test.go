package reportrpc

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeontiller/wigeontiller/observe"
)

// FuzzDecode checks that no message of a peer yields values out of bounds or names
// that the targets don't have.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1000, 0)
	targets := []observe.Target{{Address: "10.0.0.1:1", Models: []string{"a", "b"}}}
	whole, err := proto.Marshal(encode(now, []observe.Observation{
		{Address: "10.0.0.1:1", At: now, Load: observe.Load{Incarnation: 7, Queue: 1, Running: 2, Models: []string{"a"}}},
	}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		request := new(TellRequest)
		if proto.Unmarshal(data, request) != nil {
			return
		}
		for _, o := range decode(now, request, targets) {
			if o.At.After(now) || o.Load.Queue < 0 || o.Load.Running < 0 || o.Load.KVTokens < 0 {
				t.Fatalf("observation out of bounds: %+v", o)
			}
			if o.Address != targets[0].Address || slices.ContainsFunc(o.Load.Models, func(m string) bool { return m != "a" && m != "b" }) {
				t.Fatalf("engine or model not among the targets: %+v", o)
			}
		}
	})
}
