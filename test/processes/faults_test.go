package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// noNewWorkAfter is when a data centre taken out gets nothing new.
	noNewWorkAfter = 5 * time.Second
	// quietTime is how long its counters are watched from then on.
	quietTime = 2 * time.Second
	// outageTime is how long the platform is down.
	outageTime = 4 * time.Second
)

// TestFaults lets one site meet each fault in turn under steady load.
func TestFaults(t *testing.T) {
	parent := t
	s := startSite(t)
	s.startNode(t, "entry-c", "dc-b", freeAddress(t), []string{s.nodes[0].peers, s.nodes[1].peers})
	s.promote(t, s.document(1))
	t.Run("node paused", func(t *testing.T) { nodePaused(t, s) })
	t.Run("platform down", func(t *testing.T) { platformDown(t, parent, s) })
	t.Run("promotions race", func(t *testing.T) { promotionsRace(t, s) })
	t.Run("answer lost", func(t *testing.T) { answerLost(t, s) })
	t.Run("data centre out", func(t *testing.T) { dataCentreOut(t, s) })
	t.Run("node killed", func(t *testing.T) { nodeKilled(t, s) })
}

func nodePaused(t *testing.T, s *site) {
	is := is.New(t)
	paused, others := s.nodes[1], []*node{s.nodes[0], s.nodes[2]}
	before := s.version(t, paused)
	l := startLoad(t, others...)
	paused.signal(t, syscall.SIGSTOP)
	defer func() { _ = paused.command.Process.Signal(syscall.SIGCONT) }()
	s.waitPeer(t, s.nodes[0], "entry-b", "dead")
	s.try(t, s.nodes[0], s.document(2))
	version := s.mustCLI(t, s.nodes[0], "env", "promote", "works")["version"].(float64)
	paused.signal(t, syscall.SIGCONT)
	for s.version(t, paused) < version {
		is.True(s.version(t, paused) >= before) // never older
		time.Sleep(loadInterval)
	}
	s.waitPeer(t, s.nodes[0], "entry-b", "alive")
	s.waitVersion(t, version)
	l.end(t)
}

// platformDown starts a node that stays until the parent ends.
func platformDown(t, parent *testing.T, s *site) {
	is := is.New(t)
	l := startLoad(t, s.nodes...)
	control(t, s.platform, `{"down":true}`)
	began := time.Now()
	newcomer := s.startNode(parent, "entry-d", "dc-a", freeAddress(t), []string{s.nodes[0].peers, s.nodes[1].peers})
	t.Logf("a new node was ready after %v", time.Since(began))
	is.Equal(s.version(t, newcomer), s.version(t, s.nodes[0])) // from its peers
	is.Equal(newcomer.complete("Served?", 2).status, http.StatusOK)
	time.Sleep(outageTime - min(outageTime, time.Since(began)))
	control(t, s.platform, `{}`)
	l.end(t)
	eventually(t, "commands work again", func() bool {
		_, err := s.cli(t, newcomer, "env", "list")
		return err == nil
	})
}

func promotionsRace(t *testing.T, s *site) {
	is := is.New(t)
	l := startLoad(t, s.nodes...)
	for round := range 5 {
		tried := s.try(t, s.nodes[0], s.document(10+round))
		body := fmt.Sprintf(`{"digest":%q,"replaces":%.0f}`, tried["digest"], tried["version"])
		replies := make([]reply, 2)
		var group sync.WaitGroup
		for i := range replies {
			group.Go(func() {
				replies[i] = s.command(s.nodes[i], http.MethodPost, promotePath, body, fmt.Sprintf("race-%d-%d", round, i))
			})
		}
		group.Wait()
		won, lost := replies[0], replies[1]
		if won.status != http.StatusOK {
			won, lost = lost, won
		}
		is.Equal(won.status, http.StatusOK)        // one wins
		is.Equal(lost.status, http.StatusConflict) // and one only
		version := versionOf(t, won)
		is.Equal(refusalOf(t, lost), refusal{Code: "stale_version", Current: version})
		s.waitVersion(t, version)
	}
	l.end(t)
}

func answerLost(t *testing.T, s *site) {
	is := is.New(t)
	tried := s.try(t, s.nodes[0], s.document(20))
	body := fmt.Sprintf(`{"digest":%q,"replaces":%.0f}`, tried["digest"], tried["version"])
	before := tried["version"].(float64)
	control(t, s.platform, `{"lose_writes":1}`)
	got := s.command(s.nodes[0], http.MethodPost, promotePath, body, "lost-1")
	is.Equal(got.status, http.StatusOK) // the node read back what became of it
	var left struct {
		LoseWrites int `json:"lose_writes"`
	}
	decode(t, "http://"+s.platform+"/control", &left)
	is.Equal(left.LoseWrites, 0)          // the answer was lost indeed
	is.Equal(versionOf(t, got), before+1) // one effect
	again := s.command(s.nodes[1], http.MethodPost, promotePath, body, "lost-1")
	is.Equal(again.status, http.StatusOK)
	is.Equal(versionOf(t, again), before+1) // the first outcome
	s.waitVersion(t, before+1)
}

