package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/fleet"
)

// dividedLoad is a load whose longest prompts do not fit between two events of a stream, in requests a
// second for 78 engines.
type dividedLoad struct {
	name                    string
	model                   fleet.Engine
	short, middle, long     float64
	longTokens, mostTokens  float64
	pause, middlePause      time.Duration
	longAim, longPauseLimit time.Duration
}

// longAimOfOneEngine is a load whose longest prompts one engine reads in time, shortAimOfThree one where
// that takes two or three: both have 95 to 117 short prompts a second beside them.
var longAimOfOneEngine = dividedLoad{
	name: "one engine a prompt",
	model: fleet.Engine{
		Slots: 12, MemoryTokens: 315_000, StepMs: 0.85, StepMsPerStream: 0.00425, StepMsPerContextK: 0.00285,
		PrefillTokensPerMs: 177, AttentionMsPerMPairs: 0.184, MaxPrefillTokensPerStep: 2048, StepsPerPass: 57, JointStepMs: 0.05,
	},
	short: 94.6, middle: 10.4, long: 1.97, longTokens: 220_000, mostTokens: 310_000,
	pause: 250 * time.Millisecond, middlePause: 600 * time.Millisecond, longAim: 8 * time.Second, longPauseLimit: time.Second,
}

var shortAimOfThree = dividedLoad{
	name: "three engines a prompt",
	model: fleet.Engine{
		Slots: 12, MemoryTokens: 450_000, StepMs: 0.925, StepMsPerStream: 0.00483, StepMsPerContextK: 0.00254,
		PrefillTokensPerMs: 256, AttentionMsPerMPairs: 0.0917, MaxPrefillTokensPerStep: 2048, StepsPerPass: 52, JointStepMs: 0.1,
	},
	short: 117, middle: 10.7, long: 2.44, longTokens: 300_000, mostTokens: 440_000,
	pause: 200 * time.Millisecond, middlePause: 500 * time.Millisecond, longAim: 4 * time.Second, longPauseLimit: 800 * time.Millisecond,
}

// play plays the load on a number of engines, with its rates in proportion, the longest prompts times a
// factor.
func (d *dividedLoad) play(engines int, longFactor float64, seed uint64) *longPoolLoad {
	end := 10 * time.Second
	if engines > 100 {
		end = 2 * time.Second
	}
	l := d.prepare(engines, seed)
	d.arrive(l, 1, longFactor, end)
	l.run(end + 20*time.Second)
	return l
}

func (d *dividedLoad) arrive(l *longPoolLoad, shortFactor, longFactor float64, end time.Duration) {
	scale := float64(l.engines) / 78
	l.arrive(d.short*scale*shortFactor, end, 300*time.Millisecond, func() int { return l.length(4960, 0.9, 23_800) })
	l.arrive(d.middle*scale, end, 1500*time.Millisecond, func() int { return l.length(45_000, 0.5, 110_000) })
	l.arrive(d.long*scale*longFactor, end, d.longAim, func() int { return l.length(d.longTokens, 0.55, d.mostTokens) })
}

func (d *dividedLoad) prepare(engines int, seed uint64) *longPoolLoad {
	return newLongPoolLoad(simulatedSite{engines: engines, nodes: min(40, max(6, engines/3)), model: &d.model, pauseTarget: d.pause, steps: true}, seed)
}

// meanShares returns the mean shares of several plays on small fleets, which have few of the longest prompts.
func (d *dividedLoad) meanShares(engines int, longFactor float64) [3]float64 {
	plays := max(1, 160/engines)
	var mean [3]float64
	for seed := range uint64(plays) {
		for i, share := range d.shares(d.play(engines, longFactor, seed)) {
			mean[i] += share / float64(plays)
		}
	}
	return mean
}

// shares returns the shares of the short, middle and longest prompts in aim.
func (d *dividedLoad) shares(l *longPoolLoad) [3]float64 {
	return [3]float64{l.onTime(300*time.Millisecond, d.pause), l.onTime(1500*time.Millisecond, d.middlePause), l.onTime(d.longAim, d.longPauseLimit)}
}

