package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/standin/fault"
)

const (
	slowStoreMS   = 400
	slowServiceMS = 700
	lateReportMS  = 1_500
	// lostAnswers and brokenStreams are how many are lost or broken at most.
	lostAnswers   = 20
	brokenStreams = 10
	// promotionPause is the time between two races.
	promotionPause = 500 * time.Millisecond
)

// injector shows the faults of a plan. The mutex guards the fields below it.
type injector struct {
	site      *site
	operators *operators

	mutex    sync.Mutex
	outs     []OutWindow
	outcomes []FaultOutcome
}

// run shows each fault at its time and returns when all have ended.
func (i *injector) run(ctx context.Context, faults []Fault) {
	var showing sync.WaitGroup
	for _, planned := range faults {
		showing.Go(func() {
			pause(ctx, planned.At-i.site.clock.now())
			if ctx.Err() != nil {
				return
			}
			shown := FaultOutcome{Fault: planned, Began: i.site.clock.now()}
			shown.Outcome = i.show(ctx, planned)
			shown.Ended = i.site.clock.now()
			i.mutex.Lock()
			defer i.mutex.Unlock()
			i.outcomes = append(i.outcomes, shown)
		})
	}
	showing.Wait()
}

// show shows one fault and returns what came of it.
func (i *injector) show(ctx context.Context, planned Fault) string {
	switch planned.Kind {
	case NodeClosed:
		return i.replaceNode(ctx, planned, i.site.fleet.close)
	case NodeShutDown:
		return i.replaceNode(ctx, planned, i.site.fleet.shutDown)
	case EngineCrash, EngineColdStart:
		return i.crash(ctx, planned)
	case EngineLeaving:
		return i.leave(ctx, planned)
	case EngineMemorySmall, EngineMemoryFull:
		return i.fill(ctx, planned)
	case ServiceRefusing:
		return i.refuse(ctx, planned)
	case DataCentreOut:
		return i.takeOut(ctx, planned, "datacentres", OutWindow{DataCentre: dataCentre(planned.Target)})
	case VMOut:
		return i.takeOut(ctx, planned, "vms", OutWindow{VM: i.site.engines[planned.Target].vm})
	case RacingPromotions:
		return i.race(ctx, planned)
	case StoreDown, StoreSlow, StoreLosesAnswers, StreamsCut, StreamsBroken, LateReports, ServiceDown, ServiceSlow, ServiceLosesAnswers:
	}
	return i.turnKnob(ctx, planned)
}

// knobOf says whose knobs a fault turns, and how; a change back to the zero
// value ends it.
func (i *injector) knobOf(planned Fault) (*knobs, func(k *fault.Knobs, on bool)) {
	switch planned.Kind {
	case StoreDown:
		return i.site.store, func(k *fault.Knobs, on bool) { k.Down = on }
	case StoreSlow:
		return i.site.store, func(k *fault.Knobs, on bool) { k.DelayMS = valueIf(on, slowStoreMS) }
	case StoreLosesAnswers:
		return i.site.store, func(k *fault.Knobs, on bool) { k.LoseWrites = valueIf(on, lostAnswers) }
	case StreamsCut:
		return i.site.engines[planned.Target].control, func(k *fault.Knobs, on bool) { k.CutStreams = valueIf(on, brokenStreams) }
	case StreamsBroken:
		return i.site.engines[planned.Target].control, func(k *fault.Knobs, on bool) { k.BreakStreams = valueIf(on, brokenStreams) }
	case LateReports:
		return i.site.engines[planned.Target].control, func(k *fault.Knobs, on bool) { k.LoadLagMS = valueIf(on, lateReportMS) }
	case ServiceDown:
		return i.site.services[planned.Target].control, func(k *fault.Knobs, on bool) { k.Down = on }
	case ServiceSlow:
		return i.site.services[planned.Target].control, func(k *fault.Knobs, on bool) { k.DelayMS = valueIf(on, slowServiceMS) }
	default:
		return i.site.services[planned.Target].control, func(k *fault.Knobs, on bool) { k.LoseAnswers = valueIf(on, lostAnswers) }
	}
}

func valueIf(on bool, value int) int {
	if on {
		return value
	}
	return 0
}

