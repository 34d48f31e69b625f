package model

import (
	"maps"
	"slices"
	"time"
)

// reserveTTL is how long a member keeps memory whose lead has died.
const reserveTTL = 2 * time.Second

// Part is another engine's share of a job's memory.
type Part struct {
	Engine   *Engine
	KVTokens int
}

// memory is what the job holds at the engine that runs it.
func (j *Job) memory() int {
	held := j.kvTokens()
	for _, part := range j.Members {
		held -= part.KVTokens
	}
	return held
}

// reserveAll reserves the job's memory at all members, or at none.
func (j *Job) reserveAll() error {
	for _, part := range j.Members {
		if err := part.Engine.takes(part.KVTokens); err != nil {
			return ErrFull
		}
	}
	for _, part := range j.Members {
		part.Engine.reserved[j.ID] = reservation{j, part.KVTokens}
		part.Engine.kvTokens += part.KVTokens
		part.Engine.cache.shrink(EngineKVTokens - part.Engine.kvTokens)
		part.Engine.peakKVTokens = max(part.Engine.peakKVTokens, part.Engine.kvTokens)
	}
	return nil
}

// freeMembers gives the members' memory back. A repeat changes nothing.
func (j *Job) freeMembers() {
	for _, part := range j.Members {
		if held, ok := part.Engine.reserved[j.ID]; ok && held.job == j {
			delete(part.Engine.reserved, j.ID)
			part.Engine.kvTokens -= held.kvTokens
		}
	}
}

// reservation is memory that a job at another engine holds.
type reservation struct {
	job      *Job
	kvTokens int
}

// takes reports whether there are a slot and memory.
func (e *Engine) takes(kvTokens int) error {
	if e.down {
		return ErrDown
	}
	if e.Running()+len(e.reserved) >= EngineSlots || e.kvTokens+kvTokens > EngineKVTokens {
		return ErrFull
	}
	return nil
}

// breakLed ends the jobs that held memory here, in a fixed order.
func (e *Engine) breakLed() {
	ids := slices.Sorted(maps.Keys(e.reserved))
	led := e.reserved
	e.reserved = map[string]reservation{}
	for _, id := range ids {
		job := led[id].job
		if job.lead != nil && job.lead.Holds(id) {
			job.lead.Cancel(id)
			job.End(false)
		}
	}
}