// TestDivisionKeepsShortStreamsSmoothWhileLongestPromptsAreRead plays the loads on fleets of three sizes.
// The bounds are the users' targets: short prompts late in under 5 in 100 on a day without trouble, the
// longest served at least three quarters as often. Without the division 0.77 to 0.95 of the short prompts
// are in aim.
func TestDivisionKeepsShortStreamsSmoothWhileLongestPromptsAreRead(t *testing.T) {
	for _, d := range []*dividedLoad{&longAimOfOneEngine, &shortAimOfThree} {
		for _, engines := range []int{40, 78, 295} {
			t.Run(fmt.Sprintf("%s/%d engines", d.name, engines), func(t *testing.T) {
				got := d.meanShares(engines, 1)
				t.Logf("in aim: %.3f of the short, %.3f of the middle, %.3f of the longest", got[0], got[1], got[2])
				if got[0] < 0.95 || got[1] < 0.95 || got[2] < 0.75 {
					t.Error("too few in aim")
				}
			})
		}
	}
}

// TestDivisionInABurstOfLongestPrompts plays twice the rate of the longest prompts: the short ones keep
// the users' target for days with trouble, late in under 15 in 100.
func TestDivisionInABurstOfLongestPrompts(t *testing.T) {
	for _, d := range []*dividedLoad{&longAimOfOneEngine, &shortAimOfThree} {
		got := d.meanShares(78, 2)
		t.Logf("%s: in aim: %.3f of the short, %.3f of the middle, %.3f of the longest", d.name, got[0], got[1], got[2])
		if got[0] < 0.85 || got[1] < 0.85 || got[2] < 0.75*0.85 {
			t.Errorf("%s: too few in aim", d.name)
		}
	}
}

// TestDivisionWhenTheFleetHalves takes every second engine out of service during the play. Within a second
// the others are divided anew, so that the short prompts that come later keep the users' target.
func TestDivisionWhenTheFleetHalves(t *testing.T) {
	const halvedAt, end = 8 * time.Second, 16 * time.Second
	for _, d := range []*dividedLoad{&longAimOfOneEngine, &shortAimOfThree} {
		l := d.prepare(78, 1)
		d.arrive(l, 1, 1, end)
		l.at(halvedAt, func(time.Duration) { l.keepInService(39) })
		l.run(end + 20*time.Second)
		if good := l.onTimeFrom(halvedAt+time.Second, 300*time.Millisecond, d.pause); good < 0.85 {
			t.Errorf("%s: %.3f of the short prompts are in aim from a second after the fleet halved", d.name, good)
		} else {
			t.Logf("%s: %.3f of the short prompts are in aim from a second after the fleet halved", d.name, good)
		}
	}
}

// keepInService lets all but a number of the engines drain.
func (l *longPoolLoad) keepInService(engines int) {
	view := l.view
	view.Upstreams = map[string]*fleet.Upstream{}
	for i := range l.engines {
		entry := *l.view.Upstreams[fmt.Sprintf("e%d", i)]
		entry.Draining = i >= engines
		view.Upstreams[entry.ID] = &entry
	}
	for _, node := range l.nodes {
		node.UpdateView(view)
	}
}

// TestDivisionInABurstOfShortPrompts plays more streams than the front holds at first: they take engines of
// the back before they are late, and the longest prompts are still served.
func TestDivisionInABurstOfShortPrompts(t *testing.T) {
	for _, d := range []*dividedLoad{&longAimOfOneEngine, &shortAimOfThree} {
		l := d.prepare(78, 1)
		d.arrive(l, 2.5, 1, 12*time.Second)
		l.run(32 * time.Second)
		got := d.shares(l)
		t.Logf("%s: in aim: %.3f of the short, %.3f of the middle, %.3f of the longest", d.name, got[0], got[1], got[2])
		if got[0] < 0.85 || got[2] < 0.75*0.85 {
			t.Errorf("%s: too few in aim", d.name)
		}
	}
}

// TestServiceIsDividedOnlyWhereLongPartsDoNotFit takes the pass models of the users' sites.
func TestServiceIsDividedOnlyWhereLongPartsDoNotFit(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		model   *fleet.Engine
		pause   time.Duration
		divided bool
	}{
		{engine(), 250 * time.Millisecond, false},
		{largeEngine(), 250 * time.Millisecond, false},
		{&longAimOfOneEngine.model, longAimOfOneEngine.pause, true},
		{&shortAimOfThree.model, shortAimOfThree.pause, true},
		// Callers who tolerate long pauses need no division.
		{&shortAimOfThree.model, time.Second, false},
	} {
		l := newLongPoolLoad(simulatedSite{engines: 40, nodes: 1, model: c.model, pauseTarget: c.pause}, 1)
		is.Equal(l.nodes[0].divisionOf(0, l.view.Configuration.Services["llm"]) != nil, c.divided)
	}
}

