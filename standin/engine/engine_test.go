package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestEngine(config Config) *Engine {
	config.Slots, config.KVTokens = 4, 1000
	return New(config)
}

func TestCrashLosesStreamsAndMemory(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(Config{})
	lost := e.admit("a", "node-1", 10, 10, 20, 4)
	before := e.Load()
	is.Equal(before.Streams[0].Owner, "node-1")
	e.Crash(0)
	again := e.admit("a", "node-2", 5, 5, 10, 4)
	after := e.Load()
	is.True(after.Incarnation > before.Incarnation)
	is.True(e.isCanceled(lost)) // the caller's connection ends
	e.release(lost)             // frees nothing of the new incarnation
	is.Equal(e.Load().KVTokens, 10)
	e.release(again)
	is.Equal(e.Load().KVTokens, 0)
}

func TestColdEngineRestartsOnASecondRequest(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(Config{ColdStart: time.Hour})
	before := e.Load().Incarnation
	first := e.admit("a", "", 10, 10, 20, 4)
	is.True(first != nil)
	is.True(e.admit("b", "", 10, 10, 20, 4) == nil)
	is.True(e.isCanceled(first))
	is.True(e.Load().Incarnation > before)
	e.Crash(0)
	is.True(e.admit("a", "", 10, 10, 20, 4) != nil)
	is.True(e.admit("b", "", 10, 10, 20, 4) != nil)
}

func TestReportWithLagIsAnOlderSnapshot(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(Config{})
	e.admit("a", "", 10, 10, 20, 4)
	now := time.Now()
	is.Equal(e.loadWithLag(now, 0).KVTokens, 20)
	is.Equal(e.loadWithLag(now, time.Minute).KVTokens, 0)                 // before the attempt was admitted
	is.Equal(e.loadWithLag(now.Add(time.Hour), time.Minute).KVTokens, 20) // after it was admitted
}

func TestModelsCheckFencingTokensOfOrders(t *testing.T) {
	for _, test := range []struct {
		name    string
		fencing bool
		taken   bool
	}{{"rejects a stale fencing token", true, false}, {"ignores the fencing token", false, true}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			config := OrdersConfig{Managed: true, Fencing: test.fencing, LoadTime: time.Second}
			e := newTestEngine(Config{Orders: config})
			now := time.Now()
			is.True(!e.canServe("new"))
			is.True(e.models.apply(now, config, Order{Fencing: 2, Kind: "load_model", Model: "new"}))
			is.Equal(e.models.list(now), []string{}) // still loading
			is.Equal(e.models.list(now.Add(time.Second)), []string{"new"})
			is.Equal(e.models.apply(now, config, Order{Fencing: 1, Kind: "load_model", Model: "old"}), test.taken)
			is.Equal(e.Load().Fencing, uint64(2))
		})
	}
}

func TestResumedStreamGetsANewOwner(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(Config{})
	e.admit("a", "dead/1", 10, 10, 20, 4)
	e.attachReader("a", "")
	is.Equal(e.Load().Streams[0].Owner, "dead/1")
	e.attachReader("a", "next/1")
	is.Equal(e.Load().Streams[0].Owner, "next/1") // otherwise it would count as orphaned
}
