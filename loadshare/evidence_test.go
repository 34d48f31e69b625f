package loadshare

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/quarantine"
)

// lockedTracker is the evidence of a simulated node.
type lockedTracker struct {
	mutex   sync.Mutex
	tracker *quarantine.Tracker
	agent   *Agent
}

func (l *lockedTracker) Evidence(scope quarantine.Scope) quarantine.Evidence {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.Evidence(clock(), scope)
}

func (l *lockedTracker) Apply(evidence *quarantine.Evidence, forward bool) {
	l.mutex.Lock()
	changed := l.tracker.Apply(clock(), evidence, forward)
	l.mutex.Unlock()
	if changed && forward {
		l.agent.ScheduleFlush()
	}
}

func (l *lockedTracker) recordEnd(engine uint32) {
	l.mutex.Lock()
	l.tracker.RecordEnd(clock(), quarantine.End{Engine: engine, Attempt: engine, Parts: []uint64{1, uint64(engine) + 10}, SentAt: clock() - time.Second, At: clock()})
	l.mutex.Unlock()
	l.agent.ScheduleFlush()
}

func (l *lockedTracker) recordAnswer() {
	l.mutex.Lock()
	l.tracker.RecordAnswer(clock(), []uint64{1}, clock())
	l.mutex.Unlock()
	l.agent.ScheduleFlush()
}

// witnesses returns the number of engines that the block of part 1 counts, or 0 without a block.
func (l *lockedTracker) witnesses() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if block := l.tracker.Blocking(clock(), []uint64{1}); block != nil {
		return len(block.Witnesses)
	}
	return 0
}

// expectWitnesses checks all nodes but those left out.
func (f *simulatedFleet) expectWitnesses(want int, leftOut ...int) {
	f.t.Helper()
	wrong := 0
	for i, node := range f.nodes {
		skip := false
		for _, out := range leftOut {
			skip = skip || i == out
		}
		if node.evidence.witnesses() != want && !skip {
			wrong++
		}
	}
	if wrong > 0 {
		f.t.Errorf("%d of %d nodes do not count %d engines", wrong, len(f.nodes), want)
	}
}

func TestEvidenceReachesAllNodesOnce(t *testing.T) {
	for _, nodes := range []int{7, 78, 295} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, nodes)
				time.Sleep(settleTime)
				for i, at := range []int{nodes - 1, 4, 0} { // a plain node, a deputy, a relay
					f.nodes[at].evidence.recordEnd(uint32(i))
					time.Sleep(200 * time.Millisecond)
				}
				f.expectWitnesses(3)
				time.Sleep(settleTime)
				f.expectWitnesses(3) // what is told again does not count again
				f.nodes[nodes-2].evidence.recordAnswer()
				time.Sleep(spreadTime)
				f.expectWitnesses(0)
			})
		})
	}
}

// TestEvidenceSurvivesLostRelaysAndCuts loses the relay that would pass an end on, and cuts off a
// node while ends are told.
func TestEvidenceSurvivesLostRelaysAndCuts(t *testing.T) {
	const contactTime = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimulatedFleet(t, 78)
		time.Sleep(settleTime)
		const cut = 50
		address := f.nodes[cut].agent.self.Address
		f.network.block(func(from, to netip.AddrPort) bool { return from == address || to == address })
		relay := f.relays()[0]
		f.nodes[relay].stop()
		for i, at := range []int{9, 12, 16} { // two nodes of the lost relay's zone
			f.nodes[at].evidence.recordEnd(uint32(i))
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(contactTime - 450*time.Millisecond)
		f.expectWitnesses(3, cut, relay)
		is.Equal(f.nodes[cut].evidence.witnesses(), 0)
		f.network.block(nil)
		f.start(relay)
		time.Sleep(contactTime)
		f.expectWitnesses(3) // also the node that was cut off and the one that starts
	})
}

// TestNodeLearnsWhatItMissed cuts a node of a small fleet off while another one tells its news and ends.
func TestNodeLearnsWhatItMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimulatedFleet(t, 7)
		time.Sleep(settleTime)
		const cut, teller = 5, 3
		address := f.nodes[cut].agent.self.Address
		f.network.block(func(from, to netip.AddrPort) bool { return from == address || to == address })
		for i := range 3 {
			f.nodes[teller].evidence.recordEnd(uint32(i))
			time.Sleep(150 * time.Millisecond)
		}
		f.nodes[teller].gate.Do(func(s *placement.Scheduler, now time.Duration) {
			s.RecordLimit(now, engineOfTest, placement.StatedLimit{Stated: true, PerSecond: 1}, false)
		})
		f.nodes[teller].agent.ScheduleFlush()
		time.Sleep(spreadTime)
		f.nodes[teller].stop()
		f.network.block(nil)
		time.Sleep(2 * heartbeatInterval)
		f.expectWitnesses(3)
		f.nodes[cut].gate.Do(func(s *placement.Scheduler, _ time.Duration) { is.True(s.Limited(engineOfTest.ID)) })
	})
}

// TestEvidenceOfNodeWithAnotherClock guards against answers that seem to come after an end because
// the clocks differ, or because the first datagram was late.
func TestEvidenceOfNodeWithAnotherClock(t *testing.T) {
	is := is.New(t)
	a := newUnconnectedAgent()
	tracker := &lockedTracker{tracker: quarantine.New(), agent: a}
	a.Evidence = tracker
	const ahead = 7 * time.Second
	send := func(sequence uint64, evidence *quarantine.Evidence) {
		m := messageWithClaims(1, sequence, clock()+ahead, clock()+ahead)
		m.Evidence = evidence
		a.handle(m, netip.AddrPort{})
	}
	now := clock()
	var ends []quarantine.End
	for i := range 3 {
		at := now - time.Duration(30-10*i)*time.Second
		ends = append(ends, quarantine.End{Engine: uint32(i), Attempt: uint32(i), Parts: []uint64{1}, SentAt: at + ahead - time.Second, At: at + ahead})
	}
	answer := []quarantine.Answer{{Part: 1, At: now + ahead}}
	send(1, &quarantine.Evidence{Ends: ends, Answers: answer})
	is.Equal(tracker.witnesses(), 3) // ends count at once, answers only of a node whose clock is known
	block := tracker.tracker.Blocking(clock(), []uint64{1})
	age := clock() - block.LastEnd()
	is.True(age > 9900*time.Millisecond && age < 10100*time.Millisecond)
	a.peers["b"].firstReceivedAt = time.Now().Add(-trustAfter - time.Second)
	send(2, &quarantine.Evidence{Answers: []quarantine.Answer{{Part: 1, At: now + ahead - 31*time.Second}}})
	is.Equal(tracker.witnesses(), 3) // before the first end
	send(3, &quarantine.Evidence{Answers: answer})
	is.Equal(tracker.witnesses(), 0)
}

func TestEvidenceIsEncodedWithAges(t *testing.T) {
	is := is.New(t)
	sent := &message{Node: "n", SentAt: time.Minute, Evidence: &quarantine.Evidence{
		Ends:    []quarantine.End{{Engine: 7, Attempt: 9, Parts: []uint64{1 << 60, 2}, SentAt: 57 * time.Second, At: 58 * time.Second}},
		Answers: []quarantine.Answer{{Part: 3, At: 59 * time.Second}},
	}}
	got, err := decode(sent.encode())
	is.NoErr(err)
	is.Equal(got.Evidence, sent.Evidence)
	data := sent.encode()
	for n := range data {
		_, err := decode(data[:n])
		is.True(err != nil) // every truncated datagram is malformed
	}
}
