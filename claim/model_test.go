package claim

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The model explores every interleaving of two nodes that serve one key, one
// store and one upstream. Time is a counter of phases, see the constants.
const (
	modelNodes = 2
	// mostFaults bounds the faults of one history; CI explores two.
	mostFaults = 3
	// modelStates bounds the exploration; reaching it fails the test.
	modelStates = 10_000_000
)

// modelFaults is the number of faults of one history; the environment variable
// WIGEONTILLER_MODEL_FAULTS raises it to mostFaults.
var modelFaults = 2

// The phases of time: the record's hold ends
// before the second and the record expires before the third;
// in the fourth it is removable, and no write sent before is still on its way.
// A call may come in each of them.
var modelPhases = [...]time.Time{
	time.Unix(1000, 0),
	time.Unix(1000, 0).Add(2 * time.Minute),
	time.Unix(1000, 0).Add(time.Hour + 45*time.Minute),
	time.Unix(1000, 0).Add(2*time.Hour + 30*time.Minute),
}

// place says where a node stands.
type place int

const (
	// waiting is a call that has not come yet.
	waiting place = iota
	claiming
	holding
	settling
	ended
	dead
)

// modelNode is one node's call.
type modelNode struct {
	place    place
	claimant Session
	settler  Finalizer
	action   Action
	// waits counts polls, which are bounded.
	waits int
	// answer is what the caller was told: "", "not_run", "may_have_run" or "ran".
	answer string
	// runs counts executions by this call.
	runs int
}

// modelWrite is a write that may still take effect at the store.
type modelWrite struct {
	record  Record
	version uint64
}

// modelForwarded is a write that waits at the node that writes for others. Its
// sender may have given up, or it may be the transport's copy of one that was
// sent.
type modelForwarded struct {
	write  modelWrite
	before time.Time
}

// modelRemoval is a sweeper's removal of the row, between its read and its write.
type modelRemoval struct {
	read    bool
	version uint64
	// outdated is set when the list that names the row was written since: each
	// removal writes it as well.
	outdated bool
}

// late reports whether the writer drops the write. Its clock may be behind the
// sender's by the margin; see grouped.LocalBefore.
func (f modelForwarded) late(now time.Time) bool {
	return !now.Before(f.before.Add(ClockMargin))
}

// world is one state of everything. It is a value.
type world struct {
	phase   int
	faults  int
	nodes   [modelNodes]modelNode
	row     Row
	present bool
	// late holds the first lateCount writes that may still take effect.
	late      [mostFaults]modelWrite
	lateCount int
	// forwarded holds the first forwardedCount writes that wait at the writer.
	forwarded      [mostFaults]modelForwarded
	forwardedCount int
	// removal is that of a sweeper that may be paused; another one isn't.
	removal modelRemoval
	// runs counts executions before and after the record's expiry: after it
	// the key may be used anew, once.
	runs [2]int
	// stolen is set when a held record is replaced by another than its holder, or
	// a record is removed before it may be.
	stolen bool
}

func (w world) now() time.Time {
	return modelPhases[w.phase]
}

// period is the index of the use of the key that now falls into.
func (w world) period() int {
	return w.phase / 2
}

// begin lets a node's call come.
func (w *world) begin(i int) {
	node := &w.nodes[i]
	node.place = claiming
	node.claimant = NewSession(w.now(), string(rune('a'+i)), "same", w.now().Add(time.Minute), time.Hour)
	node.action = node.claimant.Begin()
}

func (w *world) delay(write modelWrite) {
	w.late[w.lateCount] = write
	w.lateCount++
}

func (w *world) forward(write modelWrite, before time.Time) {
	w.forwarded[w.forwardedCount] = modelForwarded{write: write, before: before}
	w.forwardedCount++
}

// takeForwarded removes the write at i from the writer.
func (w *world) takeForwarded(i int) {
	w.forwardedCount--
	w.forwarded[i] = w.forwarded[w.forwardedCount]
	w.forwarded[w.forwardedCount] = modelForwarded{}
}

// state identifies a world; two hashes make a collision unlikely.
type state [2]uint64

func TestEveryInterleaving(t *testing.T) {
	is := is.New(t)
	if os.Getenv("WIGEONTILLER_MODEL_FAULTS") != "" {
		modelFaults = mostFaults
	}
	e := explore()
	t.Logf("%d states explored", len(e.seen))
	is.Equal(e.broken, "")             // no breach
	is.True(len(e.seen) < modelStates) // explored to the end
	is.True(len(e.seen) > 1000)        // the faults were met
}
