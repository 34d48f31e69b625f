package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// DataCentres is how many data centres a site has, each with two engines and
	// a service. The number of entry nodes follows from the seed.
	DataCentres  = 3
	fewestNodes  = 3
	mostNodes    = 5
	engineCount  = 2 * DataCentres
	serviceCount = DataCentres

	// firstFault leaves the site some time without faults.
	firstFault = 2 * time.Second
	// faultGap is the mean time between faults.
	faultGap = 2 * time.Second
	// pairPercent is how many faults of a hundred begin together with another.
	pairPercent = 30
	// outageChance and longOutage make one store outage of so many a long one,
	// of a third of the run at most.
	outageChance = 3
	longOutage   = 3
	// restartMargin is the time that a node may need beyond its fault to start.
	restartMargin = 3 * time.Second
	// downNodes is the most nodes that are away at once.
	downNodes = 1

	faultStream   = 0x6661756c74
	arrivalStream = 0x61727269
)

// Plan is what a run does, by its seed.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration_ns"`
	// Rate is the mean of arrivals a second.
	Rate     float64   `json:"rate"`
	Nodes    int       `json:"nodes"`
	Faults   []Fault   `json:"faults"`
	Arrivals []Arrival `json:"-"`
}

// NewPlan returns the plan of a seed. The same arguments give the same plan.
func NewPlan(seed uint64, duration time.Duration, rate float64) *Plan {
	random := rand.New(rand.NewPCG(seed, faultStream))
	plan := &Plan{Seed: seed, Duration: duration, Rate: rate}
	plan.Nodes = fewestNodes + random.IntN(mostNodes-fewestNodes+1)
	planner := &planner{plan: plan, random: random, busy: map[string]time.Duration{}}
	planner.run()
	plan.Arrivals = newArrivals(rand.New(rand.NewPCG(seed, arrivalStream)), duration, rate)
	return plan
}

// planner draws faults that don't act on one thing at the same time.
type planner struct {
	plan   *Plan
	random *rand.Rand
	// deck holds the kinds not drawn since all were.
	deck []faultShape
	// busy is when a resource is free again.
	busy map[string]time.Duration
}

func (p *planner) run() {
	at := firstFault
	for at < p.plan.Duration {
		if p.add(at, false) && p.random.IntN(100) < pairPercent {
			p.add(at, true)
		}
		at += time.Duration(p.random.ExpFloat64() * float64(faultGap))
	}
}

// add draws a fault that begins now; it reports false when what it acts on is
// held by another or the run ends before it would.
func (p *planner) add(at time.Duration, pair bool) bool {
	shape := p.draw()
	lasts := shape.shortest
	if shape.longest > shape.shortest {
		lasts += time.Duration(p.random.Int64N(int64(shape.longest - shape.shortest)))
	}
	if shape.kind == StoreDown && p.random.IntN(outageChance) == 0 {
		lasts = max(lasts, p.plan.Duration/longOutage)
	}
	fault := Fault{Kind: shape.kind, At: at, For: lasts, Pair: pair}
	held := p.target(shape, &fault)
	if at+lasts > p.plan.Duration || p.busy[held] > at {
		return false
	}
	p.busy[held] = at + lasts
	if shape.on == onNode {
		p.busy[held] += restartMargin
	}
	p.plan.Faults = append(p.plan.Faults, fault)
	return true
}

// draw takes kinds from a shuffled deck, so that a run long enough has them all.
func (p *planner) draw() faultShape {
	if len(p.deck) == 0 {
		p.deck = append(p.deck, faultShapes...)
		p.random.Shuffle(len(p.deck), func(i, j int) { p.deck[i], p.deck[j] = p.deck[j], p.deck[i] })
	}
	drawn := p.deck[0]
	p.deck = p.deck[1:]
	return drawn
}

// target draws what a fault acts on and returns what it holds.
func (p *planner) target(shape faultShape, fault *Fault) string {
	switch shape.on {
	case onNode:
		fault.Target = p.random.IntN(p.plan.Nodes)
		fault.Detail = sameName
		if p.random.IntN(2) == 0 {
			fault.Detail = newName
		}
		// One place holds all nodes, so that no more than downNodes are away.
		return fmt.Sprintf("%s %d", shape.on, p.random.IntN(downNodes))
	case onEngine:
		fault.Target = p.random.IntN(engineCount)
		return fmt.Sprintf("%s %d", shape.on, fault.Target)
	case onService:
		fault.Target = p.random.IntN(serviceCount)
		return fmt.Sprintf("%s %d", shape.on, fault.Target)
	case onDataCentre:
		fault.Target = p.random.IntN(DataCentres)
		if fault.Kind == VMOut {
			fault.Target = p.random.IntN(engineCount)
		}
	case onStore, onOperators:
	}
	return string(shape.on)
}
