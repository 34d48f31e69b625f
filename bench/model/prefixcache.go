package model

import (
	"container/list"
	"slices"
	"time"
)

// Segment is a part of a prompt that other prompts may begin with.
type Segment struct {
	// Hash names the prompt up to the segment's end.
	Hash uint64
	// Tokens is the length of the prompt up to there.
	Tokens int
}

// prefixCache holds the segments that were read and are still in memory. A
// segment of a running job is in the job's own memory; the others give way to
// jobs, the one that was used longest ago first and a longer prompt's end before
// its start.
type prefixCache struct {
	segments map[uint64]*cached
	// idle is the segments that no job uses, the last used first.
	idle *list.List
	// idleTokens is the memory that they take.
	idleTokens int
}

// cached is one segment with what it adds to the one before it.
type cached struct {
	hash   uint64
	tokens int
	jobs   int
	place  *list.Element
}

func newPrefixCache() prefixCache {
	return prefixCache{segments: map[uint64]*cached{}, idle: list.New()}
}

// match returns how many of the segments are held, from the first.
func (c *prefixCache) match(segments []Segment) int {
	for i, segment := range segments {
		if c.segments[segment.Hash] == nil {
			return i
		}
	}
	return len(segments)
}

// use holds the segments from one place to another for a job.
func (c *prefixCache) use(segments []Segment, from, to int) {
	before := 0
	if from > 0 {
		before = segments[from-1].Tokens
	}
	for _, segment := range segments[from:to] {
		held := c.segments[segment.Hash]
		if held == nil {
			held = &cached{hash: segment.Hash, tokens: segment.Tokens - before}
			c.segments[segment.Hash] = held
		}
		if held.place != nil {
			c.idle.Remove(held.place)
			held.place = nil
			c.idleTokens -= held.tokens
		}
		held.jobs++
		before = segment.Tokens
	}
}

// leave lets the segments of a job that has ended become idle.
func (c *prefixCache) leave(segments []Segment) {
	for i := len(segments) - 1; i >= 0; i-- {
		held := c.segments[segments[i].Hash]
		if held == nil || held.jobs == 0 {
			continue
		}
		held.jobs--
		if held.jobs == 0 {
			held.place = c.idle.PushFront(held)
			c.idleTokens += held.tokens
		}
	}
}

// shrink gives up idle segments until they take no more than the room.
func (c *prefixCache) shrink(room int) {
	for c.idleTokens > max(0, room) {
		last := c.idle.Back()
		held := last.Value.(*cached)
		c.idle.Remove(last)
		c.idleTokens -= held.tokens
		delete(c.segments, held.hash)
	}
}

// pinCache holds what the cache has of a job's prompt, so that the job's own
// memory does not push it out.
func (e *Engine) pinCache(job *Job) {
	if len(job.Members) > 0 {
		return
	}
	found := max(job.pinned, e.cache.match(job.Segments))
	e.cache.use(job.Segments, job.pinned, found)
	job.pinned = found
}

// matchCache spares a job what the cache holds when its first turn comes. The
// last token is always read.
func (e *Engine) matchCache(job *Job) {
	if job.matched {
		return
	}
	job.matched = true
	e.pinCache(job)
	if job.pinned > 0 {
		job.cached = min(job.Segments[job.pinned-1].Tokens, job.PromptTokens-1)
		job.unread -= job.cached
	}
}

// useCache holds a prompt that was read.
func (e *Engine) useCache(job *Job) {
	if len(job.Members) == 0 {
		e.cache.use(job.Segments, job.pinned, len(job.Segments))
		job.pinned = len(job.Segments)
	}
}

// leaveCache gives a job's part of the cache up.
func (e *Engine) leaveCache(job *Job) {
	e.cache.leave(job.Segments[:job.pinned])
	job.pinned = 0
	e.cache.shrink(EngineKVTokens - e.kvTokens)
}

// GoCold begins a cold start, with an empty cache.
func (e *Engine) GoCold(now time.Duration) {
	e.Warmth.GoCold(now)
	for _, job := range slices.Concat(e.prefilling, e.decoding) {
		job.pinned = 0
	}
	e.cache = newPrefixCache()
}

// Cached is how many of the prompt's tokens were not read but found in the cache.
// It is 0 for no job.
func (j *Job) Cached() int {
	if j == nil {
		return 0
	}
	return j.cached
}
