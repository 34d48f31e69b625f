package wigeontiller

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/budget"
	"github.com/wigeontiller/wigeontiller/orphan"
	"github.com/wigeontiller/wigeontiller/tables"
)

// standings is a scripted view of processes, and their keeper.
type standings struct {
	standing map[string]orphan.Standing
	unheard  []string
	released []string
}

func (s *standings) processStanding(owner orphan.Owner) orphan.Standing {
	return s.standing[owner.String()]
}

func (s *standings) Unheard() []string { return slices.Clone(s.unheard) }

func (s *standings) Released(process string) {
	s.released = append(s.released, process)
	s.unheard = slices.DeleteFunc(s.unheard, func(one string) bool { return one == process })
}

func TestEndedProcessesAreReleasedAfterTheSweep(t *testing.T) {
	is := is.New(t)
	s := &standings{
		unheard: []string{"a/1", "b/1", "c/1", "d/1"},
		standing: map[string]orphan.Standing{
			"a/1": orphan.Gone, "b/1": orphan.Silent, "c/1": orphan.Held, "d/1": orphan.Unknown,
		},
	}
	r := newReleaser(s, s)
	start := time.Unix(1000, 0)
	at := map[string]time.Duration{}
	for age := time.Duration(0); age < time.Hour; age += time.Second {
		r.round(start.Add(age))
		for _, process := range s.released {
			if _, ok := at[process]; !ok {
				at[process] = age
			}
		}
	}
	is.Equal(at, map[string]time.Duration{
		"a/1": orphan.GoneMargin + sweepTime,
		"b/1": orphan.SilentMargin + sweepTime,
	})
}

// A process that is seen to live in between starts its time anew.
func TestReleaseWaitsWithoutABreak(t *testing.T) {
	is := is.New(t)
	s := &standings{unheard: []string{"a/1"}, standing: map[string]orphan.Standing{}}
	r := newReleaser(s, s)
	for second := range 300 {
		s.standing["a/1"] = orphan.Gone
		if second%15 == 14 {
			s.standing["a/1"] = orphan.Held
		}
		r.round(time.Unix(int64(second), 0))
	}
	is.Equal(len(s.released), 0)
}

func TestReadinessWaitsForTheFirstShares(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	site := &tables.Tables{Upstreams: map[string]*tables.Upstream{"engine": {}, "other": {}}}
	var f firstShares
	is.True(!f.settled(now)) // no site yet
	f.configure(now, site)
	f.set(nil)
	is.True(!f.settled(now.Add(firstShareTime - 1)))
	is.True(f.settled(now.Add(firstShareTime))) // it says in its status that it has none
	is.Equal(f.status().Without, 2)
	f.set(map[string]budget.Share{"engine": {}, organisationPrefix + "x": {}})
	is.True(f.settled(now))
	is.Equal(f.status().Kept, 1)
	is.Equal(f.status().Without, 1)
	f.set(map[string]budget.Share{"engine": {Standby: true}})
	is.True(f.settled(now)) // readiness is not taken back
	is.Equal(f.status().Standby, 1)
	var empty firstShares
	empty.configure(now, &tables.Tables{})
	is.True(empty.settled(now)) // nothing to share
}