// Nodes that know the same loads divide alike without a message.
func TestNodesDivideAlike(t *testing.T) {
	is := is.New(t)
	l := longAimOfOneEngine.play(40, 1, 1)
	now := time.Minute // long enough for what each heard at another time to decay
	service := l.view.Configuration.Services["llm"]
	first := l.nodes[0].divisionOf(now, service)
	is.True(first.counts.Front > 0 && first.counts.Back > 0)
	for _, node := range l.nodes {
		is.Equal(node.divisionOf(now, service).backStart, first.backStart)
		is.Equal(node.Divisions(), []Division{first.counts})
	}
}

// Short prompts may use all but few engines while there are no long ones. With the larger reserve at all
// times 0.68 instead of 0.84 of them were in aim in a burst that needs all slots.
func TestReserveFollowsTheLongestPrompts(t *testing.T) {
	is := is.New(t)
	l := longAimOfOneEngine.prepare(78, 1)
	node, service := l.nodes[0], l.view.Configuration.Services["llm"]
	reserved := func(now time.Duration) (count int) {
		d := node.divisionOf(now, service)
		for _, engine := range node.ordered {
			if engine.position() >= d.reservedStart {
				count++
			}
		}
		return count
	}
	is.Equal(reserved(time.Second), 4)
	for _, engine := range node.ordered[:30] {
		node.ApplyLoadUpdates(time.Second, "n1", []LoadUpdate{{Hash: engine.hash, Totals: Totals{Running: 1, MemoryTokens: 220_000}, AddedPrefillMs: 5000}}, false)
	}
	is.Equal(reserved(time.Second+divisionInterval), 12)
	// It outlasts them for some seconds: more come in a burst, and those without an engine do not show.
	for _, engine := range node.ordered[:30] {
		node.ApplyLoadUpdates(1500*time.Millisecond, "n1", []LoadUpdate{{Hash: engine.hash, AddedPrefillMs: -5000}}, false)
	}
	is.Equal(reserved(3*time.Second), 12)
	// A new version of the configuration changes nothing.
	configuration := *l.view.Configuration
	engine := *service.Engine
	service = &fleet.Service{Name: "llm", Engine: &engine}
	configuration.Services = map[string]*fleet.Service{"llm": service}
	view := l.view
	view.Configuration = &configuration
	node.UpdateView(view)
	is.Equal(reserved(3*time.Second), 12)
	is.Equal(reserved(3*time.Second+divisionInterval), 12)
	is.Equal(reserved(time.Minute), 4)
}

// With few engines, or few left, the longest prompts are placed beside streams: they would find no engine
// without.
func TestFewEnginesAreNotDivided(t *testing.T) {
	t.Run("small fleet", func(t *testing.T) { testLongPromptIsPlacedBesideStreams(t, longAimOfOneEngine.prepare(31, 1)) })
	t.Run("few in service", func(t *testing.T) {
		l := longAimOfOneEngine.prepare(40, 1)
		l.keepInService(3)
		testLongPromptIsPlacedBesideStreams(t, l)
	})
}

func testLongPromptIsPlacedBesideStreams(t *testing.T, l *longPoolLoad) {
	is := is.New(t)
	node, now := l.nodes[0], time.Second
	for _, engine := range node.ordered {
		node.ApplyLoadUpdates(now, "n1", []LoadUpdate{{Hash: engine.hash, Totals: Totals{Running: 1, MemoryTokens: 5_000}}}, false)
	}
	request := node.request(now, 220_000)
	request.AnswerDue, request.Deadline = now+8*time.Second, now+15*time.Second
	is.True(node.Submit(now, request).Lead != nil)
}

func TestDivisionWithoutEnginesInService(t *testing.T) {
	is := is.New(t)
	l := longAimOfOneEngine.prepare(40, 1)
	l.keepInService(0)
	is.Equal(l.nodes[0].divisionOf(time.Second, l.view.Configuration.Services["llm"]), nil)
	is.Equal(len(l.nodes[0].Divisions()), 0)
}
