package wigeontiller

import (
	"strings"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/admin"
	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/tables"
)

// firstShareTimeout is how long a node with a site in force waits for its first
// shares before it becomes ready without them.
const firstShareTimeout = 5 * time.Second

// firstShares tracks whether a node has received shares since its first site came
// into force, and counts them. It is safe for concurrent use; its mutex is a leaf.
type firstShares struct {
	mutex sync.Mutex
	// firstSiteAt is when the first site came into force, or zero.
	firstSiteAt time.Time
	upstreams   int
	granted     bool
	shares      admin.Shares
}

func (f *firstShares) configure(now time.Time, current *tables.Tables) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.firstSiteAt.IsZero() {
		f.firstSiteAt = now
	}
	f.upstreams = len(current.Upstreams)
}

func (f *firstShares) set(shares map[string]budget.Share) {
	counts := admin.Shares{}
	for name, share := range shares {
		switch {
		case strings.HasPrefix(name, organisationPrefix):
		case share.Standby:
			counts.Standby++
		default:
			counts.Granted++
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	counts.Without = max(f.upstreams-counts.Granted-counts.Standby, 0)
	f.shares = counts
	f.granted = f.granted || counts.Granted > 0
}

// ready reports whether the node may become ready. It is false until the first
// tables are configured.
func (f *firstShares) ready(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.firstSiteAt.IsZero() {
		return false
	}
	return f.granted || f.upstreams == 0 || now.Sub(f.firstSiteAt) >= firstShareTimeout
}

func (f *firstShares) status() admin.Shares {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.shares
}
