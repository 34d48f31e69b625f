package wigeontiller

import (
	"strings"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/admin"
	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/tables"
)

// firstShareTime is how long a node with a site in force waits for its first
// shares before it is ready without.
const firstShareTime = 5 * time.Second

// firstShares tells whether a node has had shares since its first site. It is
// safe for concurrent use; its mutex is a leaf.
type firstShares struct {
	mutex sync.Mutex
	// since is when the first site came into force, or zero.
	since     time.Time
	upstreams int
	had       bool
	shares    admin.Shares
}

func (f *firstShares) configure(now time.Time, built *tables.Tables) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.since.IsZero() {
		f.since = now
	}
	f.upstreams = len(built.Upstreams)
}

func (f *firstShares) set(shares map[string]budget.Share) {
	counted := admin.Shares{}
	for name, share := range shares {
		switch {
		case strings.HasPrefix(name, organisationPrefix):
		case share.Standby:
			counted.Standby++
		default:
			counted.Kept++
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	counted.Without = max(f.upstreams-counted.Kept-counted.Standby, 0)
	f.shares = counted
	f.had = f.had || counted.Kept > 0
}

// settled reports whether readiness need not wait. Before a site is known to
// budgets it does.
func (f *firstShares) settled(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.since.IsZero() {
		return false
	}
	return f.had || f.upstreams == 0 || now.Sub(f.since) >= firstShareTime
}

func (f *firstShares) status() admin.Shares {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.shares
}
