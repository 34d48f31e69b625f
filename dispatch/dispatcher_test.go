package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/configuration"
	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/scheduling"
	"github.com/wigeontiller/wigeontiller/tables"
)

// testTimeout is far longer than any step of a test takes.
const testTimeout = 30 * time.Second

func newDispatcher(slots int) (*Dispatcher, *tables.Plan) {
	document := &environment.Document{
		Name:          "test",
		Engines:       []environment.Engine{{Name: "e", DataCentre: "dc1", Models: []string{"m"}, Slots: slots, KVTokens: 1_000_000}},
		Organisations: []environment.Organisation{{Name: "o", Weight: 1}},
		Limits:        environment.Limits{QueueLength: 2000},
		Reserve:       environment.Reserve{ShortPromptTokens: 16_000},
	}
	site := configuration.NewSite()
	site.Environments["test"] = configuration.Environment{ProductionDigest: "d"}
	built := tables.Build(site, map[string]*environment.Document{"d": document})
	d := New(scheduling.New("dc1"))
	d.Configure(built)
	return d, built.Plans[0]
}

func newRequest(plan *tables.Plan, id string) *scheduling.Request {
	now := time.Now()
	return &scheduling.Request{
		ID: id, Plan: plan, Organisation: &plan.Document.Organisations[0], Model: "m",
		PromptTokens: 100, MaxTokens: 10, Priority: environment.Normal, Arrived: now, Deadline: now.Add(testTimeout),
	}
}

// TestFinishWakesQueuedRequestsWithoutTicker does not call Run, so that only Finish
// can wake the queued requests.
func TestFinishWakesQueuedRequestsWithoutTicker(t *testing.T) {
	is := is.New(t)
	d, plan := newDispatcher(1)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	var group sync.WaitGroup
	failures := make(chan error, 1000)
	for i := range 1000 {
		group.Go(func() {
			placement, err := d.Place(ctx, newRequest(plan, fmt.Sprint(i)))
			if err != nil {
				failures <- err
				return
			}
			placement.FirstToken()
			placement.Finish(scheduling.Outcome{PromptTokens: 90, AnswerTokens: 5})
		})
	}
	group.Wait()
	is.Equal(len(failures), 0)
	is.NoErr(d.scheduler.Check())
	waiting, running := d.Load()
	is.Equal(waiting+running, 0)
}

func TestRequestIsPlacedAgainBeforeFirstAttemptFinishes(t *testing.T) {
	is := is.New(t)
	d, plan := newDispatcher(2)
	request := newRequest(plan, "same")
	first, err := d.Place(t.Context(), request)
	is.NoErr(err)
	second, err := d.Place(t.Context(), request)
	is.NoErr(err)
	_, running := d.Load()
	is.Equal(running, 2)
	first.Finish(scheduling.Outcome{Abandoned: true})
	first.Finish(scheduling.Outcome{Abandoned: true})
	_, running = d.Load()
	is.Equal(running, 1) // Finish of the first attempt, also repeated, frees only the first
	second.Finish(scheduling.Outcome{})
	third, err := d.Place(t.Context(), request)
	is.NoErr(err)
	third.Finish(scheduling.Outcome{})
	is.NoErr(d.scheduler.Check())
}

func TestCallersDisconnectAtAnyPoint(t *testing.T) {
	is := is.New(t)
	d, plan := newDispatcher(1)
	var group sync.WaitGroup
	for i := range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		group.Go(func() {
			placement, err := d.Place(ctx, newRequest(plan, fmt.Sprint(i)))
			if err == nil {
				placement.Finish(scheduling.Outcome{})
			} else if !errors.Is(err, ErrCallerDisconnected) {
				t.Error(err)
			}
		})
		if i%2 == 0 {
			group.Go(cancel)
		} else {
			t.Cleanup(cancel)
		}
	}
	group.Wait()
	is.NoErr(d.scheduler.Check())
	waiting, running := d.Load()
	is.Equal(waiting+running, 0)
	is.Equal(len(d.waiting), 0)
}
