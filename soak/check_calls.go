package soak

import (
	"net/http"

	"github.com/wigeontiller/wigeontiller/apierror"
)

// checkSideEffects looks at the services' own counts.
func checkSideEffects(r *Record, i *Invariant) {
	for name, sends := range sendsByName(r) {
		if kind := sends[0].Arrival.Kind; kind != Keyed && kind != Unkeyed {
			continue
		}
		i.hold(r.Runs[name] <= 1, "%s ran %d times; last %v", name, r.Runs[name], sends[len(sends)-1])
	}
}

// checkExecution compares what the errors say with what the stand-ins ran. A
// call that was sent several times is judged by all its answers together.
func checkExecution(r *Record, i *Invariant) {
	runs := runsByName(r)
	for name, sends := range sendsByName(r) {
		notRun := 0
		for _, send := range sends {
			if send.Execution == string(apierror.NotExecuted) {
				notRun++
			}
			if send.toldRan() {
				i.hold(runs[name] > 0, "%s never ran, told: %v", name, send)
			}
		}
		if notRun == len(sends) {
			i.hold(runs[name] == 0, "%s ran %d times, told not: %v", name, runs[name], sends[0])
		}
	}
}

// toldRan reports whether the caller was told that the call ran.
func (s *Send) toldRan() bool {
	return s.Execution == string(apierror.Executed) || s.Ending == Answered && s.Status == http.StatusOK
}

// sendsByName groups the requests for one thing: all sends of one arrival.
func sendsByName(r *Record) map[string][]*Send {
	byName := map[string][]*Send{}
	for _, send := range r.Sends {
		name := send.Arrival.name()
		byName[name] = append(byName[name], send)
	}
	return byName
}

// runsByName counts what the stand-ins ran: services by their own counts,
// engines by the prompts that they admitted.
func runsByName(r *Record) map[string]int {
	runs := map[string]int{}
	for name, count := range r.Runs {
		runs[name] = count
	}
	for _, seen := range r.Seen {
		if seen.Kind == SeenCompletion && seen.Ran {
			runs[seen.Name]++
		}
	}
	return runs
}

// name is under which the stand-ins know the arrival.
func (a *Arrival) name() string {
	if a.Kind.IsCompletion() {
		return a.Mark
	}
	return a.ran()
}

func checkOwnAnswers(r *Record, i *Invariant) {
	for _, send := range r.Sends {
		if send.Ending == Answered || send.Tokens > 0 || send.Foreign != "" {
			i.hold(send.Foreign == "", "%q is not of the own answer: %v", send.Foreign, send)
		}
	}
}

// checkEndings looks at how requests ended. A closed node can't end its own; what
// a shutdown cuts is for checkShutdown.
func checkEndings(r *Record, i *Invariant) {
	for _, send := range r.Sends {
		switch send.Ending {
		case Answered:
			i.hold(send.isWhole(), "%s, %d tokens expected: %v", send.Malformed, send.Arrival.AnswerTokens, send)
		case Cut:
			life := r.node(send.Node)
			ended := life.Closed > 0 && send.End >= life.Closed || life.Leaving > 0
			i.hold(ended, "cut off: %v", send)
		case ErrorEvent, Refused:
			i.hold(send.Code != "", "an error without a code: %v", send)
		case Left, Unreached:
		}
	}
}

// isWhole reports whether an answer is whole. A service may answer with a status
// of its own; only its connection tells that the answer is not whole.
func (s *Send) isWhole() bool {
	if !s.Arrival.Kind.IsCompletion() {
		return true
	}
	return s.Malformed == "" && s.Tokens == s.Arrival.AnswerTokens
}
