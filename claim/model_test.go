package claim

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The model covers every interleaving of two nodes that serve one key with one
// store and one upstream. Time is a counter of phases; see modelPhases.
const (
	modelNodes = 2
	// maxModelFaults is the largest number of faults in one history; CI explores two.
	maxModelFaults = 3
	// maxModelStates limits the exploration; reaching it fails the test.
	maxModelStates = 10_000_000
)

// faultLimit is the number of faults in one history; the environment variable
// WIGEONTILLER_MODEL_FAULTS raises it to maxModelFaults.
var faultLimit = 2

// modelPhases are the phases of time. The record's hold ends before the second and
// the record expires before the third. In the fourth it is removable, and no write
// sent before is still in flight. A call may start in each of them.
var modelPhases = [...]time.Time{
	time.Unix(1000, 0),
	time.Unix(1000, 0).Add(2 * time.Minute),
	time.Unix(1000, 0).Add(time.Hour + 45*time.Minute),
	time.Unix(1000, 0).Add(2*time.Hour + 30*time.Minute),
}

// stage is the progress of a node's call.
type stage int

const (
	// notStarted is a call that has not arrived yet.
	notStarted stage = iota
	claiming
	holding
	finalizing
	ended
	crashed
)

// modelNode is one node's call.
type modelNode struct {
	stage     stage
	session   Session
	finalizer Finalizer
	action    Action
	// polls counts waits for another call, which are limited.
	polls int
	// answer is the answer to the caller: "", "not_run", "may_have_run" or "ran".
	answer string
	// executions counts executions by this call.
	executions int
}

// modelWrite is a write that may still take effect at the store.
type modelWrite struct {
	record  Record
	version uint64
}

// modelForwarded is a write that waits at the node that writes for others. Its
// sender may have given up, or it may be a duplicate made by the transport.
type modelForwarded struct {
	write  modelWrite
	before time.Time
}

// modelRemoval is a sweeper's removal of the row, between its read and its write.
type modelRemoval struct {
	read    bool
	version uint64
	// outdated is set when the index row that lists the row was written after the
	// read: each removal writes it as well.
	outdated bool
}

// expired reports whether the writer drops the write. Its clock may be behind the
// sender's by ClockMargin; see grouped.LocalDeadline.
func (f modelForwarded) expired(now time.Time) bool {
	return !now.Before(f.before.Add(ClockMargin))
}

// modelState is one state of the model. It is a plain value.
type modelState struct {
	phase   int
	faults  int
	nodes   [modelNodes]modelNode
	row     Row
	present bool
	// delayed holds, in its first delayedCount elements, writes that may still take
	// effect.
	delayed      [maxModelFaults]modelWrite
	delayedCount int
	// forwarded holds, in its first forwardedCount elements, writes that wait at the
	// writer.
	forwarded      [maxModelFaults]modelForwarded
	forwardedCount int
	// removal is that of a sweeper that may be paused; another sweeper never is.
	removal modelRemoval
	// executions counts executions before and after the record's expiry: after it
	// the key may be used again, once.
	executions [2]int
	// claimLost is set when a held record is replaced by a call other than its
	// holder, or a record is removed before it is removable.
	claimLost bool
}

func (m modelState) now() time.Time {
	return modelPhases[m.phase]
}

// keyUse returns the index of the use of the key that the current time falls into.
func (m modelState) keyUse() int {
	return m.phase / 2
}

// startCall starts the call of a node.
func (m *modelState) startCall(i int) {
	node := &m.nodes[i]
	node.stage = claiming
	node.session = NewSession(m.now(), string(rune('a'+i)), "same", m.now().Add(time.Minute), time.Hour)
	node.action = node.session.Begin()
}

func (m *modelState) addDelayed(write modelWrite) {
	m.delayed[m.delayedCount] = write
	m.delayedCount++
}

func (m *modelState) addForwarded(write modelWrite, before time.Time) {
	m.forwarded[m.forwardedCount] = modelForwarded{write: write, before: before}
	m.forwardedCount++
}

// takeForwarded removes the write at i from the writer.
func (m *modelState) takeForwarded(i int) {
	m.forwardedCount--
	m.forwarded[i] = m.forwarded[m.forwardedCount]
	m.forwarded[m.forwardedCount] = modelForwarded{}
}

// stateHash identifies a modelState; two hashes make a collision unlikely.
type stateHash [2]uint64

func TestModelKeepsInvariantsInEveryInterleaving(t *testing.T) {
	is := is.New(t)
	if os.Getenv("WIGEONTILLER_MODEL_FAULTS") != "" {
		faultLimit = maxModelFaults
	}
	e := explore()
	t.Logf("%d states explored", len(e.seen))
	is.Equal(e.violation, "")
	is.True(len(e.seen) < maxModelStates) // all states were explored
	is.True(len(e.seen) > 1000)           // states with faults were explored
}
