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

// confirm sends a call that has a side effect and an idempotency key.
func (n *node) confirm(key, body string) reply {
	return call(context.Background(), http.MethodPost, "http://"+n.callerAddress+"/services/bookings/confirm", body,
		map[string]string{"Idempotency-Key": key, "X-Request-Timeout": "4"})
}

// runsByKey returns how often each idempotency key ran, summed over the service processes.
func (s *deployment) runsByKey(t *testing.T) map[string]int {
	t.Helper()
	total := map[string]int{}
	for _, address := range s.services {
		got := call(context.Background(), http.MethodGet, "http://"+address+"/counts", "", nil)
		counts := map[string]int{}
		if err := json.Unmarshal([]byte(got.body), &counts); err != nil {
			t.Fatal(err)
		}
		for key, count := range counts {
			total[key] += count
		}
	}
	return total
}

func control(t *testing.T, address, knobs string) {
	t.Helper()
	if got := call(context.Background(), http.MethodPut, "http://"+address+"/control", knobs, nil); got.status != http.StatusOK {
		t.Fatalf("control: %+v", got)
	}
}

// keyedCall is a call with an idempotency key and the index of the node that gets it.
type keyedCall struct {
	key  string
	node int
}

// keyedCalls returns repeated keys that both nodes compete for, and keys that only one
// node gets: a node writes its claims in batches, so one node may win all shared keys.
func keyedCalls() []keyedCall {
	const keys, repeats, own = 16, 6, 4
	var calls []keyedCall
	for i := range keys * repeats {
		calls = append(calls, keyedCall{fmt.Sprintf("key-%d", i/repeats), i % 2})
	}
	for i := range 2 * own {
		calls = append(calls, keyedCall{fmt.Sprintf("own-%d", i), i % 2})
	}
	return calls
}

func TestKeyedCallsRunAtMostOnceWhenANodeIsKilled(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	s.promote(t, s.document(1))
	calls := keyedCalls()
	for _, address := range s.services {
		control(t, address, `{"delay_ms":1000}`)
	}
	// Fewer lost answers than open a node's circuit breaker, so that calls do run.
	control(t, s.platform, `{"lose_answers":4}`)
	replies := make([]reply, len(calls))
	var group sync.WaitGroup
	for i, one := range calls {
		group.Go(func() { replies[i] = s.nodes[one.node].confirm(one.key, "seat") })
	}
	eventually(t, "a call runs through the node", func() bool {
		status, err := s.cli(t, s.nodes[1], "status")
		return err == nil && status["running"].(float64) > 0
	})
	control(t, s.platform, `{"lose_answers":4}`)
	s.nodes[1].signal(t, syscall.SIGKILL)
	group.Wait()
	control(t, s.platform, `{}`)
	later := make([]reply, len(calls))
	for i, one := range calls {
		group.Go(func() { later[i] = s.nodes[0].confirm(one.key, "seat") })
	}
	group.Wait()
	counts := s.runsByKey(t)
	for key, count := range counts {
		is.True(count <= 1) // at most once across both service processes
		t.Logf("%s ran %d", key, count)
	}
	answers := map[string]string{}
	check := func(key string, got reply) {
		if got.status != http.StatusOK {
			return
		}
		is.Equal(counts[key], 1) // a successful answer implies one run
		if answers[key] == "" {
			answers[key] = got.body
		}
		is.Equal(got.body, answers[key]) // every answer equals the first one
	}
	for i, one := range calls {
		check(one.key, replies[i])
		check(one.key, later[i])
	}
	is.True(len(answers) > 0) // the surviving node answered
}

func TestStoreOutageRejectsKeyedCallsOnly(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	s.promote(t, s.document(2))
	n := s.nodes[0]
	first := n.confirm("before", "seat")
	is.Equal(first.status, http.StatusOK)
	control(t, s.platform, `{"down":true}`)
	refused := n.confirm("during", "seat")
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(refused.body, `"code":"platform_unavailable"`))
	is.True(strings.Contains(refused.body, `"execution":"not_run"`))
	is.True(!strings.Contains(refused.body, `"retry_after_ms":0`)) // tells the caller when to retry
	unkeyed := call(context.Background(), http.MethodPost, "http://"+n.callerAddress+"/services/bookings/confirm", "seat", nil)
	is.Equal(unkeyed.status, http.StatusOK)
	is.Equal(n.complete("Still there?", 2).status, http.StatusOK)
	is.Equal(s.runsByKey(t)["during"], 0) // the reported not_run holds
	control(t, s.platform, `{}`)
	var again reply
	eventually(t, "the circuit breaker closes", func() bool {
		again = s.nodes[1].confirm("before", "seat")
		return again.status == http.StatusOK
	})
	is.Equal(again.body, first.body) // another node replays the first answer
	is.Equal(again.header.Get("X-Wigeontiller-Replayed"), "true")
	other := s.nodes[1].confirm("before", "another seat")
	is.Equal(other.status, http.StatusConflict)
	is.True(strings.Contains(other.body, `"code":"idempotency_key_reused"`))
	is.Equal(s.runsByKey(t)["before"], 1)
}
