package budget

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const simulationStep = 20 * time.Millisecond

// simulation is a fleet in virtual time: nodes with their own clocks, a network
// that loses, delays, repeats and reorders messages, and upstreams with running
// requests.
type simulation struct {
	random     *rand.Rand
	now        time.Duration
	nodes      []*simulatedNode
	resources  []Resource
	network    []delivery
	timing     Timing
	loss       float64
	kinds      []int
	maxDelay   time.Duration
	partitions map[string]int // partition of each node; nodes of other partitions are neither reachable nor visible
	resets     map[string]time.Duration
	previous   map[string]int
	table      *simulatedTable
}

type simulatedNode struct {
	name, dataCentre string
	generation       int
	dead, paused     bool
	excluded         string // a node that this one considers dead
	clockOffset      time.Duration
	clockRate        float64
	client           *Client
	allocator        *Allocator
	demand           map[string]*simulatedWork
	inbox            []delivery
	observed         map[string]time.Duration // when the node observes a reset
	nextReport       time.Duration
}

type simulatedWork struct {
	ends    []time.Duration
	waiting int
}

type delivery struct {
	at       time.Duration
	from, to string
	report   *Report
	answer   *Answer
}

func newSimulation(seed uint64, dataCentres, perDataCentre int, slots int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), timing: DefaultTiming(), maxDelay: 20 * time.Millisecond,
		partitions: map[string]int{}, resets: map[string]time.Duration{}, previous: map[string]int{},
		table: newSimulatedTable(),
	}
	for d := range dataCentres {
		s.resources = append(s.resources, Resource{
			Name: fmt.Sprintf("upstream-%d", d), Lease: fmt.Sprintf("lease of upstream-%d", d), Capacity: Amount{Slots: slots, KVTokens: slots * 1000},
			Ramp:             Ramp{InitialPercent: 10, Duration: 30 * time.Second},
			NodeSlotsPercent: 50, NodeKVPercent: 100, FallbackPercent: 10,
		})
	}
	for d := range dataCentres {
		for i := range perDataCentre {
			s.nodes = append(s.nodes, s.boot(fmt.Sprintf("node-%d-%d", d, i), fmt.Sprint(d), 0))
		}
	}
	return s
}

func (s *simulation) boot(base, dataCentre string, generation int) *simulatedNode {
	n := &simulatedNode{
		name: fmt.Sprintf("%s.%d", base, generation), dataCentre: dataCentre, generation: generation,
		clockOffset: time.Duration(s.random.Int64N(int64(time.Hour))), clockRate: 0.995 + 0.01*s.random.Float64(),
		demand: map[string]*simulatedWork{}, observed: map[string]time.Duration{}, nextReport: s.now,
	}
	n.client = NewClient(n.name, s.timing)
	n.allocator = NewAllocator(n.name, s.timing, n.clock(s.now))
	for _, r := range s.resources {
		n.demand[r.Name] = &simulatedWork{}
	}
	s.configure(n)
	return n
}

func (s *simulation) configure(n *simulatedNode) {
	n.allocator.Configure(s.resources)
	var interests []Interest
	for _, r := range s.resources {
		local := r.Name == "upstream-"+n.dataCentre
		interests = append(interests, Interest{
			Resource: r.Name, Local: local && !r.Rate, OnDemand: r.Rate, Ramp: r.Ramp,
		})
	}
	n.client.Configure(interests)
}

func (n *simulatedNode) clock(now time.Duration) time.Time {
	return time.Unix(1_000_000, 0).Add(n.clockOffset + time.Duration(float64(now)*n.clockRate))
}

// ownerOf returns the allocator as a node sees it among the nodes of its own
// partition.
func (s *simulation) ownerOf(viewer *simulatedNode, resource string) string {
	resource = strings.TrimPrefix(resource, "lease of ")
	best, bestScore := "", uint64(0)
	for _, n := range s.nodes {
		if n.dead || "upstream-"+n.dataCentre != resource || s.partitions[n.name] != s.partitions[viewer.name] || n.name == viewer.excluded {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(resource + n.name))
		if score := hash.Sum64(); best == "" || score > bestScore {
			best, bestScore = n.name, score
		}
	}
	return best
}

func (s *simulation) step() {
	s.now += simulationStep
	s.deliver()
	s.table.step(s)
	for _, n := range s.nodes {
		s.endWork(n)
		if !n.dead && !n.paused {
			s.run(n)
		}
	}
}

func (s *simulation) endWork(n *simulatedNode) {
	for _, resource := range s.resources {
		demand := n.demand[resource.Name]
		demand.ends = slices.DeleteFunc(demand.ends, func(end time.Duration) bool { return end <= s.now })
	}
}

func (s *simulation) run(n *simulatedNode) {
	now := n.clock(s.now)
	for _, message := range n.inbox {
		s.receive(n, message)
	}
	n.inbox = nil
	for resource, at := range n.observed {
		if s.now >= at {
			n.client.ColdStart(now, resource)
			delete(n.observed, resource)
		}
	}
	s.place(n, now)
	if s.now < n.nextReport {
		return
	}
	n.nextReport = s.now + 50*time.Millisecond
	s.report(n, now)
}

