package memorybudget

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestRandomOperationsLeaveNothing guards against bytes that are counted for good, which would end in a node that
// refuses everything, and against more than the limit.
func TestRandomOperationsLeaveNothing(t *testing.T) {
	is := is.New(t)
	const limit, workers, rounds = 1 << 20, 8, 2000
	b := New(limit)
	var group sync.WaitGroup
	for seed := range uint64(workers) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 37))
			owners := []string{"", "a", "b", "c"}
			for range rounds {
				r := b.Open(Kind(random.IntN(int(kinds))), owners[random.IntN(4)], owners[random.IntN(4)])
				for range random.IntN(6) {
					switch random.IntN(4) {
					case 0:
						r.Promise(random.Int64N(limit / 2))
					case 1:
						r.DropPromise()
					case 2:
						r.Shrink(random.Int64N(limit))
					default:
						r.Grow(random.Int64N(limit / 4))
					}
					state := b.State()
					if state.Held < 0 || state.Promised < 0 || state.Held+state.Promised > limit {
						t.Errorf("held %d, promised %d of %d", state.Held, state.Promised, limit)
					}
				}
				r.Release()
				if random.IntN(3) == 0 {
					r.Release()
				}
			}
		})
	}
	group.Wait()
	state := b.State()
	is.Equal(state.Held, int64(0))
	is.Equal(state.Promised, int64(0))
	is.Equal(len(b.byOwner), 0)
	for _, bytes := range state.ByKind {
		is.Equal(bytes, int64(0))
	}
}

func TestSmallRequestsPassWhileLargeOnesAreRefused(t *testing.T) {
	is := is.New(t)
	b := New(16 << 20)
	var large []*Reservation
	for i := range 100 {
		r := b.Open(Bodies, string(rune('a'+i)))
		if !r.Grow(1 << 20) {
			break
		}
		large = append(large, r)
	}
	is.True(len(large) > 0 && len(large) < 16)
	is.True(!b.Open(Bodies, "new").Grow(1 << 20))
	is.True(b.Open(Answers, "new").Grow(1 << 20)) // an answer still finds room
	for range 64 {
		is.True(b.Open(Bodies, "a").Grow(SmallBytes))
		is.True(b.Open(Connections).Grow(ConnectionBytes))
	}
	is.True(b.State().Refusals["bodies"] == 2)
}

func TestOneOwnerLeavesRoomForOthers(t *testing.T) {
	is := is.New(t)
	b := New(64 << 20)
	const body = 4 << 20
	first := 0
	for b.Open(Bodies, "loud", "route").Grow(body) {
		first++
	}
	is.True(first*body <= 48<<20/3*2+body)
	is.True(first >= 7) // two thirds of the part for bodies
	is.True(b.Open(Bodies, "quiet", "other").Grow(body))
	is.True(!b.Open(Bodies, "loud", "other").Grow(body))
	is.True(!b.Open(Bodies, "quiet", "route").Grow(body))
}

// TestPromisedBytesCanBeHeld guards against many bodies that are all given up half-way, since each found room at its
// beginning only.
func TestPromisedBytesCanBeHeld(t *testing.T) {
	is := is.New(t)
	b := New(16 << 20)
	first, second := b.Open(Bodies), b.Open(Bodies)
	is.True(first.Promise(7 << 20))
	is.True(!second.Promise(7 << 20))
	is.True(second.Promise(5 << 20))
	for range 7 {
		is.True(first.Grow(1 << 20))
	}
	is.True(!first.Grow(1 << 20)) // more than was announced
	second.DropPromise()          // it does not come
	is.True(first.Grow(1 << 20))
	first.Release()
	is.Equal(b.State().Held, int64(0))
}

// TestSmallestMachineHoldsBodiesOfUsualLimit names the load: bodies of 4 MiB on 184 MB.
func TestSmallestMachineHoldsBodiesOfUsualLimit(t *testing.T) {
	is := is.New(t)
	soft, limit := ForMachine(DefaultMachineBytes)
	is.True(soft < DefaultMachineBytes && limit < soft)
	b := New(limit)
	for range 5 {
		r := b.Open(Bodies, "works", "folder")
		is.True(r.Promise(4 << 20))
	}
	soft, limit = ForMachine(MinMachineBytes)
	is.True(soft > 0 && limit > 0)
	is.True(New(limit).Open(Bodies, "works", "folder").Promise(4 << 20)) // a single one everywhere
}
