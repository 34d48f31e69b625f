package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// repeatPause is the wait before a keyed booking is sent again, and
	// mostRepeats how often it is.
	repeatPause = 300 * time.Millisecond
	mostRepeats = 3
)

// load sends the arrivals of a plan. The mutex guards sends.
type load struct {
	site *site
	plan *Plan

	mutex sync.Mutex
	sends []*Send
}

// run sends each arrival at its time and returns when all have ended.
func (l *load) run(ctx context.Context) {
	var calls sync.WaitGroup
	for number := range l.plan.Arrivals {
		arrival := &l.plan.Arrivals[number]
		pause(ctx, arrival.At-l.site.clock.now())
		if ctx.Err() != nil {
			break
		}
		for twin := range arrival.Twins {
			calls.Go(func() { l.call(ctx, arrival, twin) })
		}
	}
	calls.Wait()
}

// call sends an arrival, and a keyed booking again while its outcome is open.
func (l *load) call(ctx context.Context, arrival *Arrival, twin int) {
	for try := range mostRepeats + 1 {
		nodes := l.site.fleet.rotation()
		if len(nodes) == 0 || ctx.Err() != nil {
			return
		}
		chosen := nodes[(int(arrival.Choice)+twin+try)%len(nodes)]
		id := fmt.Sprintf("soak-%d-%d-%d-%d", l.plan.Seed, arrival.Serial, twin, try)
		sent := send(l.site.clock, arrival, id, chosen)
		l.keep(sent)
		if sent.mayResume() {
			l.goOn(sent, chosen)
		}
		if !sent.mayRepeat() {
			return
		}
		pause(ctx, repeatPause)
	}
}

// goOn asks another process for the rest of a stream.
func (l *load) goOn(cut *Send, from *process) {
	for _, other := range l.site.fleet.live() {
		if other != from {
			l.keep(goOn(l.site.clock, cut, other))
			return
		}
	}
}

func (l *load) keep(sent *Send) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sends = append(l.sends, sent)
}
