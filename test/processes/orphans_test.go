package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// engineLoad is an engine's load report.
type engineLoad struct {
	KVTokens int      `json:"kv_tokens"`
	Runs     int      `json:"runs"`
	Models   []string `json:"models"`
	Role     string   `json:"role"`
	Unsigned int      `json:"unsigned_orders"`
	Streams  []struct {
		ID    string `json:"id"`
		Owner string `json:"owner"`
	} `json:"streams"`
}

func readLoad(t *testing.T, address string) engineLoad {
	t.Helper()
	var load engineLoad
	got := call(context.Background(), http.MethodGet, "http://"+address+"/v1/load", "", nil)
	if err := json.Unmarshal([]byte(got.body), &load); err != nil {
		t.Fatal(err)
	}
	return load
}

// owners counts an engine's streams by the name of the owning node.
func (l engineLoad) owners() map[string]int {
	counts := map[string]int{}
	for _, s := range l.Streams {
		node, _, _ := strings.Cut(s.Owner, "/")
		counts[node]++
	}
	return counts
}

// startDeploymentWithSharedEngine starts a deployment whose first data centre has two
// nodes and one engine.
func startDeploymentWithSharedEngine(t *testing.T, engineArgs ...string) *deployment {
	t.Helper()
	s := startDeployment(t)
	s.engines[0] = freeAddress(t)
	start(t, "wigeontiller-standin", append([]string{"engine", "--address", s.engines[0]}, engineArgs...)...)
	s.startNode(t, "entry-c", "dc-a", freeAddress(t), []string{s.nodes[0].peerAddress, s.nodes[1].peerAddress})
	s.promote(t, s.document(1))
	return s
}

// sendAsync starts a request and returns the channel that receives its answer.
func (n *node) sendAsync(t *testing.T, prompt string, tokens int) <-chan reply {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	body := fmt.Sprintf(`{"model":"adviser","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	replies := make(chan reply, 1)
	go func() {
		replies <- call(ctx, http.MethodPost, "http://"+n.callerAddress+"/v1/chat/completions", body, nil)
	}()
	return replies
}

// TestKilledNodesStreamsAreCanceled uses prompts whose prefill takes longer than
// hangTimeout. During prefill an engine doesn't notice that nobody waits for the answer.
func TestKilledNodesStreamsAreCanceled(t *testing.T) {
	is := is.New(t)
	s := startDeploymentWithSharedEngine(t, "--prefill", "2000")
	engine := s.engines[0]
	prompt := strings.Repeat("long ", 80_000)
	s.nodes[0].sendAsync(t, prompt, 10)
	s.nodes[2].sendAsync(t, prompt, 10)
	eventually(t, "both streams run", func() bool {
		owners := readLoad(t, engine).owners()
		return owners["entry-a"] == 1 && owners["entry-c"] == 1
	})
	both := readLoad(t, engine).KVTokens
	s.nodes[0].signal(t, syscall.SIGKILL)
	eventually(t, "the killed node's stream is canceled", func() bool { return readLoad(t, engine).owners()["entry-a"] == 0 })
	load := readLoad(t, engine)
	is.Equal(load.owners()["entry-c"], 1) // the other node's stream goes on
	is.Equal(load.KVTokens, both/2)       // only that stream's memory is held
}

func TestPausedNodeEndsItsCanceledStreamWithAnError(t *testing.T) {
	is := is.New(t)
	s := startDeploymentWithSharedEngine(t, "--token-interval", "1s")
	engine := s.engines[0]
	replies := s.nodes[0].sendAsync(t, "short", 300)
	eventually(t, "the stream runs", func() bool { return readLoad(t, engine).owners()["entry-a"] == 1 })
	s.nodes[0].signal(t, syscall.SIGSTOP)
	eventually(t, "the engine's memory is free", func() bool { return readLoad(t, engine).KVTokens == 0 })
	s.nodes[0].signal(t, syscall.SIGCONT)
	got := <-replies
	is.True(strings.Contains(got.body, `"execution":"may_have_run"`))
	is.True(!strings.Contains(got.body, "[DONE]"))
}

func TestDrainingEngineGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	s := startDeploymentWithSharedEngine(t)
	l := startLoad(t, s.nodes...)
	eventually(t, "the engine gets requests", func() bool { return s.runCount(t, 0) > 0 })
	control(t, s.engines[0], `{"leaving":true}`)
	left := time.Now()
	last := lastNewRun(t, s.engines[0], left.Add(noNewRequestsAfter))
	out := readLoad(t, s.engines[0]).Runs
	time.Sleep(observationTime)
	is.Equal(readLoad(t, s.engines[0]).Runs, out) // no new request there
	t.Logf("the engine got its last new request at most %v after it began to drain", last.Sub(left))
	l.stopAndVerify(t)
	control(t, s.engines[1], `{"leaving":true}`)
	for _, n := range s.nodes {
		eventually(t, "requests are rejected", func() bool { return n.complete("Hello", 2).status == http.StatusServiceUnavailable })
	}
	control(t, s.engines[0], `{}`)
	for _, n := range s.nodes {
		eventually(t, "requests are served again", func() bool { return n.complete("Hello", 2).status == http.StatusOK })
	}
}

// lastNewRun polls an engine until the end time and returns when its run count was
// last seen to grow.
func lastNewRun(t *testing.T, engine string, end time.Time) time.Time {
	t.Helper()
	last, runs := time.Now(), readLoad(t, engine).Runs
	for time.Now().Before(end) {
		if now := readLoad(t, engine).Runs; now > runs {
			last, runs = time.Now(), now
		}
		time.Sleep(20 * time.Millisecond)
	}
	return last
}
