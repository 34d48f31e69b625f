package processes

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longAlone is longer than a node goes on without hearing anybody.
const longAlone = 6 * time.Second

// TestNodeThatHearsNobodySendsNothing leaves a node without its peer and then
// without the store: it can't know of a data centre taken out meanwhile.
func TestNodeThatHearsNobodySendsNothing(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	s.promote(t, s.document(1))
	n, other := s.nodes[0], s.nodes[1]
	is.Equal(n.complete("Both here?", 2).status, http.StatusOK)
	other.signal(t, syscall.SIGKILL)
	other.waitExit(t)
	time.Sleep(longAlone)
	is.Equal(n.complete("Only the store?", 2).status, http.StatusOK) // the store is enough
	control(t, s.platform, `{"down":true}`)
	var refused reply
	eventually(t, "the node refuses", func() bool {
		refused = n.complete("Nobody?", 2)
		return refused.status == http.StatusServiceUnavailable
	})
	is.True(strings.Contains(refused.body, `"code":"not_ready"`))
	is.True(strings.Contains(refused.body, `"execution":"not_run"`))
	is.True(!strings.Contains(refused.body, `"retry_after_ms":0`)) // says when to come back
	before := s.work(t, 0) + s.work(t, 1)
	is.Equal(n.complete("Still nobody?", 2).status, http.StatusServiceUnavailable)
	is.Equal(s.work(t, 0)+s.work(t, 1), before)
	control(t, s.platform, `{}`)
	eventually(t, "the node serves again", func() bool { return n.complete("Back?", 2).status == http.StatusOK })
}
