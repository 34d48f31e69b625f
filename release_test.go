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

// processFixture returns fixed standings of processes and records releases.
type processFixture struct {
	standing map[string]orphan.OwnerState
	unheard  []string
	released []string
}

func (s *processFixture) processStanding(owner orphan.Owner) orphan.OwnerState {
	return s.standing[owner.String()]
}

func (s *processFixture) Unheard() []string { return slices.Clone(s.unheard) }

func (s *processFixture) Released(process string) {
	s.released = append(s.released, process)
	s.unheard = slices.DeleteFunc(s.unheard, func(one string) bool { return one == process })
}

func TestEndedProcessesAreReleasedAfterOrphanSweep(t *testing.T) {
	is := is.New(t)
	s := &processFixture{
		unheard: []string{"a/1", "b/1", "c/1", "d/1"},
		standing: map[string]orphan.OwnerState{
			"a/1": orphan.Gone, "b/1": orphan.Unresponsive, "c/1": orphan.Held, "d/1": orphan.Unknown,
		},
	}
	r := newReleaser(s, s)
	start := time.Unix(1000, 0)
	at := map[string]time.Duration{}
	for age := time.Duration(0); age < time.Hour; age += time.Second {
		r.releaseEnded(start.Add(age))
		for _, process := range s.released {
			if _, ok := at[process]; !ok {
				at[process] = age
			}
		}
	}
	is.Equal(at, map[string]time.Duration{
		"a/1": orphan.GoneMargin + orphanSweepTime,
		"b/1": orphan.UnresponsiveMargin + orphanSweepTime,
	})
}

// A process that is seen alive in between restarts its margin.
func TestReleaseMarginRestartsWhenProcessIsAlive(t *testing.T) {
	is := is.New(t)
	s := &processFixture{unheard: []string{"a/1"}, standing: map[string]orphan.OwnerState{}}
	r := newReleaser(s, s)
	for second := range 300 {
		s.standing["a/1"] = orphan.Gone
		if second%15 == 14 {
			s.standing["a/1"] = orphan.Held
		}
		r.releaseEnded(time.Unix(int64(second), 0))
	}
	is.Equal(len(s.released), 0)
}

func TestReadinessWaitsForFirstShares(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	current := &tables.Tables{Upstreams: map[string]*tables.Upstream{"engine": {}, "other": {}}}
	var f firstShares
	is.True(!f.ready(now)) // no site yet
	f.configure(now, current)
	f.set(nil)
	is.True(!f.ready(now.Add(firstShareTimeout - 1)))
	is.True(f.ready(now.Add(firstShareTimeout))) // its status shows that it has no shares
	is.Equal(f.status().Without, 2)
	f.set(map[string]budget.Share{"engine": {}, organisationPrefix + "x": {}})
	is.True(f.ready(now))
	is.Equal(f.status().Granted, 1)
	is.Equal(f.status().Without, 1)
	f.set(map[string]budget.Share{"engine": {Standby: true}})
	is.True(f.ready(now)) // readiness is not withdrawn
	is.Equal(f.status().Standby, 1)
	var empty firstShares
	empty.configure(now, &tables.Tables{})
	is.True(empty.ready(now)) // nothing to share
}
