package soak

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// restTimeout is how long engines and nodes may hold something after the
	// load: the streams of a dead node end by then.
	restTimeout = 30 * time.Second
	restPoll    = 100 * time.Millisecond
	// lastSamples is how long versions are sampled after the last command.
	lastSamples = inForceTime + 4*sampleInterval
)

// Run runs a plan and returns the record of what happened. It errs when the
// site can't be started or stopped, or the context ends.
func Run(ctx context.Context, plan *Plan, logger zerolog.Logger) (*Record, error) {
	markAll(plan.Arrivals)
	s, err := newSite(ctx, plan.Nodes, logger)
	if err != nil {
		return nil, errors.Join(err, s.stop())
	}
	r := &running{site: s, plan: plan, load: &load{site: s, plan: plan}, operators: newOperators(s)}
	r.injector = &injector{site: s, operators: r.operators}
	s.fleet.begin()
	var parts sync.WaitGroup
	parts.Go(func() { r.load.run(ctx) })
	parts.Go(func() { r.injector.run(ctx, plan.Faults) })
	parts.Wait()
	r.waitForVersions(ctx)
	record := &Record{Plan: plan}
	r.rest(ctx, record)
	for _, one := range s.fleet.live() {
		s.fleet.count(ctx, one)
	}
	err = errors.Join(ctx.Err(), s.stop())
	r.fill(record)
	return record, err
}

// running is the parts of a run.
type running struct {
	site      *site
	plan      *Plan
	load      *load
	injector  *injector
	operators *operators
}

// waitForVersions lets the last accepted version come into force.
func (r *running) waitForVersions(ctx context.Context) {
	if len(r.operators.accepted) == 0 {
		return
	}
	last := r.operators.accepted[len(r.operators.accepted)-1]
	pause(ctx, last.At+lastSamples-r.site.clock.now())
}

// rest waits until nothing is held, or time is up, and keeps what still is.
func (r *running) rest(ctx context.Context, record *Record) {
	end := time.Now().Add(restTimeout)
	for {
		record.Engines, record.Rests = nil, nil
		held := 0
		for _, one := range r.site.engines {
			load := one.server.Engine().Load()
			held += load.KVTokens + len(load.Streams)
			record.Engines = append(record.Engines, EngineRest{Engine: one.name, KVTokens: load.KVTokens, Streams: len(load.Streams)})
		}
		for _, one := range r.site.fleet.live() {
			status := one.node.Status(ctx)
			held += status.Waiting + status.Running
			record.Rests = append(record.Rests, NodeRest{Node: one.life.Name, Waiting: status.Waiting, Running: status.Running})
		}
		if held == 0 || time.Now().After(end) || ctx.Err() != nil {
			return
		}
		pause(ctx, restPoll)
	}
}

// fill puts what the parts saw into the record. The parts have ended.
func (r *running) fill(record *Record) {
	record.Sends = r.load.sends
	record.Runs = map[string]int{}
	for _, one := range r.site.services {
		for name, count := range one.server.Runs() {
			record.Runs[name] += count
		}
	}
	for _, one := range r.site.standIns() {
		record.Seen = append(record.Seen, one.all()...)
	}
	for _, one := range r.site.fleet.all {
		record.Nodes = append(record.Nodes, &one.life)
	}
	record.Versions = r.site.fleet.versions
	record.Counters = r.site.fleet.counters
	record.Accepted = r.operators.accepted
	record.Promotions = r.operators.promotions
	record.Outs = r.injector.outs
	record.Faults = r.injector.outcomes
}
