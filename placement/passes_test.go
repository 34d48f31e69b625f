package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// near reports whether two times in ms differ by less than 0.01 ms.
func near(a, b float64) bool { return math.Abs(a-b) < 0.01 }

func TestIdleEnginePrefillsAtOnce(t *testing.T) {
	is := is.New(t)
	var p passTimeline
	idle := passModel{baseMs: 44, speedFactor: 1}
	is.True(near(p.msUntilPrefilled(0, 30, idle), 30))
	p.add(100*ms, 30, idle)
	is.True(near(p.backlogMs(100*ms, idle), 30))
	p.advance(120*ms, idle)
	is.True(near(p.backlogMs(120*ms, idle), 10))
	p.advance(131*ms, idle)
	is.True(near(p.backlogMs(131*ms, idle), 0))
}

func TestChunksThatArriveInOnePassArePrefilledInTheNext(t *testing.T) {
	is := is.New(t)
	decoding := passModel{baseMs: 40, speedFactor: 1, decoding: true}
	p := passTimeline{passEnd: 40 * ms}
	p.add(10*ms, 60, decoding)
	p.add(30*ms, 80, decoding)
	is.True(near(p.msUntilPrefilled(30*ms, 20, decoding), 10+40+60+80+20))
	p.advance(41*ms, decoding) // the next pass, which ends at 40 + 40 + 140 ms
	p.add(50*ms, 100, decoding)
	is.True(near(p.msUntilPrefilled(50*ms, 0, decoding), 170+40+100))
	is.True(near(p.backlogMs(50*ms, decoding), 240))
	p.advance(221*ms, decoding)
	is.Equal(p.pendingMs, 0.0)
	is.True(near(p.backlogMs(221*ms, decoding), 100))
}

func TestSpeedFactorMultipliesPassTime(t *testing.T) {
	is := is.New(t)
	slow := passModel{baseMs: 40, speedFactor: 3, decoding: true}
	p := passTimeline{passEnd: 3 * 40 * ms}
	p.add(0, 10, slow)
	is.True(near(p.msUntilPrefilled(0, 0, slow), 3*(40+40+10)))
}

func TestAddOfNegativeTimeShortensTheRunningPass(t *testing.T) {
	is := is.New(t)
	decoding := passModel{baseMs: 40, speedFactor: 1, decoding: true}
	p := passTimeline{passEnd: 40 * ms}
	p.add(0, 100, decoding)
	p.advance(50*ms, decoding)
	p.add(50*ms, 30, decoding)
	p.add(50*ms, -60, decoding) // 30 ms of the next pass, 30 ms of the running one
	is.Equal(p.pendingMs, 0.0)
	is.Equal(p.passEnd, 150*ms)
}

func TestSetBacklogOnlyShortensTheBacklog(t *testing.T) {
	is := is.New(t)
	decoding := passModel{baseMs: 40, speedFactor: 1, decoding: true}
	p := passTimeline{passEnd: 40 * ms}
	p.add(0, 300, decoding)
	p.setBacklog(50*ms, 20, decoding) // earlier than estimated: a pass ended now
	is.True(near(p.msUntilPrefilled(50*ms, 0, decoding), 60+40))
	p.setBacklog(51*ms, 500, decoding) // more than the estimate changes nothing
	is.True(near(p.msUntilPrefilled(51*ms, 0, decoding), 59+40))
}

// In any order of calls, the remaining time is never negative and all prefill that was
// added is done in the end.
func TestPassTimelineInAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p passTimeline
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "elapsed")) * ms
			next := passModel{
				baseMs: rapid.Float64Range(0, 90).Draw(t, "base"), speedFactor: rapid.Float64Range(1, 5).Draw(t, "speed factor"),
				decoding: rapid.Bool().Draw(t, "decoding"),
			}
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				p.add(now, rapid.Float64Range(-300, 300).Draw(t, "ms"), next)
			case 1:
				p.setBacklog(now, rapid.Float64Range(0, 300).Draw(t, "remaining"), next)
			case 2:
				p.advance(now, next)
			}
			if p.pendingMs < 0 || p.runningMs < -1e-6 || p.backlogMs(now, next) < 0 || p.msUntilPrefilled(now, 0, next) < 0 || p.passEnd < now {
				t.Fatalf("negative time left or pass end in the past, at %v: %+v", now, p)
			}
		}
		p.advance(now+time.Hour, passModel{baseMs: 40, speedFactor: 1, decoding: true})
		if p.pendingMs != 0 || p.runningMs != 0 {
			t.Fatalf("prefill left after an hour: %+v", p)
		}
	})
}