func (s *simulation) report(n *simulatedNode, now time.Time) {
	s.callTable(n, now)
	demands := map[string]Demand{}
	for _, resource := range s.resources {
		d := n.demand[resource.Name]
		demands[resource.Name] = Demand{
			Running: Amount{len(d.ends), len(d.ends) * 1000}, Waiting: Amount{d.waiting, d.waiting * 1000},
			Next: Amount{min(d.waiting, 1), 1000 * min(d.waiting, 1)},
		}
	}
	n.client.SetDemands(demands)
	due := n.client.Due(now, func(resource string) string { return s.ownerOf(n, resource) })
	for _, peer := range s.nodes {
		if names := due[peer.name]; names != nil {
			report := n.client.Report(now, peer.name, names)
			s.send(delivery{from: n.name, to: peer.name, report: &report})
		}
	}
}

// place starts waiting requests as far as the node's share allows.
func (s *simulation) place(n *simulatedNode, now time.Time) {
	shares := n.client.Shares(now)
	for _, resource := range s.resources {
		d := n.demand[resource.Name]
		share := shares[resource.Name]
		for d.waiting > 0 && len(d.ends) < share.Slots && len(d.ends)*1000 < share.KVTokens {
			d.waiting--
			length := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(4*time.Second)))
			if s.random.IntN(20) == 0 {
				length *= 10
			}
			d.ends = append(d.ends, s.now+length)
		}
	}
}

func (s *simulation) send(message delivery) {
	for range 1 + s.random.IntN(10)/9*s.random.IntN(2) {
		if s.random.Float64() < s.loss || s.partitions[message.from] != s.partitions[message.to] {
			continue
		}
		message.at = s.now + time.Duration(s.random.Int64N(int64(s.maxDelay)))
		if s.loss > 0 && s.random.IntN(30) == 0 {
			message.at += time.Duration(s.random.Int64N(int64(8 * time.Second)))
		}
		s.network = append(s.network, message)
	}
}

func (s *simulation) deliver() {
	s.network = slices.DeleteFunc(s.network, func(message delivery) bool {
		if message.at > s.now {
			return false
		}
		if n := s.find(message.to); n != nil && !n.dead {
			n.inbox = append(n.inbox, message)
		}
		return true
	})
}

func (s *simulation) find(name string) *simulatedNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (s *simulation) receive(n *simulatedNode, message delivery) {
	now := n.clock(s.now)
	if message.answer != nil {
		n.client.Apply(now, message.from, *message.answer)
		return
	}
	if answer, ok := n.allocator.Handle(now, *message.report); ok {
		s.send(delivery{from: n.name, to: message.from, answer: &answer})
	}
}

// exposure returns what all nodes together run or may start at once.
func (s *simulation) exposure(resource string) int {
	sum := 0
	for _, n := range s.nodes {
		held := 0
		if state := n.client.resources[resource]; state != nil && !n.dead {
			share, _ := state.currentShare(n.clock(s.now))
			held = share.Slots
		}
		sum += max(len(n.demand[resource].ends), held)
	}
	return sum
}

// sumOfShares returns what all nodes together may hold at once, whatever they
// run, and whether any of it is a standby share.
func (s *simulation) sumOfShares(resource string) (sum int, standby bool) {
	for _, n := range s.nodes {
		state := n.client.resources[resource]
		if state == nil || n.dead {
			continue
		}
		share, _ := state.currentShare(n.clock(s.now))
		sum += share.Slots
		standby = standby || share.Standby
	}
	return sum, standby
}

// bound returns the limit on the exposure. After a reset every node has 2 s to
// observe it, and answers to reports from before then remain in force for a
// while.
func (s *simulation) bound(r Resource) int {
	age := s.now - s.resets[r.Name]
	if _, reset := s.resets[r.Name]; reset && age > 8*time.Second {
		return r.Capacity.Scale(r.Ramp.Fraction(age)).Slots
	}
	return r.Capacity.Slots
}

// check describes the first resource over its bound, or returns an empty
// string. Requests that ran when a ramp restarted may still run. Requests from
// before the lease's end may run beside the standby shares, whose own sum is
// bounded.
func (s *simulation) check() string {
	for _, r := range s.resources {
		exposure := s.exposure(r.Name)
		bound := s.bound(r)
		shares, standby := s.sumOfShares(r.Name)
		if was, ok := s.previous[r.Name]; ok {
			bound = max(bound, was)
		}
		if shares > r.Capacity.Slots {
			return fmt.Sprintf("at %v %s: shares %d exceed the capacity %d", s.now, r.Name, shares, r.Capacity.Slots)
		}
		if exposure > bound && (!standby || !s.ramped(r)) {
			return fmt.Sprintf("at %v %s: exposure %d exceeds the bound %d", s.now, r.Name, exposure, bound)
		}
		s.previous[r.Name] = exposure
	}
	for _, n := range s.nodes {
		if err := n.allocator.Check(); err != nil {
			return n.name + ": " + err.Error()
		}
	}
	return ""
}

// ramped reports whether the upstream's ramp is over.
func (s *simulation) ramped(r Resource) bool {
	reset, ok := s.resets[r.Name]
	return !ok || s.now-reset >= r.Ramp.Duration
}
