package edge

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// reportInterval is how often each engine is asked, by one node of the fleet.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds one question: some round trips between data centres.
	reportTimeout = 300 * time.Millisecond
)

// Reporter asks one engine for its report.
type Reporter interface {
	Report(ctx context.Context, upstream *fleet.Upstream) (placement.Report, error)
}

// reports asks the engines that fall to this node and notes what they say.
type reports struct {
	self     string
	reporter Reporter
	follower *follow.Follower
	gate     *exchange.SchedulerRunner
	// live names the nodes in touch, without this one.
	live func() []string
	// told lets the other nodes know.
	told   func()
	logger zerolog.Logger

	mutex sync.Mutex
	// failing holds the engines whose last question had no answer.
	failing map[string]bool
}

// askAll asks each engine that falls to this node once.
func (r *reports) askAll(ctx context.Context) {
	view := r.follower.Current()
	if view.Site == nil {
		return
	}
	nodes := r.live()
	var group sync.WaitGroup
	for _, entry := range view.Upstreams {
		service := view.Site.Services[entry.Service]
		if service != nil && service.Engine != nil && !view.ZonesOut[entry.Zone] && r.mine(entry.ID, nodes) {
			group.Go(func() { r.ask(ctx, entry) })
		}
	}
	group.Wait()
}

// mine reports whether the engine falls to this node among the live ones.
func (r *reports) mine(id string, nodes []string) bool {
	own := xxhash.Sum64String(r.self + "/" + id)
	for _, node := range nodes {
		if xxhash.Sum64String(node+"/"+id) > own {
			return false
		}
	}
	return true
}

func (r *reports) ask(ctx context.Context, entry *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := r.reporter.Report(ctx, entry)
	r.gate.Do(func(s *placement.Scheduler, now time.Duration) { s.Reported(now, entry.ID, report, err == nil) })
	r.told()
	r.mutex.Lock()
	was := r.failing[entry.ID]
	if err != nil {
		r.failing[entry.ID] = true
	} else {
		delete(r.failing, entry.ID)
	}
	r.mutex.Unlock()
	if err != nil && !was {
		r.logger.Warn().Err(err).Str("upstream", entry.ID).Msg(telemetry.LogUpstreamMute)
	}
	if err == nil && was {
		r.logger.Info().Str("upstream", entry.ID).Msg(telemetry.LogUpstreamMuteEnded)
	}
	r.logger.Debug().Str("upstream", entry.ID).Float64("pace", report.Pace).Int("queued", report.Queued).
		Int("active", report.Active).Int("memory", report.MemoryTokens).Msg("engine reported")
}
