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
	sharedSlots = 20
	// sharedNodes makes the two nodes share the engines' slots.
	sharedNodes = "shared_limits: true\n"
	sharedRamp  = "ramp: {initial_percent: 50, duration: 1s}\n"
)

// slotLoad is what an engine has counted itself.
type slotLoad struct {
	Runs     int `json:"runs"`
	Rejected int `json:"rejected"`
}

func (s *site) engineLoads(t *testing.T) slotLoad {
	t.Helper()
	var sum slotLoad
	for _, address := range s.engines {
		got := call(context.Background(), http.MethodGet, "http://"+address+"/v1/load", "", nil)
		var load slotLoad
		if err := json.Unmarshal([]byte(got.body), &load); err != nil {
			t.Fatal(err)
		}
		sum.Runs += load.Runs
		sum.Rejected += load.Rejected
	}
	return sum
}

// TestNodesTogetherKeepToTheSlots sends more calls to two nodes than the engines
// have slots. An engine refuses and counts each attempt over its slots.
func TestNodesTogetherKeepToTheSlots(t *testing.T) {
	is := is.New(t)
	s := startSiteOf(t, sharedSlots, sharedNodes)
	document := strings.ReplaceAll(s.document(1), "slots: 64, kv_tokens", fmt.Sprintf("slots: %d, kv_tokens", sharedSlots))
	s.promote(t, document+sharedRamp)
	const calls = 160
	replies := make([]reply, calls)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { replies[i] = s.nodes[i%2].complete(fmt.Sprintf("prompt %d", i), 30) })
	}
	eventually(t, "a part of the calls has run", func() bool { return s.engineLoads(t).Runs >= calls/2 })
	is.Equal(s.engineLoads(t).Rejected, 0)
	s.nodes[1].signal(t, syscall.SIGKILL)
	group.Wait()
	for i := 0; i < calls; i += 2 {
		is.NoErr(replies[i].err)
		is.Equal(replies[i].status, http.StatusOK)
		is.True(strings.HasSuffix(replies[i].body, "data: [DONE]\n\n")) // the survivor's calls finish
	}
	is.Equal(s.engineLoads(t).Rejected, 0)
}
