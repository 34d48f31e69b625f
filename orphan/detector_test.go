package orphan

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestDetectorMatchesStandingHistory compares the detected orphans with those
// computed from the standing history of each stream.
func TestDetectorMatchesStandingHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Detector{}
		now := time.Unix(1000, 0)
		history := map[string][]OwnerState{}
		const tick = 2500 * time.Millisecond
		for range rapid.IntRange(1, 120).Draw(t, "rounds") {
			now = now.Add(tick)
			var streams []Stream
			current := map[string]OwnerState{}
			for i := range 4 {
				id := fmt.Sprint(i)
				if rapid.IntRange(0, 99).Draw(t, "listed") == 0 {
					delete(history, id)
					continue
				}
				last := Held
				if seen := history[id]; len(seen) > 0 {
					last = seen[len(seen)-1]
				}
				if rapid.IntRange(0, 59).Draw(t, "changes") == 0 {
					last = OwnerState(rapid.IntRange(int(Unknown), int(Unresponsive)).Draw(t, "standing"))
				}
				history[id] = append(history[id], last)
				current[id] = last
				streams = append(streams, Stream{ID: id, Owner: Owner{Node: "node"}})
			}
			streams = append(streams, Stream{ID: "foreign"})
			current["foreign"] = Gone // a stream without an owner is never an orphan
			found := d.Detect(now, streams, func(s Stream) OwnerState { return current[s.ID] })
			for _, s := range streams {
				if got, want := slices.Contains(found, s.ID), expected(history[s.ID], tick); got != want {
					t.Fatalf("stream %s: orphan is %v, want %v after standings %v", s.ID, got, want, history[s.ID])
				}
			}
		}
	})
}

// expected reports whether the last standing has lasted for its margin.
func expected(seen []OwnerState, tick time.Duration) bool {
	if len(seen) == 0 {
		return false
	}
	last := seen[len(seen)-1]
	lasted := time.Duration(-1)
	for i := len(seen) - 1; i >= 0 && seen[i] == last; i-- {
		lasted++
	}
	lasted *= tick
	margins := map[OwnerState]time.Duration{Gone: GoneMargin, NotHeld: NotHeldMargin, Unresponsive: UnresponsiveMargin}
	margin, suspect := margins[last]
	return suspect && lasted >= margin
}

func TestOrphanIsReturnedUntilNoLongerListed(t *testing.T) {
	is := is.New(t)
	d := &Detector{}
	now := time.Unix(1000, 0)
	listed := []Stream{{ID: "a", Owner: Owner{Node: "dead"}}, {ID: "b", Owner: Owner{Node: "alive"}}}
	standing := func(s Stream) OwnerState {
		if s.Owner.Node == "dead" {
			return Gone
		}
		return Held
	}
	is.Equal(len(d.Detect(now, listed, standing)), 0)
	now = now.Add(GoneMargin)
	is.Equal(d.Detect(now, listed, standing), []string{"a"})
	is.Equal(d.Detect(now, listed, standing), []string{"a"}) // the cancellation may be lost
	is.Equal(len(d.Detect(now, listed[1:], standing)), 0)
}
