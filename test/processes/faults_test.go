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
	// noNewRequestsAfter is the time after which a data centre that was taken out
	// of service, or a draining engine, gets no new request.
	noNewRequestsAfter = 5 * time.Second
	// observationTime is how long the run counters must then stay unchanged.
	observationTime = 2 * time.Second
	// outageDuration is how long the platform is down.
	outageDuration = 4 * time.Second
)

// TestFaultsUnderSteadyLoad exposes one deployment to each fault in turn.
func TestFaultsUnderSteadyLoad(t *testing.T) {
	parent := t
	s := startDeployment(t)
	s.startNode(t, "entry-c", "dc-b", freeAddress(t), []string{s.nodes[0].peerAddress, s.nodes[1].peerAddress})
	s.promote(t, s.document(1))
	t.Run("node paused", func(t *testing.T) { testNodePaused(t, s) })
	t.Run("platform down", func(t *testing.T) { testPlatformDown(t, parent, s) })
	t.Run("promotions race", func(t *testing.T) { testPromotionsRace(t, s) })
	t.Run("answer lost", func(t *testing.T) { testAnswerLost(t, s) })
	t.Run("data centre out of service", func(t *testing.T) { testDataCentreOut(t, s) })
	t.Run("node killed", func(t *testing.T) { testNodeKilled(t, s) })
}

func testNodePaused(t *testing.T, s *deployment) {
	is := is.New(t)
	paused, others := s.nodes[1], []*node{s.nodes[0], s.nodes[2]}
	before := s.version(t, paused)
	l := startLoad(t, others...)
	paused.signal(t, syscall.SIGSTOP)
	defer func() { _ = paused.command.Process.Signal(syscall.SIGCONT) }()
	s.waitPeer(t, s.nodes[0], "entry-b", "dead")
	s.tryDocument(t, s.nodes[0], s.document(2))
	version := s.mustCLI(t, s.nodes[0], "env", "promote", "works")["version"].(float64)
	paused.signal(t, syscall.SIGCONT)
	for s.version(t, paused) < version {
		is.True(s.version(t, paused) >= before) // the version never goes back
		time.Sleep(loadInterval)
	}
	s.waitPeer(t, s.nodes[0], "entry-b", "alive")
	s.waitVersion(t, version)
	l.stopAndVerify(t)
}

// testPlatformDown starts a node that runs until the parent test ends.
func testPlatformDown(t, parent *testing.T, s *deployment) {
	is := is.New(t)
	l := startLoad(t, s.nodes...)
	control(t, s.platform, `{"down":true}`)
	began := time.Now()
	newcomer := s.startNode(parent, "entry-d", "dc-a", freeAddress(t), []string{s.nodes[0].peerAddress, s.nodes[1].peerAddress})
	t.Logf("a new node was ready after %v", time.Since(began))
	is.Equal(s.version(t, newcomer), s.version(t, s.nodes[0])) // fetched from its peers
	is.Equal(newcomer.complete("Served?", 2).status, http.StatusOK)
	time.Sleep(outageDuration - min(outageDuration, time.Since(began)))
	control(t, s.platform, `{}`)
	l.stopAndVerify(t)
	eventually(t, "operator commands succeed again", func() bool {
		_, err := s.cli(t, newcomer, "env", "list")
		return err == nil
	})
}

func testPromotionsRace(t *testing.T, s *deployment) {
	is := is.New(t)
	l := startLoad(t, s.nodes...)
	for round := range 5 {
		tried := s.tryDocument(t, s.nodes[0], s.document(10+round))
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
		is.Equal(won.status, http.StatusOK)        // one promotion succeeds
		is.Equal(lost.status, http.StatusConflict) // and only one
		version := versionOf(t, won)
		is.Equal(refusalOf(t, lost), refusal{Code: "stale_version", Current: version})
		s.waitVersion(t, version)
	}
	l.stopAndVerify(t)
}

