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

// engineLoad is what an engine reports of itself.
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

// owners counts an engine's streams by the name of their node.
func (l engineLoad) owners() map[string]int {
	counts := map[string]int{}
	for _, s := range l.Streams {
		node, _, _ := strings.Cut(s.Owner, "/")
		counts[node]++
	}
	return counts
}

// startOrphanSite has two nodes in the first data centre, with one engine.
func startOrphanSite(t *testing.T, engineArgs ...string) *site {
	t.Helper()
	s := startSite(t)
	s.engines[0] = freeAddress(t)
	start(t, "wigeontiller-standin", append([]string{"engine", "--address", s.engines[0]}, engineArgs...)...)
	s.startNode(t, "entry-c", "dc-a", freeAddress(t), []string{s.nodes[0].peers, s.nodes[1].peers})
	s.promote(t, s.document(1))
	return s
}

// send starts a request whose answer comes over the channel.
func (n *node) send(t *testing.T, prompt string, tokens int) <-chan reply {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	body := fmt.Sprintf(`{"model":"adviser","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	replies := make(chan reply, 1)
	go func() {
		replies <- call(ctx, http.MethodPost, "http://"+n.callers+"/v1/chat/completions", body, nil)
	}()
	return replies
}

// TestKilledNodesStreamsAreCanceled uses prompts that take longer to read than
// the hang guard: an engine doesn't see that nobody waits for them.
func TestKilledNodesStreamsAreCanceled(t *testing.T) {
	is := is.New(t)
	s := startOrphanSite(t, "--prefill", "2000")
	engine := s.engines[0]
	prompt := strings.Repeat("long ", 80_000)
	s.nodes[0].send(t, prompt, 10)
	s.nodes[2].send(t, prompt, 10)
	eventually(t, "both run", func() bool {
		owners := readLoad(t, engine).owners()
		return owners["entry-a"] == 1 && owners["entry-c"] == 1
	})
	both := readLoad(t, engine).KVTokens
	s.nodes[0].signal(t, syscall.SIGKILL)
	eventually(t, "the dead node's stream is gone", func() bool { return readLoad(t, engine).owners()["entry-a"] == 0 })
	load := readLoad(t, engine)
	is.Equal(load.owners()["entry-c"], 1) // the living node's stream goes on
	is.Equal(load.KVTokens, both/2)       // and holds only its own memory
}

func TestPausedNodeEndsItsCanceledStreamWithAnError(t *testing.T) {
	is := is.New(t)
	s := startOrphanSite(t, "--token-interval", "1s")
	engine := s.engines[0]
	replies := s.nodes[0].send(t, "short", 300)
	eventually(t, "it runs", func() bool { return readLoad(t, engine).owners()["entry-a"] == 1 })
	s.nodes[0].signal(t, syscall.SIGSTOP)
	eventually(t, "the memory is free", func() bool { return readLoad(t, engine).KVTokens == 0 })
	s.nodes[0].signal(t, syscall.SIGCONT)
	got := <-replies
	is.True(strings.Contains(got.body, `"execution":"may_have_run"`))
	is.True(!strings.Contains(got.body, "[DONE]"))
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	s := startOrphanSite(t)
	l := startLoad(t, s.nodes...)
	eventually(t, "it is used", func() bool { return s.work(t, 0) > 0 })
	control(t, s.engines[0], `{"leaving":true}`)
	left := time.Now()
	last := lastNewWork(t, s.engines[0], left.Add(noNewWorkAfter))
	out := readLoad(t, s.engines[0]).Runs
	time.Sleep(quietTime)
	is.Equal(readLoad(t, s.engines[0]).Runs, out) // nothing new there
	t.Logf("the last new work came by %v after it was leaving", last.Sub(left))
	l.end(t)
	control(t, s.engines[1], `{"leaving":true}`)
	for _, n := range s.nodes {
		eventually(t, "no new work", func() bool { return n.complete("Hello", 2).status == http.StatusServiceUnavailable })
	}
	control(t, s.engines[0], `{}`)
	for _, n := range s.nodes {
		eventually(t, "work again", func() bool { return n.complete("Hello", 2).status == http.StatusOK })
	}
}

// lastNewWork watches an engine until the end and returns when it was last seen
// to have got more.
func lastNewWork(t *testing.T, engine string, end time.Time) time.Time {
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
