package reportrpc

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/wigeontiller/wigeontiller/observe"
)

func TestReportsSurviveEncodingAndDecoding(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	sent := []observe.Observation{
		{Address: "10.0.0.1:1", At: now.Add(-time.Second), Load: observe.Load{
			Incarnation: -5, Queue: 1, Running: 2, KVTokens: 3, Draining: true, Models: []string{"b", "unknown"}}},
		{Address: "10.0.0.2:1", At: now, Load: observe.Load{Models: []string{}}},
		{Address: "10.0.0.3:1", At: now},
		{Address: "10.0.0.4:1", At: now},
	}
	targets := []observe.Target{
		{Address: "10.0.0.1:1", Models: []string{"a", "b"}},
		{Address: "10.0.0.2:1"},
		{Address: "10.0.0.3:1"},
	}
	later := now.Add(time.Hour) // the other node's clock differs
	got := decode(later, encode(now, sent), targets)
	is.Equal(len(got), 3) // the last engine isn't in the tables
	is.Equal(got[0].At, later.Add(-time.Second))
	sent[0].Load.Models = []string{"b"}
	for i, one := range got {
		is.Equal(one.Address, sent[i].Address)
		is.Equal(one.Load, sent[i].Load)
	}
}

// TestReportsFitTrafficBudget uses the largest required data centre: 46 nodes and
// 97 engines. Other traffic between nodes needs most of the 20 KB/s, so reports may
// use half of it.
func TestReportsFitTrafficBudget(t *testing.T) {
	is := is.New(t)
	const (
		nodes, engines = 46, 97
		budget         = 20_000
		budgetDivisor  = 2
		// framing is an upper bound, in bytes, of what the frames of a call and its
		// response, TLS records, TCP and IP headers add.
		framing = 300
	)
	now := time.Unix(1000, 0)
	var own []observe.Observation
	for i := range (engines + nodes - 1) / nodes {
		own = append(own, observe.Observation{
			Address: fmt.Sprint("10.0.0.1:", i), At: now.Add(-100 * time.Millisecond),
			Load: observe.Load{Incarnation: now.UnixNano(), Queue: 9, Running: 256, KVTokens: 400_000, Models: []string{"a", "b"}},
		})
	}
	size := proto.Size(encode(now, own))
	perSecond := (nodes - 1) * (size + framing) * int(time.Second) / int(observe.LocalInterval)
	t.Logf("%d bytes a message, %d bytes/s sent by a node with framing", size, perSecond)
	is.True(perSecond <= budget/budgetDivisor)
}
