package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/bench/virtual"
	"github.com/wigeontiller/wigeontiller/environment"
)

// cacheFixture is one engine that runs one job after the other.
type cacheFixture struct {
	is     *is.I
	loop   *virtual.Loop
	engine *Engine
}

func newCacheFixture(t *testing.T) *cacheFixture {
	loop := new(virtual.Loop)
	return &cacheFixture{is: is.New(t), loop: loop, engine: NewEngine(loop)}
}

// run reads a prompt to its end and returns what it had cached.
func (f *cacheFixture) run(tokens int, segments ...Segment) int {
	job := &Job{ID: "job", PromptTokens: tokens, AnswerTokens: 1, MaxTokens: 1, Priority: environment.Normal, Segments: segments}
	job.Token, job.End = func(time.Duration) {}, func(bool) {}
	f.is.NoErr(f.engine.Submit(job))
	drain(f.loop)
	load, _ := f.engine.Load()
	f.is.Equal(load.KVTokens, 0)
	f.is.True(f.engine.cache.idleTokens <= EngineKVTokens)
	return job.Cached()
}

func TestCacheSparesTheLongestStart(t *testing.T) {
	f := newCacheFixture(t)
	first, second := Segment{1, 4_000}, Segment{2, 9_000}
	f.is.Equal(f.run(4_000, first), 0)
	f.is.Equal(f.run(9_000, first, second), 4_000)
	f.is.Equal(f.run(9_000, first, second), 8_999) // the last token is read
	f.is.Equal(f.run(9_500, first, Segment{3, 9_500}), 4_000)
	f.is.Equal(f.run(9_500, Segment{4, 4_000}, second), 0) // only from the start
}

func TestCacheGivesWayToJobsAndForgetsOnRestart(t *testing.T) {
	f := newCacheFixture(t)
	old, recent := Segment{1, 200_000}, Segment{2, 200_000}
	f.run(200_000, old)
	f.run(200_000, recent)
	f.run(100_000, Segment{3, 100_000}) // takes the room of the one used longest ago
	f.is.Equal(f.run(200_100, recent, Segment{4, 200_100}), 200_000)
	f.is.Equal(f.run(200_100, old, Segment{5, 200_100}), 0)
	f.engine.Crash()
	drain(f.loop)
	f.is.Equal(f.run(200_100, recent, Segment{4, 200_100}), 0)
	f.engine.GoCold(f.loop.Now())
	f.is.Equal(f.run(200_100, recent, Segment{4, 200_100}), 0)
}