func (i *injector) turnKnob(ctx context.Context, planned Fault) string {
	control, turn := i.knobOf(planned)
	control.set(func(k *fault.Knobs) { turn(k, true) })
	pause(ctx, planned.For)
	left := control.control.Knobs()
	control.set(func(k *fault.Knobs) { turn(k, false) })
	switch planned.Kind {
	case StoreLosesAnswers:
		return fmt.Sprintf("%d answers lost", lostAnswers-left.LoseWrites)
	case ServiceLosesAnswers:
		return fmt.Sprintf("%d answers lost", lostAnswers-left.LoseAnswers)
	case StreamsCut:
		return fmt.Sprintf("%d streams cut", brokenStreams-left.CutStreams)
	case StreamsBroken:
		return fmt.Sprintf("%d streams broken", brokenStreams-left.BreakStreams)
	}
	return shownOutcome
}

const shownOutcome = "shown"

// replaceNode ends the node at a place and starts another when the fault ends.
func (i *injector) replaceNode(ctx context.Context, planned Fault, end func(context.Context, int) error) string {
	before := i.site.clock.now()
	if err := end(ctx, planned.Target); err != nil {
		return "not ended: " + err.Error()
	}
	taken := i.site.clock.now() - before
	pause(ctx, planned.For-taken)
	before = i.site.clock.now()
	if err := i.site.fleet.restart(ctx, planned.Target, planned.Detail); err != nil {
		return "not restarted: " + err.Error()
	}
	ready := i.site.clock.now() - before
	return fmt.Sprintf("ended in %v, %s ready in %v", taken.Round(time.Millisecond), i.site.fleet.at(planned.Target).life.Name, ready.Round(time.Millisecond))
}

func (i *injector) crash(ctx context.Context, planned Fault) string {
	cold := time.Duration(0)
	if planned.Kind == EngineColdStart {
		cold = planned.For
	}
	crashed := i.site.engines[planned.Target].server.Engine()
	lost := len(crashed.Load().Streams)
	crashed.Crash(cold)
	pause(ctx, planned.For)
	return fmt.Sprintf("%d streams lost", lost)
}

func (i *injector) leave(ctx context.Context, planned Fault) string {
	leaving := i.site.engines[planned.Target]
	window := OutWindow{Upstream: leaving.name, From: i.site.clock.now()}
	leaving.control.set(func(k *fault.Knobs) { k.Draining = true })
	pause(ctx, planned.For)
	window.Until = i.site.clock.now()
	leaving.control.set(func(k *fault.Knobs) { k.Draining = false })
	i.keepOut(window)
	return shownOutcome
}

func (i *injector) refuse(ctx context.Context, planned Fault) string {
	refusing := i.site.services[planned.Target]
	refusing.refusing.Store(true)
	pause(ctx, planned.For)
	refusing.refusing.Store(false)
	return shownOutcome
}

// takeOut takes something out and brings it back. The window begins with the
// answer to the one command and ends when the other is sent.
func (i *injector) takeOut(ctx context.Context, planned Fault, kind string, window OutWindow) string {
	began := i.site.clock.now()
	name := window.DataCentre + window.VM
	err := i.operators.setState(ctx, kind, name, "out", planned.For)
	window.From = i.site.clock.now()
	pause(ctx, planned.For-(window.From-began))
	window.Until = i.site.clock.now()
	if err == nil {
		i.keepOut(window)
	}
	if back := i.operators.setState(ctx, kind, name, "in", commandPatience); back != nil {
		return "not brought back: " + back.Error()
	}
	if err != nil {
		return "not taken out: " + err.Error()
	}
	return fmt.Sprintf("out for %v", (window.Until - window.From).Round(time.Millisecond))
}

func (i *injector) keepOut(window OutWindow) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.outs = append(i.outs, window)
}

func (i *injector) race(ctx context.Context, planned Fault) string {
	end := i.site.clock.now() + planned.For
	races, last := 0, ""
	for i.site.clock.now() < end {
		last = i.operators.race(ctx, i.site, end-i.site.clock.now())
		races++
		pause(ctx, promotionPause)
	}
	return fmt.Sprintf("%d races, the last: %s", races, last)
}
