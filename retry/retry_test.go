package retry

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAttemptsThatDidNotRunMayBeRepeated(t *testing.T) {
	is := is.New(t)
	h := NewHistory(Rules{})
	for range 5 {
		is.True(h.Send())
		is.True(h.MayRepeat())
		is.True(h.Unrun())
	}
	is.Equal(h.Sent(), 5)
	h.MayHaveRun()
	is.True(!h.Unrun())
	is.True(!h.MayRepeat())
	is.True(!h.Send())
	is.Equal(h.Sent(), 5)
}

func TestUnrepeatableRequestRunsOnceDespiteAHigherLimit(t *testing.T) {
	is := is.New(t)
	h := NewHistory(Rules{MaxRuns: 3})
	is.True(h.Send())
	h.MayHaveRun()
	is.True(!h.MayRepeat())
}

func TestRepeatableRequestRunsUpToTheLimit(t *testing.T) {
	is := is.New(t)
	h := NewHistory(Rules{Repeatable: true, MaxRuns: 2})
	is.True(h.Send())
	h.MayHaveRun()
	is.True(h.MayRepeat())
	is.True(h.Send())
	h.MayHaveRun()
	is.True(!h.MayRepeat())
	is.Equal(h.Ran(), 2)
}

// In any order of attempts, a request that is not repeatable runs at most once, no
// request runs on more upstreams than MaxRuns, and Unrun is true only if it has not run.
func TestRulesHoldInAnyOrderOfAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Rules{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxRuns: rapid.IntRange(0, 4).Draw(t, "max runs")}
		h, ran := NewHistory(rules), 0
		for _, runs := range rapid.SliceOf(rapid.Bool()).Draw(t, "attempts") {
			if !h.MayRepeat() {
				break
			}
			if !h.Send() {
				t.Fatal("Send returned false after MayRepeat returned true")
			}
			if runs {
				h.MayHaveRun()
				ran++
			}
		}
		if !rules.Repeatable && ran > 1 || ran > max(1, rules.MaxRuns) || h.Unrun() != (ran == 0) {
			t.Fatalf("may have run %d times, which breaks the rules: %+v", ran, h)
		}
	})
}