func dataCentreOut(t *testing.T, s *site) {
	is := is.New(t)
	l := startLoad(t, s.nodes...)
	start := s.work(t, 1)
	eventually(t, "it is used", func() bool { return s.work(t, 1) > start })
	commanded := time.Now()
	s.mustCLI(t, s.nodes[0], "dc", "out", "dc-b")
	time.Sleep(noNewWorkAfter - time.Since(commanded))
	out, elsewhere := s.work(t, 1), s.work(t, 0)
	time.Sleep(quietTime)
	is.Equal(s.work(t, 1), out)       // nothing new there
	is.True(s.work(t, 0) > elsewhere) // the load goes on
	s.mustCLI(t, s.nodes[1], "dc", "in", "dc-b")
	eventually(t, "it is used again", func() bool { return s.work(t, 1) > out })
	l.end(t)
}

func nodeKilled(t *testing.T, s *site) {
	killed := s.nodes[2]
	others := []*node{s.nodes[0], s.nodes[1], s.nodes[3]}
	l := startLoad(t, others...)
	killed.signal(t, syscall.SIGKILL)
	s.waitPeer(t, s.nodes[0], "entry-c", "dead")
	l.end(t)
	s.nodes = others
	s.promote(t, s.document(30)) // in force without it
}

// TestDataCentreOutWhileANodeIsPaused keeps the promise also for calls that
// wait in the paused node's sockets.
func TestDataCentreOutWhileANodeIsPaused(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	s.promote(t, s.document(1))
	paused := s.nodes[1]
	l := startLoad(t, s.nodes...)
	eventually(t, "it is used", func() bool { return s.work(t, 1) > 0 })
	paused.signal(t, syscall.SIGSTOP)
	defer func() { _ = paused.command.Process.Signal(syscall.SIGCONT) }()
	waiting := make([]reply, 8)
	var group sync.WaitGroup
	for i := range waiting {
		group.Go(func() { waiting[i] = paused.complete(fmt.Sprintf("waits %d", i), 2) })
	}
	commanded := time.Now()
	s.mustCLI(t, s.nodes[0], "dc", "out", "dc-b")
	time.Sleep(noNewWorkAfter + time.Second - time.Since(commanded))
	out := s.work(t, 1)
	paused.signal(t, syscall.SIGCONT)
	group.Wait()
	time.Sleep(quietTime)
	is.Equal(s.work(t, 1), out) // nothing new there
	for _, got := range waiting {
		is.Equal(got.status, http.StatusOK) // served elsewhere
	}
	l.end(t)
}

const promotePath = "/admin/v1/environments/works/promote"

// command sends an operator's command under an id.
func (s *site) command(n *node, method, path, body, id string) reply {
	return call(context.Background(), method, "http://"+n.operators+path, body,
		map[string]string{"Authorization": "Bearer " + operatorToken, "X-Command-ID": id})
}

// try puts a document in trial and returns the outcome.
func (s *site) try(t *testing.T, n *node, document string) map[string]any {
	t.Helper()
	file := filepath.Join(t.TempDir(), "document.yaml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return s.mustCLI(t, n, "env", "try", file)
}

func (s *site) version(t *testing.T, n *node) float64 {
	t.Helper()
	return s.mustCLI(t, n, "status")["version"].(float64)
}

// waitPeer waits until a node shows a peer in a state.
func (s *site) waitPeer(t *testing.T, n *node, name, state string) {
	t.Helper()
	eventually(t, name+" "+state, func() bool {
		status, err := s.cli(t, n, "status")
		if err != nil {
			return false
		}
		for _, peer := range status["peers"].([]any) {
			shown := peer.(map[string]any)
			if shown["name"] == name {
				return shown["state"] == state
			}
		}
		return false
	})
}

func versionOf(t *testing.T, got reply) float64 {
	t.Helper()
	var outcome struct {
		Version float64 `json:"version"`
	}
	if err := json.Unmarshal([]byte(got.body), &outcome); err != nil {
		t.Fatalf("%v: %s", err, got.body)
	}
	return outcome.Version
}

// refusal is what a refused command says.
type refusal struct {
	Code    string
	Current float64
}

func refusalOf(t *testing.T, got reply) refusal {
	t.Helper()
	var text struct {
		Error struct {
			Code   string `json:"code"`
			Detail struct {
				Current float64 `json:"current_version"`
			} `json:"detail"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(got.body), &text); err != nil {
		t.Fatalf("%v: %s", err, got.body)
	}
	return refusal{Code: text.Error.Code, Current: text.Error.Detail.Current}
}
