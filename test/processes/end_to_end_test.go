package processes

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

func TestRequestsEndToEnd(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	s.promote(t, s.document(1))
	for _, n := range s.nodes {
		got := n.complete("Which hollow for a goalie?", 4)
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
		is.True(strings.HasSuffix(got.body, "data: [DONE]\n\n")) // the answer is complete
		is.Equal(strings.Count(got.body, `"content"`), 4)        // one event per token
		got = call(context.Background(), http.MethodGet, "http://"+n.callerAddress+"/services/bookings/slots?day=1", "", nil)
		is.Equal(got.status, http.StatusOK)
		is.True(strings.Contains(got.body, `"path":"/slots?day=1"`))
		got = call(context.Background(), http.MethodGet, "http://"+n.callerAddress+"/services/bookings/slots", "", map[string]string{"Authorization": "Bearer wrong"})
		is.Equal(got.status, http.StatusUnauthorized)
		is.True(strings.Contains(got.body, `"execution":"not_run"`))
	}
	for _, n := range s.nodes {
		is.Equal(children(t, n.process), "") // the daemon starts no child process
	}
	version := s.mustCLI(t, s.nodes[1], "env", "withdraw", "works")["version"]
	s.waitVersion(t, version)
	for _, n := range s.nodes {
		is.Equal(n.complete("Anyone there?", 4).status, http.StatusUnauthorized)
	}
}

func TestGracefulShutdownFinishesAllRequests(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	s.promote(t, s.document(1))
	const calls = 40
	replies := make([]reply, calls)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { replies[i] = s.nodes[i%2].complete(fmt.Sprintf("prompt %d", i), 200) })
	}
	eventually(t, "all streams run", func() bool {
		running := 0.0
		for _, n := range s.nodes {
			status := s.mustCLI(t, n, "status")
			running += status["running"].(float64)
		}
		return running == calls
	})
	for _, n := range s.nodes {
		n.signal(t, syscall.SIGTERM)
	}
	group.Wait()
	for _, got := range replies {
		is.NoErr(got.err)
		is.True(strings.HasSuffix(got.body, "data: [DONE]\n\n")) // the stream is complete
	}
	for _, n := range s.nodes {
		n.waitExit(t)
		is.NoErr(n.err) // clean exit
	}
}

func TestDaemonIsLinkedToLibc(t *testing.T) {
	is := is.New(t)
	output, err := exec.Command("ldd", filepath.Join(programDirectory, "wigeontiller")).CombinedOutput()
	is.NoErr(err)
	is.True(strings.Contains(string(output), "libc.so"))
}

// children returns the process IDs of a process's children.
func children(t *testing.T, p *process) string {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", p.command.Process.Pid))
	if err != nil || len(files) == 0 {
		t.Fatal("no threads listed: ", err)
	}
	found := ""
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil {
			found += string(text)
		}
	}
	return found
}
