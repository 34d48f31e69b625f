package edge

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// reportInterval is how often each engine is polled, by one node of the fleet.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds one poll: several round trips between data centres.
	reportTimeout = 300 * time.Millisecond
)

// ReportFetcher requests load reports from engines.
type ReportFetcher interface {
	Report(ctx context.Context, upstream *fleet.Upstream) (placement.Report, error)
}

// reportPoller polls the engines that are assigned to this node by rendezvous hashing and
// passes their reports to the scheduler.
type reportPoller struct {
	fetcher  ReportFetcher
	follower *follow.Follower
	gate     *exchange.SchedulerRunner
	// isOwner reports whether this node polls an upstream of a zone.
	isOwner func(id, zone string) bool
	// notifyPeers schedules a broadcast of the changed load to the peers.
	notifyPeers func()
	logger      zerolog.Logger
	metrics     *telemetry.Metrics

	mutex sync.Mutex
	// failing holds the IDs of the engines whose last poll failed.
	failing map[string]bool
}

// pollAll polls each engine that is assigned to this node once.
func (r *reportPoller) pollAll(ctx context.Context) {
	view := r.follower.Current()
	if view.Configuration == nil {
		return
	}
	var group sync.WaitGroup
	for _, entry := range view.Upstreams {
		service := view.Configuration.Services[entry.Service]
		if service != nil && service.Engine != nil && !view.ZonesOutOfService[entry.Zone] && r.isOwner(entry.ID, entry.Zone) {
			group.Go(func() { r.poll(ctx, entry) })
		}
	}
	group.Wait()
}

func (r *reportPoller) poll(ctx context.Context, entry *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	allowed := true
	r.gate.Do(func(s *placement.Scheduler, now time.Duration) { allowed = s.AllowPoll(now, entry.ID) })
	if !allowed {
		return
	}
	r.metrics.Count("wigeontiller_reports_requested_total", 1)
	report, err := r.fetcher.Report(ctx, entry)
	limitChanged := false
	r.gate.Do(func(s *placement.Scheduler, now time.Duration) {
		before := s.Limited(entry.ID)
		s.ApplyReport(now, entry.ID, report, err == nil)
		limitChanged = s.Limited(entry.ID) != before
	})
	if limitChanged {
		r.logger.Info().Str("upstream", entry.ID).Str("source", "report").Bool("stated", report.Limit.Stated).
			Float64("requests_per_second", report.Limit.PerSecond).Msg(telemetry.LogLimitStated)
	}
	r.notifyPeers()
	r.mutex.Lock()
	wasFailing := r.failing[entry.ID]
	if err != nil {
		r.failing[entry.ID] = true
	} else {
		delete(r.failing, entry.ID)
	}
	r.mutex.Unlock()
	if err != nil && !wasFailing {
		r.logger.Warn().Err(err).Str("upstream", entry.ID).Msg(telemetry.LogReportFailed)
	}
	if err == nil && wasFailing {
		r.logger.Info().Str("upstream", entry.ID).Msg(telemetry.LogReportRecovered)
	}
	r.logger.Debug().Str("upstream", entry.ID).Float64("pace", report.SpeedFactor).Int("queued", report.Queued).
		Int("active", report.Active).Int("memory", report.MemoryTokens).Msg("engine reported")
}
