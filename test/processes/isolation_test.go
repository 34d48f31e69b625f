package processes

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// isolationWait exceeds the time that a node serves without contact to any peer.
const isolationWait = 6 * time.Second

// TestIsolatedNodeSendsNothingUpstream takes a node's peer away and then the store.
// Without both, it would miss that a data centre was taken out of service.
func TestIsolatedNodeSendsNothingUpstream(t *testing.T) {
	is := is.New(t)
	s := startDeployment(t)
	s.promote(t, s.document(1))
	n, other := s.nodes[0], s.nodes[1]
	is.Equal(n.complete("Both here?", 2).status, http.StatusOK)
	other.signal(t, syscall.SIGKILL)
	other.waitExit(t)
	time.Sleep(isolationWait)
	is.Equal(n.complete("Only the store?", 2).status, http.StatusOK) // contact to the store suffices
	control(t, s.platform, `{"down":true}`)
	var refused reply
	eventually(t, "the node rejects requests", func() bool {
		refused = n.complete("Nobody?", 2)
		return refused.status == http.StatusServiceUnavailable
	})
	is.True(strings.Contains(refused.body, `"code":"not_ready"`))
	is.True(strings.Contains(refused.body, `"execution":"not_run"`))
	is.True(!strings.Contains(refused.body, `"retry_after_ms":0`)) // tells the caller when to retry
	before := s.runCount(t, 0) + s.runCount(t, 1)
	is.Equal(n.complete("Still nobody?", 2).status, http.StatusServiceUnavailable)
	is.Equal(s.runCount(t, 0)+s.runCount(t, 1), before)
	control(t, s.platform, `{}`)
	eventually(t, "the node serves again", func() bool { return n.complete("Back?", 2).status == http.StatusOK })
}
