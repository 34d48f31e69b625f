package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

const (
	slotsPerEngine = 20
	// sharedLimitsSetting makes the nodes share the engines' slots.
	sharedLimitsSetting = "shared_limits: true\n"
	rampSetting         = "ramp: {initial_percent: 50, duration: 1s}\n"
)

// slotCounters are an engine's own counters of attempts that ran and that it rejected.
type slotCounters struct {
	Runs     int `json:"runs"`
	Rejected int `json:"rejected"`
}

func (s *deployment) sumSlotCounters(t *testing.T) slotCounters {
	t.Helper()
	var sum slotCounters
	for _, address := range s.engines {
		got := call(context.Background(), http.MethodGet, "http://"+address+"/v1/load", "", nil)
		var load slotCounters
		if err := json.Unmarshal([]byte(got.body), &load); err != nil {
			t.Fatal(err)
		}
		sum.Runs += load.Runs
		sum.Rejected += load.Rejected
	}
	return sum
}

// TestNodesTogetherStayWithinEngineSlots sends more calls to two nodes than the engines
// have slots. An engine rejects and counts each attempt beyond its slots.
func TestNodesTogetherStayWithinEngineSlots(t *testing.T) {
	is := is.New(t)
	s := startDeploymentWith(t, slotsPerEngine, sharedLimitsSetting)
	document := strings.ReplaceAll(s.document(1), "slots: 64, kv_tokens", fmt.Sprintf("slots: %d, kv_tokens", slotsPerEngine))
	s.promote(t, document+rampSetting)
	const calls = 160
	replies := make([]reply, calls)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { replies[i] = s.nodes[i%2].complete(fmt.Sprintf("prompt %d", i), 30) })
	}
	eventually(t, "half of the calls have run", func() bool { return s.sumSlotCounters(t).Runs >= calls/2 })
	is.Equal(s.sumSlotCounters(t).Rejected, 0)
	s.nodes[1].signal(t, syscall.SIGKILL)
	group.Wait()
	for i := 0; i < calls; i += 2 {
		is.NoErr(replies[i].err)
		is.Equal(replies[i].status, http.StatusOK)
		is.True(strings.HasSuffix(replies[i].body, "data: [DONE]\n\n")) // the surviving node's calls finish
	}
	is.Equal(s.sumSlotCounters(t).Rejected, 0)
}