func testAnswerLost(t *testing.T, s *deployment) {
	is := is.New(t)
	tried := s.tryDocument(t, s.nodes[0], s.document(20))
	body := fmt.Sprintf(`{"digest":%q,"replaces":%.0f}`, tried["digest"], tried["version"])
	before := tried["version"].(float64)
	control(t, s.platform, `{"lose_writes":1}`)
	got := s.command(s.nodes[0], http.MethodPost, promotePath, body, "lost-1")
	is.Equal(got.status, http.StatusOK) // the node read the outcome back
	var left struct {
		LoseWrites int `json:"lose_writes"`
	}
	decode(t, "http://"+s.platform+"/control", &left)
	is.Equal(left.LoseWrites, 0)          // the fault was consumed
	is.Equal(versionOf(t, got), before+1) // applied once
	again := s.command(s.nodes[1], http.MethodPost, promotePath, body, "lost-1")
	is.Equal(again.status, http.StatusOK)
	is.Equal(versionOf(t, again), before+1) // a repeat returns the first outcome
	s.waitVersion(t, before+1)
}

func testDataCentreOut(t *testing.T, s *deployment) {
	is := is.New(t)
	l := startLoad(t, s.nodes...)
	start := s.runCount(t, 1)
	eventually(t, "the data centre gets requests", func() bool { return s.runCount(t, 1) > start })
	commanded := time.Now()
	s.mustCLI(t, s.nodes[0], "dc", "out", "dc-b")
	time.Sleep(noNewRequestsAfter - time.Since(commanded))
	out, elsewhere := s.runCount(t, 1), s.runCount(t, 0)
	time.Sleep(observationTime)
	is.Equal(s.runCount(t, 1), out)       // no new request there
	is.True(s.runCount(t, 0) > elsewhere) // the other data centre serves the load
	s.mustCLI(t, s.nodes[1], "dc", "in", "dc-b")
	eventually(t, "the data centre gets requests again", func() bool { return s.runCount(t, 1) > out })
	l.stopAndVerify(t)
}

func testNodeKilled(t *testing.T, s *deployment) {
	killed := s.nodes[2]
	others := []*node{s.nodes[0], s.nodes[1], s.nodes[3]}
	l := startLoad(t, others...)
	killed.signal(t, syscall.SIGKILL)
	s.waitPeer(t, s.nodes[0], "entry-c", "dead")
	l.stopAndVerify(t)
	s.nodes = others
	s.promote(t, s.document(30)) // in force at the remaining nodes
}

// TestDataCentreOutOfServiceWhileANodeIsPaused checks that calls which wait in the
// paused node's sockets don't go to a data centre that was taken out of service meanwhile.
func TestDataCentreOutOfServiceWhileANodeIsPaused(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	s.promote(t, s.document(1))
	paused := s.nodes[1]
	l := startLoad(t, s.nodes...)
	eventually(t, "the data centre gets requests", func() bool { return s.runCount(t, 1) > 0 })
	paused.signal(t, syscall.SIGSTOP)
	defer func() { _ = paused.command.Process.Signal(syscall.SIGCONT) }()
	waiting := make([]reply, 8)
	var group sync.WaitGroup
	for i := range waiting {
		group.Go(func() { waiting[i] = paused.complete(fmt.Sprintf("waits %d", i), 2) })
	}
	commanded := time.Now()
	s.mustCLI(t, s.nodes[0], "dc", "out", "dc-b")
	time.Sleep(noNewRequestsAfter + time.Second - time.Since(commanded))
	out := s.runCount(t, 1)
	paused.signal(t, syscall.SIGCONT)
	group.Wait()
	time.Sleep(observationTime)
	is.Equal(s.runCount(t, 1), out) // no new request there
	for _, got := range waiting {
		is.Equal(got.status, http.StatusOK) // served by the other data centre
	}
	l.stopAndVerify(t)
}

const promotePath = "/admin/v1/environments/works/promote"

// command sends an operator command with a command id.
func (s *deployment) command(n *node, method, path, body, id string) reply {
	return call(context.Background(), method, "http://"+n.operatorAddress+path, body,
		map[string]string{"Authorization": "Bearer " + operatorToken, "X-Command-ID": id})
}

// tryDocument puts an environment document in the trial lane and returns the outcome.
func (s *deployment) tryDocument(t *testing.T, n *node, document string) map[string]any {
	t.Helper()
	file := filepath.Join(t.TempDir(), "document.yaml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return s.mustCLI(t, n, "env", "try", file)
}

func (s *deployment) version(t *testing.T, n *node) float64 {
	t.Helper()
	return s.mustCLI(t, n, "status")["version"].(float64)
}

// waitPeer waits until a node's status reports a peer in the given state.
func (s *deployment) waitPeer(t *testing.T, n *node, name, state string) {
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

// refusal is the error of a refused operator command.
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
