package model

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/bench/virtual"
	"github.com/wigeontiller/wigeontiller/environment"
)

// tracked is a job whose end is remembered.
type tracked struct {
	*Job
	firstAt time.Duration
	ends    []bool
}

func submit(loop *virtual.Loop, engine *Engine, id string, prompt, answer int, priority environment.Priority) (*tracked, error) {
	made := &tracked{Job: &Job{ID: id, PromptTokens: prompt, AnswerTokens: answer, MaxTokens: answer, Priority: priority}}
	made.Token = func(interval time.Duration) {
		if interval == 0 {
			made.firstAt = loop.Now()
		}
	}
	made.End = func(whole bool) { made.ends = append(made.ends, whole) }
	return made, engine.Submit(made.Job)
}

func drain(loop *virtual.Loop) {
	for loop.Step() {
	}
}

func TestPrefillTakesTurnsWithinAPriority(t *testing.T) {
	is := is.New(t)
	loop := new(virtual.Loop)
	engine := NewEngine(loop)
	long, err := submit(loop, engine, "long", 400_000, 1, environment.Normal)
	is.NoErr(err)
	short, err := submit(loop, engine, "short", 4_000, 1, environment.Normal)
	is.NoErr(err)
	drain(loop)
	// The short prompt's 0.1 s is shared with the long one, not put behind it.
	is.True(short.firstAt > 150*time.Millisecond && short.firstAt < 300*time.Millisecond)
	is.True(long.firstAt > 10*time.Second)
}

func TestHigherPriorityIsReadFirst(t *testing.T) {
	is := is.New(t)
	loop := new(virtual.Loop)
	engine := NewEngine(loop)
	_, err := submit(loop, engine, "batch", 400_000, 1, environment.Batch)
	is.NoErr(err)
	urgent, err := submit(loop, engine, "urgent", 4_000, 1, environment.Urgent)
	is.NoErr(err)
	drain(loop)
	is.True(urgent.firstAt <= 125*time.Millisecond)
}

func TestEngineRefusesWhatItCannotHold(t *testing.T) {
	is := is.New(t)
	loop := new(virtual.Loop)
	engine := NewEngine(loop)
	_, err := submit(loop, engine, "first", EngineKVTokens-100, 100, environment.Normal)
	is.NoErr(err)
	_, err = submit(loop, engine, "second", 1, 1, environment.Normal)
	is.True(errors.Is(err, ErrFull))
	engine.Cancel("first")
	load, _ := engine.Load()
	is.Equal(load.KVTokens, 0)
	for range EngineSlots {
		_, err = submit(loop, engine, "one of many", 10, 1, environment.Normal)
		is.NoErr(err)
	}
	_, err = submit(loop, engine, "one too many", 10, 1, environment.Normal)
	is.True(errors.Is(err, ErrFull))
}

func TestColdEngineFallsOverUnderLoad(t *testing.T) {
	is := is.New(t)
	loop := new(virtual.Loop)
	engine := NewEngine(loop)
	engine.GoCold(0)
	var jobs []*tracked
	for range engine.bearable(0, EngineSlots) + 1 {
		job, err := submit(loop, engine, "job", 1000, 1, environment.Normal)
		is.NoErr(err)
		jobs = append(jobs, job)
	}
	is.Equal(engine.FellOver, 1)
	for _, job := range jobs {
		is.Equal(job.ends, []bool{false})
	}
	_, err := submit(loop, engine, "while away", 1000, 1, environment.Normal)
	is.True(errors.Is(err, ErrDown))
	drain(loop)
	later, err := submit(loop, engine, "later", 1000, 1, environment.Normal)
	is.NoErr(err)
	drain(loop)
	is.Equal(later.ends, []bool{true})
}

func TestDecodeIntervalGrowsWithTheBatch(t *testing.T) {
	is := is.New(t)
	interval := func(batch int) time.Duration {
		loop := new(virtual.Loop)
		engine := NewEngine(loop)
		for range batch {
			engine.decoding = append(engine.decoding, &Job{})
		}
		return engine.stepTime(0)
	}
	is.True(interval(1) >= 20*time.Millisecond)
	is.True(interval(EngineSlots) > interval(1))
	is.True(interval(EngineSlots) < 37*time.Millisecond)
}
